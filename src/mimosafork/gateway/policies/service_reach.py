"""Whether the endpoints of one service can be reached by new connections."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

import msgspec

from ...ids import AvailabilityZoneId, EndpointId
from .endpoint_health import EndpointHealth

FAILURE_WINDOW = timedelta(seconds=2)
PROBES = 3
"""Connections opened in one round."""

RECENTLY_OPENED = timedelta(seconds=1)
"""A service is not probed so soon after a connection to it was opened."""


class ServiceReach(msgspec.Struct):
    """Evidence about one service.

    Attributes
    ----------
    unreached : dict of EndpointId to timedelta
        Latest failed connection to each endpoint since one was last opened.
    silent : dict of EndpointId to timedelta
        Latest loss or silence of a connection to each endpoint since one last answered.
    opened_at : timedelta or None
        When a connection was last opened.
    unreachable_since : timedelta or None
        Monotonic instant; None while the service counts as reachable.
    probing : set of EndpointId
        Endpoints of the current round that have not answered.
    opened, probed : int
        Connections opened, and endpoints tried, in the current round.
    """

    unreached: dict[EndpointId, timedelta] = msgspec.field(default_factory=dict)
    silent: dict[EndpointId, timedelta] = msgspec.field(default_factory=dict)
    opened_at: timedelta | None = None
    unreachable_since: timedelta | None = None
    probing: set[EndpointId] = msgspec.field(default_factory=set)
    opened: int = 0
    probed: int = 0

    @property
    def unreachable(self) -> bool:
        """Whether no endpoint can be reached."""
        return self.unreachable_since is not None

    def suspects(self, now: timedelta) -> set[EndpointId]:
        """Return the endpoints that have failed recently."""
        failures = [*self.unreached.items(), *self.silent.items()]
        return {name for name, at in failures if now - at <= FAILURE_WINDOW}

    def may_probe(self, now: timedelta) -> bool:
        """Return whether a round of probes may begin."""
        if self.unreachable or self.probing:
            return False
        return self.opened_at is None or now - self.opened_at >= RECENTLY_OPENED

    def begin_round(self, endpoints: Iterable[EndpointId]) -> None:
        """Begin a round of probes."""
        self.probing = set(endpoints)
        self.opened, self.probed = 0, len(self.probing)

    def note_opened(self, now: timedelta) -> None:
        """Record that a connection was opened."""
        self.unreached.clear()
        self.opened_at = now

    def note_probed(self, endpoint: EndpointId, opened: bool, now: timedelta) -> bool:
        """Record the result of a probe; return whether the round has ended."""
        if endpoint not in self.probing:
            return False
        self.probing.discard(endpoint)
        if opened:
            self.opened += 1
            self.note_opened(now)
        else:
            self.unreached[endpoint] = now
        return not self.probing

    def close_round(self, now: timedelta) -> bool:
        """Draw the conclusion from a round; return whether it has changed.

        A service becomes unreachable if no connection could be opened, and reachable
        again with half of them: where few of its endpoints can be reached, it would
        alternate with each round.
        """
        if self.unreachable_since is None:
            if self.opened:
                return False
            self.unreachable_since = now
            return True
        if 2 * self.opened < self.probed:
            return False
        self.unreachable_since = None
        self.unreached.clear()
        self.silent.clear()
        return True


def probe_candidates(
    endpoints: Iterable[EndpointHealth], random: Random
) -> list[EndpointHealth]:
    """Return the endpoints of a round in random order, first ones of other zones."""
    shuffled = list(endpoints)
    random.shuffle(shuffled)
    first: dict[AvailabilityZoneId, EndpointHealth] = {}
    rest = []
    for known in shuffled:
        if known.listed.zone in first:
            rest.append(known)
        else:
            first[known.listed.zone] = known
    return [*first.values(), *rest][:PROBES]

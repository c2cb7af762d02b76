"""Whether a whole zone looks cut off from this instance."""

import logging
from datetime import timedelta

import msgspec

from ...ids import AvailabilityZoneId, EndpointId
from ...kernel.messages.attempts import FailureKind
from ...routing.listing import ListedEndpoint
from ...telemetry.catalogue.zones import ZONE_ANSWERS, ZONE_SUSPECTED
from ...telemetry.logs import log_event

logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)

FAILURE_WEIGHTS = {FailureKind.UNREACHED: 1.0, FailureKind.STALLED: 0.5}
"""Failures that a cut on the way looks like, and how much an endpoint's says. One that
can't be connected to is cut off or gone; one that is silent may just read a long prompt
together with others of its zone."""

SUSPICION_THRESHOLD = 2.0
"""Weight of a zone's failures in a row from which it is suspected."""

FAILURE_WINDOW = timedelta(seconds=2)
SUSPICION_PERIOD = timedelta(seconds=2)
"""Its endpoints are taken last for so long; then the next call tries it."""


class ZoneFailure(msgspec.Struct, frozen=True):
    """When an endpoint could not be reached, and how much that says of its zone."""

    at: timedelta
    weight: float


class ZoneState(msgspec.Struct):
    """What is known of one zone.

    Attributes
    ----------
    failures : dict
        Latest failure of each endpoint since the zone answered last.
    suspected_since : timedelta or None
        Since when it has been suspected and has not answered.
    suspected_until : timedelta
        Monotonic instant up to which its endpoints are taken last.
    """

    failures: dict[EndpointId, ZoneFailure] = msgspec.field(default_factory=dict)
    suspected_since: timedelta | None = None
    suspected_until: timedelta = timedelta(0)

    def weight(self, now: timedelta) -> float:
        """Return the weight of the recent failures."""
        return sum(
            failure.weight
            for failure in self.failures.values()
            if now - failure.at <= FAILURE_WINDOW
        )


class ZoneSuspicion:
    """Suspects a whole zone once several of its endpoints are unreachable.

    Avoids a connection timeout per endpoint behind a network partition. Any answer
    from the zone ends the suspicion; once it has expired, one failure renews it.
    """

    def __init__(self) -> None:
        self.zones: dict[AvailabilityZoneId, ZoneState] = {}

    def suspected(self, zone: AvailabilityZoneId, now: timedelta) -> bool:
        """Whether a zone's endpoints are taken last."""
        state = self.zones.get(zone)
        return state is not None and now < state.suspected_until

    def note_failure(
        self, listed: ListedEndpoint, kind: FailureKind, now: timedelta
    ) -> None:
        """Note that an endpoint of another zone could not be reached."""
        state = self.zones.setdefault(listed.zone, ZoneState())
        state.failures[listed.endpoint] = ZoneFailure(now, FAILURE_WEIGHTS[kind])
        if state.suspected_since is None and state.weight(now) < SUSPICION_THRESHOLD:
            return
        self._suspect(listed.zone, state, now)

    def note_unreachable(self, zone: AvailabilityZoneId, now: timedelta) -> None:
        """Note that nothing at all is received from a zone."""
        self._suspect(zone, self.zones.setdefault(zone, ZoneState()), now)

    def _suspect(
        self, zone: AvailabilityZoneId, state: ZoneState, now: timedelta
    ) -> None:
        """Take a zone's endpoints last for a while from now on."""
        state.suspected_until = now + SUSPICION_PERIOD
        if state.suspected_since is None:
            state.suspected_since = now
            log_event(
                logger,
                ZONE_SUSPECTED,
                zone=zone,
                failures=len(state.failures),
                for_ms=SUSPICION_PERIOD // MILLISECOND,
            )

    def note_answer(self, zone: AvailabilityZoneId, now: timedelta) -> None:
        """Note that an endpoint of a zone has answered."""
        state = self.zones.pop(zone, None)
        if state is not None and state.suspected_since is not None:
            after = now - state.suspected_since
            log_event(logger, ZONE_ANSWERS, zone=zone, after_ms=after // MILLISECOND)

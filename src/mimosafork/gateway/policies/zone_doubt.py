"""Whether a whole zone looks cut off from this instance."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta

from ...ids import AvailabilityZoneId, EndpointId
from ...kernel.messages.attempts import FailureKind
from ...routing.listing import ListedEndpoint
from ...telemetry.catalogue.zones import ZONE_ANSWERS, ZONE_DOUBTED
from ...telemetry.logs import log_event

logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)

UNHEARD = {FailureKind.UNREACHED: 1.0, FailureKind.STALLED: 0.5}
"""Failures that a cut on the way looks like, and how much an endpoint's says. One that
can't be connected to is cut off or gone; one that is silent may just read a long prompt
together with others of its zone."""

WITNESSES = 2.0
"""Weight of a zone's endpoints that were not heard in turn for it to be doubted."""

WITHIN = timedelta(seconds=2)
DOUBT_FOR = timedelta(seconds=2)
"""Its endpoints are taken last for so long; then the next call tries it."""


@dataclass(frozen=True, slots=True)
class Unheard:
    """That an endpoint was not heard, when, and how much that says."""

    at: timedelta
    weight: float


@dataclass(slots=True)
class ZoneSeen:
    """What is known of one zone.

    Attributes
    ----------
    unheard : dict
        Endpoints that were not heard since the zone answered last.
    doubted_since : timedelta or None
        Since when it has been doubted and has not answered.
    doubted_until : timedelta
        Monotonic instant up to which its endpoints are taken last.
    """

    unheard: dict[EndpointId, Unheard] = field(default_factory=dict)
    doubted_since: timedelta | None = None
    doubted_until: timedelta = timedelta(0)

    def weight(self, now: timedelta) -> float:
        """Return how much those say that were not heard lately."""
        recent = (u for u in self.unheard.values() if now - u.at <= WITHIN)
        return sum(each.weight for each in recent)


class ZoneDoubts:
    """Zones whose endpoints don't answer, one after the other.

    Behind a cut each endpoint would be found out by calls of its own, again and
    again, and every one of these waits. Some that are not heard speak for their zone
    until any endpoint there answers; a doubt that has run out is renewed by one.
    """

    def __init__(self) -> None:
        self.zones: dict[AvailabilityZoneId, ZoneSeen] = {}

    def doubted(self, zone: AvailabilityZoneId, now: timedelta) -> bool:
        """Whether a zone's endpoints are taken last."""
        seen = self.zones.get(zone)
        return seen is not None and now < seen.doubted_until

    def note_unheard(
        self, listed: ListedEndpoint, kind: FailureKind, now: timedelta
    ) -> None:
        """Note that an endpoint of another zone was not heard."""
        seen = self.zones.setdefault(listed.zone, ZoneSeen())
        seen.unheard[listed.endpoint] = Unheard(now, UNHEARD[kind])
        if seen.doubted_since is None and seen.weight(now) < WITNESSES:
            return
        self._suspect(listed.zone, seen, now)

    def note_unreachable(self, zone: AvailabilityZoneId, now: timedelta) -> None:
        """Note that nothing at all is received from a zone."""
        self._suspect(zone, self.zones.setdefault(zone, ZoneSeen()), now)

    def _suspect(
        self, zone: AvailabilityZoneId, seen: ZoneSeen, now: timedelta
    ) -> None:
        """Take a zone's endpoints last for a while from now on."""
        seen.doubted_until = now + DOUBT_FOR
        if seen.doubted_since is None:
            seen.doubted_since = now
            log_event(
                logger,
                ZONE_DOUBTED,
                zone=zone,
                unheard=len(seen.unheard),
                for_ms=DOUBT_FOR // MILLISECOND,
            )

    def note_answer(self, zone: AvailabilityZoneId, now: timedelta) -> None:
        """Note that an endpoint of a zone has answered."""
        seen = self.zones.pop(zone, None)
        if seen is not None and seen.doubted_since is not None:
            after = now - seen.doubted_since
            log_event(logger, ZONE_ANSWERS, zone=zone, after_ms=after // MILLISECOND)

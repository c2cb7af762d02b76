"""Detects zones that are unreachable from this instance."""

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
"""Weights of the failures that a network partition causes. An unreachable endpoint is
partitioned or gone; a stalled one may just be in the prefill of a long prompt together
with others of its zone."""

SUSPICION_THRESHOLD = 2.0
"""Total weight of consecutive failures in a zone from which it is suspected."""

FAILURE_WINDOW = timedelta(seconds=2)
SUSPICION_PERIOD = timedelta(seconds=2)
"""Time for which endpoints of a suspected zone are used only as a last resort."""


class ZoneFailure(msgspec.Struct, frozen=True):
    """Time and weight of an endpoint's latest failure."""

    at: timedelta
    weight: float


class ZoneState(msgspec.Struct):
    """Suspicion state of one zone.

    Attributes
    ----------
    failures : dict
        Latest failure of each endpoint since the last answer from the zone.
    suspected_since : timedelta or None
        Start of the suspicion; None once the zone has answered.
    suspected_until : timedelta
        Monotonic instant at which the suspicion expires.
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
        """Return whether a zone is suspected."""
        state = self.zones.get(zone)
        return state is not None and now < state.suspected_until

    def note_failure(
        self, listed: ListedEndpoint, kind: FailureKind, now: timedelta
    ) -> None:
        """Record a failure of an endpoint in another zone."""
        state = self.zones.setdefault(listed.zone, ZoneState())
        state.failures[listed.endpoint] = ZoneFailure(now, FAILURE_WEIGHTS[kind])
        if state.suspected_since is None and state.weight(now) < SUSPICION_THRESHOLD:
            return
        self._suspect(listed.zone, state, now)

    def note_unreachable(self, zone: AvailabilityZoneId, now: timedelta) -> None:
        """Record that nothing is received from any instance of a zone."""
        self._suspect(zone, self.zones.setdefault(zone, ZoneState()), now)

    def _suspect(
        self, zone: AvailabilityZoneId, state: ZoneState, now: timedelta
    ) -> None:
        """Suspect a zone for the suspicion period."""
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
        """Record an answer from an endpoint of a zone."""
        state = self.zones.pop(zone, None)
        if state is not None and state.suspected_since is not None:
            after = now - state.suspected_since
            log_event(logger, ZONE_ANSWERS, zone=zone, after_ms=after // MILLISECOND)

"""Detection of availability zones that this instance cannot reach."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Protocol

from ..ids import AvailabilityZoneId, EndpointId
from ..kernel.messages.base import Message
from ..kernel.messages.routing import ZoneReachable, ZoneUnreachable

RENEWAL_INTERVAL = timedelta(seconds=1)
"""Well below the time for which the kernel avoids an unreachable zone."""

MAX_SILENCE = timedelta(seconds=10)
"""After this time calls try the zone's endpoints again: the zone may have lost only its
gateway instances, permanently."""

SilentZones = Callable[[], Mapping[AvailabilityZoneId, timedelta]]


def no_silent_zones() -> Mapping[AvailabilityZoneId, timedelta]:
    """Return no silent zones."""
    return {}


class OpenAttempt(Protocol):
    """The parts of an open attempt that are checked."""

    @property
    def endpoint(self) -> EndpointId:
        """Endpoint that the attempt was sent to."""

    @property
    def event_received_at(self) -> timedelta | None:
        """When its latest event was received, on the kernel's clock."""


class ZoneWatch:
    """Combines the silence of a zone's instances with that of its endpoints.

    If all instances of a zone are killed, its endpoints keep serving. An answer
    received from one of them shows that the zone is reachable.

    Parameters
    ----------
    post : callable
        Posts a message to the kernel.
    zone_of : callable
        Returns an endpoint's zone, or None for an unknown endpoint.

    Attributes
    ----------
    silent_zones : callable
        Returns the zones whose instances are all silent, and for how long.
    """

    def __init__(
        self,
        post: Callable[[Message], None],
        zone_of: Callable[[EndpointId], AvailabilityZoneId | None],
    ) -> None:
        self.post = post
        self.zone_of = zone_of
        self.silent_zones: SilentZones = no_silent_zones
        self.renewals_due: dict[AvailabilityZoneId, timedelta] = {}

    def check(self, attempts: Iterable[OpenAttempt], now: timedelta) -> None:
        """Report zones that became unreachable or reachable.

        Parameters
        ----------
        attempts : iterable of OpenAttempt
        now : timedelta
            On the kernel's clock.
        """
        silent = self.silent_zones()
        if not silent and not self.renewals_due:
            return
        for zone in self.renewals_due.keys() - silent.keys():
            del self.renewals_due[zone]
            self.post(ZoneReachable(zone))
        for zone, silence in silent.items():
            if self.is_due(zone, silence, now):
                self.report(zone, now - silence, attempts, now)

    def is_due(
        self, zone: AvailabilityZoneId, silence: timedelta, now: timedelta
    ) -> bool:
        """Return whether a silent zone is due for its first or a repeated report."""
        due = self.renewals_due.get(zone)
        return silence <= MAX_SILENCE and (due is None or now >= due)

    def report(
        self,
        zone: AvailabilityZoneId,
        since: timedelta,
        attempts: Iterable[OpenAttempt],
        now: timedelta,
    ) -> None:
        """Report a silent zone unless one of its endpoints has answered since."""
        for attempt in attempts:
            received_at = attempt.event_received_at
            if received_at is None or received_at <= since:
                continue
            if self.zone_of(attempt.endpoint) == zone:
                return
        self.renewals_due[zone] = now + RENEWAL_INTERVAL
        self.post(ZoneUnreachable(zone, since))

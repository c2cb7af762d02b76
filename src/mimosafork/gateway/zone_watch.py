"""Reports zones to the kernel that look cut off from this instance."""

from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Protocol

from ..ids import AvailabilityZoneId, EndpointId
from ..kernel.messages.base import Message
from ..kernel.messages.routing import ZoneReachable, ZoneUnreachable

RENEW_EVERY = timedelta(seconds=1)
"""Well within the time for which the kernel avoids an unreachable zone."""

LONGEST_SILENCE = timedelta(seconds=10)
"""After it calls try the zone's endpoints again: a zone may have lost its instances
alone, for good."""

SilentZones = Callable[[], Mapping[AvailabilityZoneId, timedelta]]


def no_zones() -> Mapping[AvailabilityZoneId, timedelta]:
    """Return that no zone is silent."""
    return {}


class OpenAttempt(Protocol):
    """What is asked of an attempt."""

    @property
    def endpoint(self) -> EndpointId:
        """Where it was sent."""

    @property
    def event_received_at(self) -> timedelta | None:
        """When its latest event came, on the kernel's clock."""


class ZoneWatch:
    """Joins the silence of a zone's instances with that of its endpoints.

    Guard: where all instances of a zone are killed, its endpoints serve on. An answer
    that still comes from there shows that the zone can be reached.

    Parameters
    ----------
    post : callable
        Hands a message to the kernel.
    zone_of : callable
        Returns an endpoint's zone; None if the endpoint is not known.

    Attributes
    ----------
    silent_zones : callable
        Returns the zones of which no instance is received, and since how long.
    """

    def __init__(
        self,
        post: Callable[[Message], None],
        zone_of: Callable[[EndpointId], AvailabilityZoneId | None],
    ) -> None:
        self.post = post
        self.zone_of = zone_of
        self.silent_zones: SilentZones = no_zones
        self.renewals_due: dict[AvailabilityZoneId, timedelta] = {}

    def look(self, attempts: Iterable[OpenAttempt], now: timedelta) -> None:
        """Report what has changed.

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
        """Return whether a silent zone is to be reported, at first or anew."""
        due = self.renewals_due.get(zone)
        return silence <= LONGEST_SILENCE and (due is None or now >= due)

    def report(
        self,
        zone: AvailabilityZoneId,
        since: timedelta,
        attempts: Iterable[OpenAttempt],
        now: timedelta,
    ) -> None:
        """Report a silent zone, unless one of its endpoints was received since."""
        for attempt in attempts:
            received_at = attempt.event_received_at
            if received_at is None or received_at <= since:
                continue
            if self.zone_of(attempt.endpoint) == zone:
                return
        self.renewals_due[zone] = now + RENEW_EVERY
        self.post(ZoneUnreachable(zone, since))

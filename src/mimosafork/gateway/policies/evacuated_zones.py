"""Zones to which no request is sent, and the zones of endpoints that have left."""

from datetime import timedelta

from ...ids import AvailabilityZoneId, EndpointId
from ...kernel.messages.problems import Problem
from .placement_requests import overloaded_problem

FORMER_ZONE_RETENTION = timedelta(minutes=10)
"""Time for which the zone of an endpoint that has left is remembered. A request may
have been placed on it, or on another with its help, before it left and before its zone
was evacuated, and still wait to be sent; connections are opened within seconds."""

ALL_EVACUATED = "all endpoints are in evacuated zones"
RETRY_AFTER = timedelta(seconds=1)
"""It is not known when the operator returns a zone to service."""


class EvacuatedZones:
    """Evacuated zones.

    Attributes
    ----------
    zones : set of AvailabilityZoneId
    former_zones : dict of EndpointId to AvailabilityZoneId
        Zones of endpoints that have left.
    """

    def __init__(self) -> None:
        self.zones: set[AvailabilityZoneId] = set()
        self.former_zones: dict[EndpointId, AvailabilityZoneId] = {}
        self.left_at: dict[EndpointId, timedelta] = {}

    def note_left(
        self, endpoint: EndpointId, zone: AvailabilityZoneId, now: timedelta
    ) -> None:
        """Remember the zone of an endpoint that is no longer listed."""
        # Removed first, so that the oldest is always the first in the dictionary.
        self.left_at.pop(endpoint, None)
        self.left_at[endpoint] = now
        self.former_zones[endpoint] = zone
        while self.left_at:
            oldest, left_at = next(iter(self.left_at.items()))
            if now - left_at <= FORMER_ZONE_RETENTION:
                return
            del self.left_at[oldest], self.former_zones[oldest]


def evacuated_problem() -> Problem:
    """Return the problem of a call whose service has no other endpoints."""
    return overloaded_problem(ALL_EVACUATED, RETRY_AFTER)

"""Last check of each request before it is sent to an endpoint."""

from datetime import timedelta

from ...ids import EndpointId, RequestId
from ...kernel.messages.attempts import FailureKind
from ...kernel.messages.dispatch import Dispatch
from .fleet_view import FleetView
from .home_regions import HomeRegions, Regions
from .send_permits import SendPermits


class EndpointSendGate:
    """Admits requests by what has changed since they were placed.

    An attempt may wait for a connection between its placement and its sending.
    """

    def __init__(
        self, fleet: FleetView, permits: SendPermits, homes: HomeRegions
    ) -> None:
        self.fleet = fleet
        self.permits = permits
        self.homes = homes

    def tracks(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint has stated a rate limit."""
        return self.permits.rate_limits.tracks(endpoint)

    def reaches_evacuated_zone(self, dispatch: Dispatch) -> bool:
        """Return whether the endpoint, or one of its helpers, is in such a zone."""
        is_evacuated = self.fleet.is_evacuated
        return is_evacuated(dispatch.endpoint) or any(
            is_evacuated(each.endpoint) for each in dispatch.helpers
        )

    def home_regions(self, request_id: RequestId) -> Regions | None:
        """Return the home regions of a call; None for no restriction."""
        return self.homes.restricted.get(request_id)

    def objection(self, dispatch: Dispatch, now: timedelta) -> FailureKind | None:
        """Count a request that is about to be sent; return why it may not be."""
        if self.reaches_evacuated_zone(dispatch):
            self.permits.release(dispatch.request_id)
            return FailureKind.EVACUATED
        if dispatch.endpoint in self.fleet.departed:
            self.permits.release(dispatch.request_id)
            return FailureKind.DRAINING
        known = self.fleet.endpoints.get(dispatch.endpoint)
        if known is not None and known.backoff.active(now):
            self.permits.release(dispatch.request_id)
            return FailureKind.BACKING_OFF
        if not self.homes.allows(dispatch):
            self.permits.release(dispatch.request_id)
            return FailureKind.OUTSIDE_REGIONS
        return self.permits.objection(dispatch, now)

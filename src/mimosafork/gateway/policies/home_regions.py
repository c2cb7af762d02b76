"""Restriction of calls to the home regions of their route and account."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta
from functools import singledispatchmethod
from typing import ClassVar

from ...ids import AvailabilityZoneId, EndpointId, RegionId, RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.messages.base import Message
from ...kernel.messages.connectivity import ForwardingPeersChanged
from ...kernel.messages.dispatch import Dispatch
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.requests import Request
from ...kernel.messages.routing import RoutingTableChanged
from ...kernel.plugins import (
    PluginFinder,
    Proceed,
    Refuse,
    RequestConcluded,
    ReviewDecision,
    Stage,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...routing.regions import common_regions
from ...routing.table import RoutingTable
from .connectivity import EndpointConnectivity
from .endpoint_health import EndpointHealth
from .fleet_view import FleetView

RETRY_AFTER = timedelta(seconds=1)
"""It is not known when a configuration or the endpoints of a region change."""

NO_COMMON_REGION = "its route and its account have no region in common"
NO_HOME_ENDPOINT = "no endpoint in its home regions is usable"
FORWARDED_OUTSIDE = "this instance is outside of its home regions"

Regions = frozenset[RegionId]


def no_restriction(request_id: RequestId, table: RoutingTable) -> Regions | None:
    """Return None: the call that belongs to a request is not known."""
    return None


@register("home-regions")
class HomeRegions(Stage):
    """Keeps restricted calls within their home regions.

    All decisions on where a call is sent ask this plug-in: placement, admission,
    hedging, forwarding to peers, reservations, and the last check before a request is
    sent.

    Attributes
    ----------
    region_of_zone : mapping of AvailabilityZoneId to RegionId
        From the settings. An endpoint or peer of another zone is in no region.
    regions_under : callable
        Returns the home regions that a call would have under a routing table.
    restricted : dict of RequestId to frozenset of RegionId
        Home regions of the open calls that have any: those at their arrival that are
        also home regions under the newest configuration.
    """

    order: ClassVar[int] = 10

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.connectivity = EndpointConnectivity()
        self.region_of_zone: Mapping[AvailabilityZoneId, RegionId] = {}
        self.regions_under: Callable[[RequestId, RoutingTable], Regions | None] = (
            no_restriction
        )
        self.restricted: dict[RequestId, Regions] = {}
        self.peer_zones: dict[EndpointId, AvailabilityZoneId] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.fleet = find(FleetView)
        self.connectivity = find(EndpointConnectivity) or self.connectivity

    def regions_of(self, request: Request) -> Regions | None:
        """Return the home regions of a call; None for no restriction."""
        return self.restricted.get(request.request_id, request.home_regions)

    def endpoints_for(self, request: Request) -> list[EndpointHealth]:
        """Return the endpoints of a call's service that the call may be sent to."""
        if self.fleet is None:
            return []
        endpoints = self.fleet.service_endpoints(ServiceId(request.target))
        regions = self.regions_of(request)
        if regions is None:
            return endpoints
        return [each for each in endpoints if self.contains(regions, each.listed.zone)]

    def allows_zone(self, request: Request, zone: AvailabilityZoneId) -> bool:
        """Return whether a call may be sent to a zone."""
        regions = self.regions_of(request)
        return regions is None or self.contains(regions, zone)

    def allows_endpoints(
        self, request: Request, endpoints: Iterable[EndpointId]
    ) -> bool:
        """Return whether a call may be sent to all of some endpoints."""
        regions = self.regions_of(request)
        return regions is None or self._contains_all(regions, endpoints)

    def allows(self, dispatch: Dispatch) -> bool:
        """Return whether an attempt may be sent to its endpoint and its helpers."""
        regions = self.restricted.get(dispatch.request_id)
        if regions is None:
            return True
        if dispatch.via_peer:
            return self.contains(regions, self.peer_zones.get(dispatch.endpoint))
        helpers = (each.endpoint for each in dispatch.helpers)
        return self._contains_all(regions, (dispatch.endpoint, *helpers))

    def contains(self, regions: Regions, zone: AvailabilityZoneId | None) -> bool:
        """Return whether a zone is in one of some regions."""
        return zone is not None and self.region_of_zone.get(zone) in regions

    def _contains_all(self, regions: Regions, endpoints: Iterable[EndpointId]) -> bool:
        fleet = self.fleet
        if fleet is None:
            return False
        return all(self.contains(regions, fleet.zone_of(each)) for each in endpoints)

    def objection(
        self, request: Request, endpoints: Sequence[EndpointHealth], now: timedelta
    ) -> Problem | None:
        """Return why a call is refused instead of waiting; None if it isn't.

        A call waits for an endpoint that is full, or that has requested a backoff, as
        a call without restriction does.

        Parameters
        ----------
        endpoints : sequence of EndpointHealth
            Those that the call may be sent to.
        """
        regions = self.regions_of(request)
        if regions is None:
            return None
        if not regions:
            return outside_regions(NO_COMMON_REGION)
        if any(each.usable(now) or each.backoff.active(now) for each in endpoints):
            return None
        return outside_regions(NO_HOME_ENDPOINT)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Note the restriction of a new call; refuse it if no endpoint may run it."""
        request = record.request
        if request.home_regions is None:
            return Proceed()
        self.restricted[request.request_id] = request.home_regions
        own_zone = context.state.identity.availability_zone
        # The sender knows another configuration, or other regions of zones.
        if request.forwarded_by is not None and not self.allows_zone(request, own_zone):
            return Refuse(outside_regions(FORWARDED_OUTSIDE))
        # A peer may reach endpoints that are not usable from here.
        if request.home_regions and self.connectivity.unreachable(
            ServiceId(request.target)
        ):
            return Proceed()
        endpoints = self.endpoints_for(request)
        problem = self.objection(request, endpoints, context.now)
        return Proceed() if problem is None else Refuse(problem)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Follow the configuration, the peers and the ends of calls."""

    @handle.register
    def _(self, message: RoutingTableChanged, context: Context) -> None:
        # Open calls obey a stricter configuration from their next attempt on; a less
        # strict one leaves them the restriction that applied at their arrival.
        if not (message.table.restricts_regions or self.restricted):
            return
        for request_id, record in context.state.requests.items():
            current = self.regions_under(request_id, message.table)
            regions = common_regions(record.request.home_regions, current)
            if regions is None:
                self.restricted.pop(request_id, None)
            else:
                self.restricted[request_id] = regions

    @handle.register
    def _(self, message: ForwardingPeersChanged, context: Context) -> None:
        self.peer_zones = {each.endpoint: each.zone for each in message.peers}

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self.restricted.pop(message.record.request_id, None)


def outside_regions(detail: str) -> Problem:
    """Return the problem of a call that its restriction leaves nowhere to run."""
    return Problem(ProblemCode.NO_HOME_ENDPOINT, detail, RETRY_AFTER)

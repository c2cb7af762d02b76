"""A gateway's kernel with plain endpoints in zones of several regions."""

from collections.abc import Mapping
from datetime import timedelta

from msgspec.structs import replace

from mimosafork.gateway.policies.endpoint_health import EndpointHealth
from mimosafork.gateway.policies.home_regions import HomeRegions
from mimosafork.gateway.policies.requested_backoff import RequestedBackoff
from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    RegionId,
    RequestId,
    Revision,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.requests import Request
from mimosafork.kernel.messages.routing import EndpointUsable, RoutingTableChanged
from mimosafork.routing.table import (
    Account,
    CallKind,
    ClientLimits,
    Route,
    RouteName,
    RoutingTable,
)

from .gateway_kernels import ZONE, GatewayBench, gateway_bench, listed, request_of

NORTH, SOUTH = RegionId("north"), RegionId("south")
SOUTHERN_ZONE = AvailabilityZoneId("zone-b")
UNNAMED_ZONE = AvailabilityZoneId("zone-c")
HOLD = timedelta(seconds=1)
REGIONS = {ZONE: NORTH, SOUTHERN_ZONE: SOUTH}


class RegionalBench(GatewayBench):
    """Adds endpoints in zones, and configurations that restrict open calls."""

    @property
    def homes(self) -> HomeRegions:
        """The plug-in that keeps calls within their home regions."""
        return self.kernel.plugin(HomeRegions)

    def list_in(self, zone: AvailabilityZoneId, *names: str) -> None:
        """List endpoints of a zone as usable."""
        for name in names:
            self.handle(EndpointUsable(replace(listed(name), zone=zone)))

    def health_of(self, name: str) -> EndpointHealth:
        """Return the health of an endpoint."""
        assert self.homes.fleet is not None
        return self.homes.fleet.endpoints[EndpointId(name)]

    def hold(self, *names: str) -> None:
        """Let calls wait for endpoints, which have requested a short backoff."""
        for name in names:
            self.health_of(name).backoff.extend(HOLD, self.clock.monotonic())

    def let_go(self, *names: str) -> None:
        """End the backoffs of endpoints, and place the calls that wait."""
        for name in names:
            self.health_of(name).backoff = RequestedBackoff()
        self.handle(Tick())

    def configure(self, **regions: frozenset[RegionId] | None) -> None:
        """Apply a configuration under which calls, by id, have home regions."""

        def regions_under(
            request_id: RequestId, table: RoutingTable
        ) -> frozenset[RegionId] | None:
            return regions.get(request_id)

        self.homes.regions_under = regions_under
        restricts = any(each is not None for each in regions.values())
        self.handle(RoutingTableChanged(table_with(NORTH) if restricts else EMPTY))

    def restricted(
        self, request_id: str, *regions: RegionId, non_idempotent: bool = False
    ) -> Request:
        """Return a call that has home regions."""
        request = request_of(self, request_id, non_idempotent)
        return replace(request, home_regions=frozenset(regions))

    def zone_of(self, endpoint: EndpointId) -> AvailabilityZoneId | None:
        """Return the zone in which an endpoint is listed."""
        assert self.homes.fleet is not None
        return self.homes.fleet.zone_of(endpoint)


def regional_bench(
    regions: Mapping[AvailabilityZoneId, RegionId] = REGIONS,
) -> RegionalBench:
    """Return a kernel without endpoints whose settings name the regions of zones."""
    plain = gateway_bench(endpoints=0)
    bench = RegionalBench(plain.kernel, plain.clock)
    bench.homes.region_of_zone = regions
    return bench


def table_with(*regions: RegionId, accounts: tuple[Account, ...] = ()) -> RoutingTable:
    """Return a configuration with one route that has home regions."""
    route = Route(
        RouteName("safe"),
        "front.example",
        "/safe/",
        CallKind.IDEMPOTENT,
        timedelta(seconds=6),
        timedelta(seconds=1),
        (),
        home_regions=frozenset(regions),
    )
    return RoutingTable(Revision(2), (route,), {}, ClientLimits(), accounts)


EMPTY = RoutingTable(Revision(3), (), {}, ClientLimits(), ())

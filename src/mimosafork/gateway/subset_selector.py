"""Engine subset of an instance in a large fleet, and recipients of its work notes."""

from collections.abc import Iterable, Sequence

from ..ids import EndpointId, InstanceId
from ..placement.choice import EngineView
from ..placement.subset import (
    MIN_ENGINES_FOR_SUBSETS,
    InstanceOrder,
    own_engines,
    subset_rank,
)
from .policies.endpoint_health import EndpointHealth
from .policies.fleet_view import FleetView


class SubsetSelector:
    """Computes subsets from the live peers and the listed engines.

    In a fleet whose instances all publish their work to each other, every instance uses
    all engines.

    Parameters
    ----------
    own : InstanceId
    fleet : FleetView
        Engines by service.
    """

    def __init__(self, own: InstanceId, fleet: FleetView) -> None:
        self.own = own
        self.fleet = fleet
        self.instance_order: InstanceOrder | None = None

    def update_peers(self, peers: Iterable[InstanceId], large: bool) -> None:
        """Set the live peers, and whether the fleet is large enough for subsets."""
        self.instance_order = InstanceOrder.of([self.own, *peers]) if large else None

    def select_engines(self, views: Sequence[EngineView]) -> Sequence[EngineView]:
        """Return the engines of a service that this instance uses."""
        if self.instance_order is None or len(views) < MIN_ENGINES_FOR_SUBSETS:
            return views
        return own_engines(self.instance_order, self.own, views)

    def work_recipients(
        self, engines: Iterable[EndpointId]
    ) -> frozenset[InstanceId] | None:
        """Return the peers that use one of some engines; None for all peers."""
        if self.instance_order is None:
            return None
        users: set[InstanceId] = set()
        for engine in engines:
            endpoint = self.fleet.endpoints.get(engine)
            if endpoint is None:
                continue
            listed = self._ranked_with(endpoint)
            if len(listed) < MIN_ENGINES_FOR_SUBSETS:
                return frozenset(self.instance_order.positions) - {self.own}
            ranks = sorted(subset_rank(each.listed.endpoint) for each in listed)
            position = ranks.index(subset_rank(engine))
            users.update(self.instance_order.users(position, len(ranks)))
        return frozenset(users - {self.own})

    def _ranked_with(self, engine: EndpointHealth) -> list[EndpointHealth]:
        """Return the engines among which instances rank one.

        No subset has an engine of an evacuated zone. A call that still runs there is
        published to the instances that use the engine once the evacuation ends.
        """
        service = engine.listed.service
        if self.fleet.is_evacuated(engine.listed.endpoint):
            return self.fleet.listed_endpoints(service)
        return self.fleet.service_endpoints(service)

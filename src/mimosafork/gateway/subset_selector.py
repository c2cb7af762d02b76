"""Which engines this instance of a large fleet uses, and whom it tells of its works."""

from collections.abc import Iterable, Sequence

from ..ids import EndpointId, InstanceId
from ..placement.choice import EngineView
from ..placement.subset import (
    MIN_ENGINES_FOR_SUBSETS,
    InstanceOrder,
    own_engines,
    subset_rank,
)
from .policies.fleet_view import FleetView


class SubsetSelector:
    """Works out subsets from the peers that are heard and the engines that are listed.

    In a fleet where everyone tells everyone of its works, all engines are used by all.

    Parameters
    ----------
    own : InstanceId
    fleet : FleetView
        Knows the engines by service.
    """

    def __init__(self, own: InstanceId, fleet: FleetView) -> None:
        self.own = own
        self.fleet = fleet
        self.order: InstanceOrder | None = None

    def update_peers(self, peers: Iterable[InstanceId], large: bool) -> None:
        """Take who is heard, and whether not everyone tells everyone."""
        self.order = InstanceOrder.of([self.own, *peers]) if large else None

    def select_engines(self, views: Sequence[EngineView]) -> Sequence[EngineView]:
        """Return those of a service's engines that this instance uses."""
        if self.order is None or len(views) < MIN_ENGINES_FOR_SUBSETS:
            return views
        return own_engines(self.order, self.own, views)

    def work_recipients(
        self, engines: Iterable[EndpointId]
    ) -> frozenset[InstanceId] | None:
        """Return who else uses one of some engines of a service; None for all."""
        if self.order is None:
            return None
        users: set[InstanceId] = set()
        for engine in engines:
            known = self.fleet.endpoints.get(engine)
            if known is None:
                continue
            listed = self.fleet.service_endpoints(known.listed.service)
            if len(listed) < MIN_ENGINES_FOR_SUBSETS:
                return frozenset(self.order.positions) - {self.own}
            ranks = sorted(subset_rank(each.listed.endpoint) for each in listed)
            place = ranks.index(subset_rank(engine))
            users.update(self.order.users(place, len(ranks)))
        return frozenset(users - {self.own})

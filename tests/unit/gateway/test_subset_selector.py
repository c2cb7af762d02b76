"""Tests of which engines an instance of a large fleet uses, and whom it tells."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.fleet_view import EndpointHealth, FleetView
from mimosafork.gateway.subset_selector import SubsetSelector
from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId, ServiceId
from mimosafork.placement.subset import MIN_ENGINES_FOR_SUBSETS, SUBSET_SIZE
from mimosafork.routing.listing import ListedEndpoint, ListedState

from ...support.functions import function_tests

case = TestCase()

OWN = InstanceId("front-0")
PEERS = [InstanceId(f"front-{number}") for number in range(1, 195)]
POOL = ServiceId("pool")
NOW = timedelta(0)


def fleet_of(engines: int) -> FleetView:
    """Return a view of one service's engines."""
    fleet = FleetView()
    for number in range(engines):
        listed = ListedEndpoint(
            endpoint=EndpointId(f"i-{number}"),
            service=POOL,
            address=f"10.0.0.{number}:80",
            zone=AvailabilityZoneId("z"),
            slots=5,
            state=ListedState.READY,
            sequence=1,
        )
        belief = EndpointHealth(listed)
        fleet.endpoints[listed.endpoint] = belief
        fleet.by_service.setdefault(POOL, {})[listed.endpoint] = belief
    return fleet


def used(neighbours: SubsetSelector) -> set[EndpointId]:
    """Return the engines that an instance uses."""
    views = [each.view(NOW) for each in neighbours.fleet.service_endpoints(POOL)]
    return {view.endpoint for view in neighbours.select_engines(views)}


def test_all_engines_are_used_where_everyone_tells_everyone() -> None:
    neighbours = SubsetSelector(OWN, fleet_of(112))
    case.assertEqual(112, len(used(neighbours)))
    neighbours.update_peers(PEERS[:40], large=False)
    case.assertEqual(112, len(used(neighbours)))
    case.assertIsNone(neighbours.work_recipients([EndpointId("i-3")]))


def test_a_work_is_told_to_all_who_may_choose_its_engines() -> None:
    """Two instances that don't know of each other's works fill an engine twice.

    Whoever uses an engine hears of each work on it, also of one that only helps.
    """
    fleet = fleet_of(112)
    neighbours = SubsetSelector(OWN, fleet)
    neighbours.update_peers(PEERS, large=True)
    mine = sorted(used(neighbours))
    case.assertEqual(SUBSET_SIZE, len(mine))
    sharing = set()
    for peer in PEERS:
        other = SubsetSelector(peer, fleet)
        other.update_peers([each for each in [OWN, *PEERS] if each != peer], large=True)
        if used(other) & {mine[0], mine[7]}:
            sharing.add(peer)
    case.assertEqual(sharing, neighbours.work_recipients([mine[0], mine[7]]))
    case.assertLess(len(sharing), 60)


def test_few_engines_are_used_by_all_and_all_are_told() -> None:
    neighbours = SubsetSelector(OWN, fleet_of(MIN_ENGINES_FOR_SUBSETS - 1))
    neighbours.update_peers(PEERS, large=True)
    case.assertEqual(MIN_ENGINES_FOR_SUBSETS - 1, len(used(neighbours)))
    case.assertEqual(frozenset(PEERS), neighbours.work_recipients([EndpointId("i-3")]))


def test_calls_of_plain_endpoints_are_told_to_nobody_in_a_large_fleet() -> None:
    neighbours = SubsetSelector(OWN, fleet_of(112))
    neighbours.update_peers(PEERS, large=True)
    case.assertEqual(frozenset(), neighbours.work_recipients([]))


load_tests = function_tests(__name__)

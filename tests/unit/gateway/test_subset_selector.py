"""Tests of the engine subsets and work recipients of a large fleet."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.endpoint_health import EndpointHealth
from mimosafork.gateway.policies.fleet_view import FleetView
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


def used(selector: SubsetSelector) -> set[EndpointId]:
    """Return the engines that an instance uses."""
    views = [each.view(NOW) for each in selector.fleet.service_endpoints(POOL)]
    return {view.endpoint for view in selector.select_engines(views)}


def test_small_fleet_uses_all_engines() -> None:
    selector = SubsetSelector(OWN, fleet_of(112))
    case.assertEqual(112, len(used(selector)))
    selector.update_peers(PEERS[:40], large=False)
    case.assertEqual(112, len(used(selector)))
    case.assertIsNone(selector.work_recipients([EndpointId("i-3")]))


def test_work_is_published_to_all_peers_that_share_its_engines() -> None:
    """Two instances overload an engine because neither knows the other's work.

    Every user of an engine must receive all work on it, as host or as helper.
    """
    fleet = fleet_of(112)
    selector = SubsetSelector(OWN, fleet)
    selector.update_peers(PEERS, large=True)
    mine = sorted(used(selector))
    case.assertEqual(SUBSET_SIZE, len(mine))
    sharing = set()
    for peer in PEERS:
        other = SubsetSelector(peer, fleet)
        other.update_peers([each for each in [OWN, *PEERS] if each != peer], large=True)
        if used(other) & {mine[0], mine[7]}:
            sharing.add(peer)
    case.assertEqual(sharing, selector.work_recipients([mine[0], mine[7]]))
    case.assertLess(len(sharing), 60)


def test_few_engines_are_used_by_all_peers() -> None:
    selector = SubsetSelector(OWN, fleet_of(MIN_ENGINES_FOR_SUBSETS - 1))
    selector.update_peers(PEERS, large=True)
    case.assertEqual(MIN_ENGINES_FOR_SUBSETS - 1, len(used(selector)))
    case.assertEqual(frozenset(PEERS), selector.work_recipients([EndpointId("i-3")]))


def test_plain_calls_have_no_recipients_in_large_fleet() -> None:
    selector = SubsetSelector(OWN, fleet_of(112))
    selector.update_peers(PEERS, large=True)
    case.assertEqual(frozenset(), selector.work_recipients([]))


load_tests = function_tests(__name__)

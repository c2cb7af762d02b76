"""Tests of home regions at helpers, reservations, peers and the last check."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.connectivity import EndpointConnectivity
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.home_regions import NO_HOME_ENDPOINT, HomeRegions
from mimosafork.gateway.policies.reserving import MemoryKeeper
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.policies.send_permits import SendPermits
from mimosafork.gateway.policies.service_reach import ServiceReach
from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.connectivity import (
    ForwardingPeer,
    ForwardingPeersChanged,
    peer_endpoint,
)
from mimosafork.kernel.messages.dispatch import Dispatch, PrefillHelper
from mimosafork.kernel.messages.requests import Request, Submit
from mimosafork.kernel.messages.routing import EndpointUsable, RoutingTableChanged

from ...support.functions import function_tests
from ...support.gateway_kernels import PLAIN_SERVICE, ZONE, request_of
from ...support.regional_fleet import (
    EMPTY,
    NORTH,
    REGIONS,
    SOUTH,
    SOUTHERN_ZONE,
    RegionalBench,
    regional_bench,
    table_with,
)
from ...support.reserving_engines import (
    MEMORY,
    ReservingBench,
    huge_request,
    listed_engine,
    reserving_bench,
    table_of_pool,
)

case = TestCase()

ENGINES = 8
SOUTHERN = frozenset(f"e{number}" for number in range(ENGINES // 2, ENGINES))
LONG = 250_000
"""Tokens that several engines read in time, and that fit into one."""


def gate_of(bench: RegionalBench) -> EndpointSendGate:
    plugin = bench.kernel.plugin
    return EndpointSendGate(plugin(FleetView), SendPermits.of(plugin), bench.homes)


def engines_in_two_regions() -> ReservingBench:
    """Return a kernel with as many engines in one region as in the other."""
    bench = reserving_bench(ENGINES)
    for name in bench.engines:
        zone = SOUTHERN_ZONE if name in SOUTHERN else ZONE
        bench.handle(EndpointUsable(replace(listed_engine(name), zone=zone)))
    bench.kernel.plugin(HomeRegions).region_of_zone = REGIONS
    return bench


def long_request(name: str, prompt: int) -> Request:
    request = huge_request(name, prompt=prompt)
    return replace(request, home_regions=frozenset({SOUTH}))


def peer(name: str, zone: AvailabilityZoneId) -> ForwardingPeer:
    return ForwardingPeer(InstanceId(name), zone, f"127.0.0.1:{len(name)}")


def cut_off(*peers: ForwardingPeer) -> RegionalBench:
    """Return a kernel that reaches no endpoint of the service."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    reach = ServiceReach(unreachable_since=bench.clock.monotonic())
    bench.kernel.plugin(EndpointConnectivity).services[PLAIN_SERVICE] = reach
    bench.handle(ForwardingPeersChanged(peers))
    return bench


def used_by(dispatch: Dispatch) -> set[EndpointId]:
    return {dispatch.endpoint, *(each.endpoint for each in dispatch.helpers)}


def test_helpers_are_in_the_home_regions() -> None:
    """The host is in a home region, and reads a prompt with engines of another one."""
    bench = engines_in_two_regions()
    bench.serve(Submit(long_request("r", LONG)))
    used = used_by(bench.last_dispatch("r"))
    case.assertGreater(len(used), 1)
    case.assertLessEqual(used, SOUTHERN)


def test_memory_is_reserved_in_the_home_regions() -> None:
    """Engines of other regions hold memory for a prompt that they may not read."""
    bench = engines_in_two_regions()
    bench.serve(Submit(long_request("r", 700_000)))
    case.assertTrue(bench.reserve_order)
    case.assertLessEqual(set(bench.reserve_order), SOUTHERN)
    case.assertLessEqual(used_by(bench.last_dispatch("r")), SOUTHERN)


def test_a_prompt_larger_than_the_home_regions_goes_nowhere_else() -> None:
    """The memory of all regions counts, and a part is read outside."""
    bench = engines_in_two_regions()
    bench.serve(Submit(long_request("r", ENGINES * MEMORY * 3 // 4)))
    case.assertEqual([], bench.reserve_order)
    case.assertEqual([], bench.dispatches("r"))


def test_reserved_memory_is_given_up_when_its_engines_become_forbidden() -> None:
    """A configuration changes while memory is reserved, and the prompt is sent."""
    bench = engines_in_two_regions()
    homes = bench.kernel.plugin(HomeRegions)
    bench.delayed_answers = []
    bench.serve(Submit(huge_request("r")))
    first = bench.reserve_order[0]
    home = NORTH if first in SOUTHERN else SOUTH
    homes.regions_under = lambda request_id, table: frozenset({home})
    table = replace(table_with(home), services=table_of_pool().services)
    bench.serve(RoutingTableChanged(table))
    bench.deliver_delayed_answers()
    bench.run(timedelta(seconds=1))
    allowed = set(bench.engines) - SOUTHERN if home is NORTH else SOUTHERN
    for dispatch in bench.dispatches("r"):
        case.assertLessEqual(used_by(dispatch), allowed)
    case.assertEqual(1, len(bench.dispatches("r")))
    case.assertNotIn(first, bench.held().values())
    case.assertEqual(1, len(bench.kernel.plugin(MemoryKeeper).gangs))


def test_calls_are_forwarded_to_peers_in_their_home_regions_only() -> None:
    """A body leaves its regions by way of a peer."""
    bench = cut_off(peer("b", ZONE), peer("c", SOUTHERN_ZONE))
    for number in range(4):
        dispatch = bench.begin(bench.restricted(f"r{number}", SOUTH))
        case.assertEqual(peer_endpoint(InstanceId("c")), dispatch.endpoint)
    used = {bench.begin(request_of(bench, f"free-{n}")).endpoint for n in range(4)}
    case.assertIn(peer_endpoint(InstanceId("b")), used)


def test_without_peer_in_its_home_regions_a_call_is_refused() -> None:
    """A restricted call waits, or is forwarded, where no home peer is left."""
    bench = cut_off(peer("b", ZONE))
    bench.submit(bench.restricted("r0", SOUTH))
    case.assertEqual([], bench.dispatches("r0"))
    end = bench.concluded("r0")
    assert end.problem is not None
    case.assertEqual(NO_HOME_ENDPOINT, end.problem.detail)


def test_after_a_refusing_home_peer_a_call_goes_to_no_other_region() -> None:
    bench = cut_off(peer("b", ZONE), peer("c", SOUTHERN_ZONE))
    dispatch = bench.begin(bench.restricted("r0", SOUTH))
    bench.fail(dispatch, FailureKind.REFUSED, Exposure.REFUSED, 503, "not-run")
    bench.retried(dispatch)
    case.assertEqual(1, len(bench.dispatches("r0")))
    bench.concluded("r0")


def test_the_last_check_stops_a_call_that_was_restricted_since_its_placement() -> None:
    """An attempt waits for a connection while the operator restricts its route."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    dispatch = bench.begin(request_of(bench, "r0"))
    gate, now = gate_of(bench), bench.clock.monotonic()
    case.assertIsNone(gate.objection(dispatch, now))
    bench.configure(r0=frozenset({SOUTH}))
    case.assertIs(FailureKind.OUTSIDE_REGIONS, gate.objection(dispatch, now))
    bench.list_in(SOUTHERN_ZONE, "far")
    bench.fail(dispatch, FailureKind.OUTSIDE_REGIONS, Exposure.NEVER_SENT)
    again = bench.retried(dispatch)
    assert again is not None
    case.assertEqual(EndpointId("far"), again.endpoint)
    case.assertIsNone(gate.objection(again, now))


def test_the_last_check_includes_helpers() -> None:
    """The host is still allowed, and the helper that reads the prompt is not."""
    bench = regional_bench()
    bench.list_in(ZONE, "near")
    bench.list_in(SOUTHERN_ZONE, "far")
    dispatch = bench.begin(bench.restricted("r0", SOUTH))
    gate, now = gate_of(bench), bench.clock.monotonic()
    case.assertIsNone(gate.objection(dispatch, now))
    for name in ("near", "unknown"):
        helper = PrefillHelper(EndpointId(name), "127.0.0.1:1")
        helped = replace(dispatch, helpers=(helper,))
        case.assertIs(FailureKind.OUTSIDE_REGIONS, gate.objection(helped, now))


def test_the_last_check_includes_peers() -> None:
    """A call is sent to a peer that is in none of its home regions any more."""
    bench = cut_off(peer("c", SOUTHERN_ZONE))
    dispatch = bench.begin(bench.restricted("r0", SOUTH))
    case.assertTrue(dispatch.via_peer)
    gate, now = gate_of(bench), bench.clock.monotonic()
    case.assertIsNone(gate.objection(dispatch, now))
    case.assertEqual({SOUTH}, gate.home_regions(RequestId("r0")))
    bench.homes.region_of_zone = {}
    case.assertIs(FailureKind.OUTSIDE_REGIONS, gate.objection(dispatch, now))
    bench.homes.region_of_zone = REGIONS
    bench.handle(ForwardingPeersChanged(()))
    case.assertIs(FailureKind.OUTSIDE_REGIONS, gate.objection(dispatch, now))


def test_the_last_check_passes_calls_without_restriction() -> None:
    """Endpoints that have left the list get no call that was placed before."""
    bench = regional_bench({})
    bench.list_in(ZONE, "near")
    dispatch = bench.begin(request_of(bench, "r0"))
    bench.handle(RoutingTableChanged(table_with(NORTH)))
    gate, now = gate_of(bench), bench.clock.monotonic()
    unknown = replace(dispatch, endpoint=EndpointId("unknown"))
    case.assertIsNone(gate.objection(dispatch, now))
    case.assertIsNone(gate.objection(unknown, now))
    case.assertIsNone(gate.home_regions(RequestId("r0")))
    bench.handle(RoutingTableChanged(EMPTY))
    case.assertIsNone(gate.objection(dispatch, now))


load_tests = function_tests(__name__)

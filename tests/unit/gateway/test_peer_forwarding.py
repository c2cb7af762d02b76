"""Tests of the choice of peers for calls whose service can't be reached."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.connectivity import EndpointConnectivity
from mimosafork.gateway.policies.quarantining import CrashQuarantine
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gateway.policies.service_reach import ServiceReach
from mimosafork.ids import AvailabilityZoneId, InstanceId
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.connectivity import (
    ForwardingPeer,
    ForwardingPeersChanged,
    peer_endpoint,
)
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.placement.load_tracker import LoadTracker

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    PLAIN_SERVICE,
    ZONE,
    GatewayBench,
    gateway_bench,
    request_of,
)

case = TestCase()

OTHER_ZONE = AvailabilityZoneId("zone-b")


def peer(
    name: str, zone: AvailabilityZoneId = ZONE, reaches: bool = True
) -> ForwardingPeer:
    unreachable = frozenset() if reaches else frozenset({PLAIN_SERVICE})
    return ForwardingPeer(InstanceId(name), zone, f"127.0.0.1:{len(name)}", unreachable)


def cut_off(*peers: ForwardingPeer) -> GatewayBench:
    """Return a kernel that reaches no endpoint of the service."""
    bench = gateway_bench()
    reach = ServiceReach(unreachable_since=bench.clock.monotonic())
    bench.kernel.plugin(EndpointConnectivity).services[PLAIN_SERVICE] = reach
    bench.handle(ForwardingPeersChanged(peers))
    return bench


def target(dispatch: Dispatch) -> str:
    return dispatch.endpoint if dispatch.via_peer else "endpoint"


def test_calls_go_to_peers_that_reach_their_service() -> None:
    """A partitioned instance refuses calls that its peers could run."""
    bench = cut_off(peer("b"), peer("c", reaches=False))
    for number in range(4):
        dispatch = bench.begin(request_of(bench, f"r{number}"))
        case.assertEqual(peer_endpoint(InstanceId("b")), target(dispatch))


def test_calls_are_spread_over_peers() -> None:
    """One peer runs all calls of a partitioned instance."""
    bench = cut_off(peer("b"), peer("c", OTHER_ZONE), peer("d"))
    targets = [
        target(bench.begin(request_of(bench, f"r{number}"))) for number in range(9)
    ]
    case.assertEqual([3, 3, 3], [targets.count(each) for each in set(targets)])
    near = {peer_endpoint(InstanceId(name)) for name in ("b", "d")}
    case.assertEqual(near, set(targets[:2]))


def test_ended_calls_make_room_at_their_peer() -> None:
    bench = cut_off(peer("b"), peer("c"))
    first = bench.begin(request_of(bench, "r0"))
    bench.begin(request_of(bench, "r1"))
    bench.finish(first)
    case.assertEqual(first.endpoint, bench.begin(request_of(bench, "r2")).endpoint)


def test_a_forwarded_call_is_not_forwarded_again() -> None:
    """Two partitioned instances send a call back and forth."""
    bench = cut_off(peer("b"))
    request = replace(request_of(bench, "r0"), forwarded_by=InstanceId("z"))
    bench.submit(request)
    case.assertEqual([], bench.dispatches("r0"))
    case.assertEqual(Outcome.NOT_RUN, bench.concluded("r0").outcome)


def test_a_call_that_a_peer_refuses_goes_to_the_next_one() -> None:
    bench = cut_off(peer("b"), peer("c"))
    tried = set()
    dispatch = bench.begin(request_of(bench, "r0", non_idempotent=True))
    for _ in range(2):
        tried.add(target(dispatch))
        bench.fail(dispatch, FailureKind.REFUSED, Exposure.REFUSED, 503, "not-run")
        dispatch = bench.retried(dispatch) or dispatch
    case.assertEqual({peer_endpoint(InstanceId(name)) for name in ("b", "c")}, tried)
    case.assertEqual(Outcome.NOT_RUN, bench.concluded("r0").outcome)


def test_a_non_idempotent_call_is_not_sent_again_after_a_lost_peer() -> None:
    """A payment runs twice as the instance that forwarded it exits."""
    bench = cut_off(peer("b"), peer("c"))
    dispatch = bench.begin(request_of(bench, "r0", non_idempotent=True))
    bench.fail(dispatch, FailureKind.PEER_FAILED)
    case.assertEqual(1, len(bench.dispatches("r0")))
    case.assertEqual(Outcome.UNKNOWN, bench.concluded("r0").outcome)


def test_a_lost_peer_is_no_evidence_against_a_content() -> None:
    """A harmless request is quarantined because instances exit."""
    bench = cut_off(peer("b"), peer("c"), peer("d"))
    dispatch = bench.begin(request_of(bench, "r0"))
    bench.fail(dispatch, FailureKind.PEER_FAILED)
    case.assertEqual({}, bench.kernel.plugin(CrashQuarantine).ledger.records)


def test_without_any_peer_calls_are_refused_at_once() -> None:
    """An instance that is cut off from everything holds calls until their deadline."""
    bench = cut_off(peer("b"))
    bench.handle(ForwardingPeersChanged(()))
    bench.submit(request_of(bench, "r0"))
    end = bench.concluded("r0")
    case.assertEqual(Outcome.NOT_RUN, end.outcome)
    assert end.problem is not None
    case.assertIs(ProblemCode.NO_ENDPOINT, end.problem.code)
    case.assertIsNotNone(end.problem.retry_after)


def test_endpoints_that_no_instance_reaches_are_tried_as_usual() -> None:
    """All endpoints restart, and calls that could wait for them are refused."""
    bench = cut_off(peer("b", reaches=False))
    dispatch = bench.begin(request_of(bench, "r0"))
    case.assertFalse(dispatch.via_peer)


def test_a_resumable_call_goes_back_to_the_only_peer() -> None:
    """A stream that broke at an endpoint ends, though its peer could resume it."""
    bench = cut_off(peer("b"))
    dispatch = bench.begin(request_of(bench, "r0"))
    bench.fail(dispatch, FailureKind.PEER_FAILED)
    again = bench.retried(dispatch)
    assert again is not None
    case.assertEqual(dispatch.endpoint, again.endpoint)


def test_load_is_counted_where_a_call_runs() -> None:
    """A peer's engines look busier by calls that it counts itself."""
    bench = cut_off(peer("b"))
    bench.begin(request_of(bench, "r0"))
    for plugin in bench.kernel.plugins:
        tracker = getattr(plugin, "load_tracker", None)
        if isinstance(tracker, LoadTracker):
            case.assertEqual({}, tracker.own)


def test_a_forwarded_call_earns_no_retries() -> None:
    """Two instances count the same request, and the fleet's budget grows."""
    for sender, counted in ((InstanceId("z"), 0), (None, 10)):
        bench = gateway_bench()
        for number in range(10):
            request = request_of(bench, f"r{number}")
            bench.submit(replace(request, forwarded_by=sender))
        budget = bench.kernel.plugin(BudgetedRetry).budget(PLAIN_SERVICE)
        case.assertEqual(counted, budget.requests_after(timedelta(0)))


load_tests = function_tests(__name__)

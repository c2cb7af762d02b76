"""Tests of how an instance applies what endpoints announce in their responses."""

from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.home_regions import HomeRegions
from mimosafork.gateway.policies.placing import WorkPlacer
from mimosafork.gateway.policies.requested_backoff import RequestedBackoff
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.policies.send_permits import SendPermits
from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.endpoint_statements import (
    BackoffRequested,
    LeavingAnnounced,
    MarkDraining,
)
from mimosafork.kernel.messages.routing import EndpointLeaving, EndpointUsable

from ...support.functions import function_tests
from ...support.gateway_kernels import GatewayBench, gateway_bench, listed, request_of
from ...support.reserving_engines import huge_request, reserving_bench

case = TestCase()

DESK = EndpointId("desk-0")
OTHER_DESK = EndpointId("desk-1")
SECOND = timedelta(seconds=1)
TICK = timedelta(milliseconds=50)
SHORT_PROMPT = 2_000


def announce_leaving(
    bench: GatewayBench, requested_ago: timedelta = timedelta(0)
) -> None:
    """Receive a response in which the first endpoint announces that it leaves."""
    requested_at = bench.clock.monotonic() - requested_ago
    bench.handle(LeavingAnnounced(DESK, requested_at))


def send_gate(bench: GatewayBench) -> EndpointSendGate:
    """Return the check of requests before they are sent."""
    fleet = bench.kernel.plugin(FleetView)
    permits = SendPermits.of(bench.kernel.plugin)
    return EndpointSendGate(fleet, permits, bench.kernel.plugin(HomeRegions))


def hosts(bench: GatewayBench, calls: int, prefix: str) -> set[EndpointId]:
    """Return the endpoints at which new calls are placed."""
    return {
        bench.begin(request_of(bench, f"{prefix}{number}")).endpoint
        for number in range(calls)
    }


def test_an_endpoint_that_leaves_is_withdrawn_at_once_and_published_once() -> None:
    """A further call must not be placed between the response and the directory."""
    bench = gateway_bench(endpoints=2)
    for _ in range(3):
        announce_leaving(bench)
    case.assertEqual({OTHER_DESK}, hosts(bench, 6, "r"))
    case.assertEqual([MarkDraining(DESK)], bench.emitted(MarkDraining))


def test_a_listing_as_ready_does_not_restore_an_endpoint_that_leaves() -> None:
    """The store may list an endpoint as ready long after it has begun to leave."""
    bench = gateway_bench(endpoints=2)
    announce_leaving(bench)
    bench.handle(EndpointUsable(replace(listed(DESK), sequence=5)))
    case.assertEqual({OTHER_DESK}, hosts(bench, 6, "r"))


def test_an_endpoint_that_leaves_while_it_is_not_listed_is_not_used_again() -> None:
    """A response may announce the leaving while the row has expired in an outage."""
    bench = gateway_bench(endpoints=0)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=4)))
    bench.handle(EndpointUsable(replace(listed(OTHER_DESK), started_ms=4)))
    bench.handle(EndpointLeaving(DESK, final=False))
    announce_leaving(bench)
    bench.clock.advance(4 * SECOND)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=4)))
    case.assertEqual({OTHER_DESK}, hosts(bench, 6, "r"))
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=9)))
    case.assertIn(DESK, hosts(bench, 6, "s"))


def test_a_restarted_endpoint_is_used_whatever_the_former_one_announced() -> None:
    """A late response of the former incarnation must not withdraw the new one."""
    bench = gateway_bench(endpoints=0)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=4)))
    announce_leaving(bench)
    bench.clock.advance(SECOND)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=5)))
    announce_leaving(bench, requested_ago=2 * SECOND)
    case.assertEqual({DESK}, hosts(bench, 1, "r"))


def test_a_placed_call_is_not_sent_to_an_endpoint_that_leaves() -> None:
    """A call may wait for a connection while another response announces the leaving."""
    bench = gateway_bench(endpoints=1)
    placed = bench.begin(request_of(bench, "r0", non_idempotent=True))
    bench.list_endpoint("desk-1")
    announce_leaving(bench)
    objection = send_gate(bench).objection(placed, bench.clock.monotonic())
    case.assertIs(FailureKind.DRAINING, objection)
    bench.fail(placed, FailureKind.DRAINING, Exposure.NEVER_SENT)
    retried = bench.retried(placed)
    assert retried is not None
    case.assertEqual("desk-1", retried.endpoint)
    case.assertIsNone(send_gate(bench).objection(retried, bench.clock.monotonic()))


def request_backoff(
    bench: GatewayBench,
    duration: timedelta,
    endpoint: EndpointId = DESK,
    requested_ago: timedelta = timedelta(0),
) -> None:
    """Receive a rejection with which an endpoint requests a backoff."""
    requested_at = bench.clock.monotonic() - requested_ago
    bench.handle(BackoffRequested(endpoint, requested_at, duration))


def placements(bench: GatewayBench, calls: int) -> int:
    """Return how many of the waiting calls have been placed."""
    return sum(bool(bench.dispatches(f"w{number}")) for number in range(calls))


def test_a_placed_call_is_not_sent_to_an_endpoint_in_a_backoff() -> None:
    """A call may wait for a connection while another one is rejected."""
    bench = gateway_bench(endpoints=1)
    placed = bench.begin(request_of(bench, "r0", non_idempotent=True))
    bench.list_endpoint(OTHER_DESK)
    request_backoff(bench, SECOND)
    objection = send_gate(bench).objection(placed, bench.clock.monotonic())
    case.assertIs(FailureKind.BACKING_OFF, objection)
    bench.fail(placed, FailureKind.BACKING_OFF, Exposure.NEVER_SENT)
    retried = bench.retried(placed)
    assert retried is not None
    case.assertEqual(OTHER_DESK, retried.endpoint)


def test_a_shorter_backoff_does_not_shorten_an_earlier_one() -> None:
    """Rejections that overtake each other must not let calls through."""
    for first, second in ((3 * SECOND, SECOND), (SECOND, 3 * SECOND)):
        bench = gateway_bench(endpoints=2)
        request_backoff(bench, first)
        request_backoff(bench, second)
        bench.clock.advance(2.9 * SECOND)
        case.assertEqual({OTHER_DESK}, hosts(bench, 6, "r"))
        bench.clock.advance(0.2 * SECOND)
        case.assertIn(DESK, hosts(bench, 6, "s"))


def test_a_call_waits_for_a_backoff_that_ends_soon() -> None:
    """A call that can still be served must not be refused."""
    bench = gateway_bench(endpoints=1)
    request_backoff(bench, 2 * SECOND)
    bench.submit(request_of(bench, "r0"))
    case.assertIsNone(bench.conclusion("r0"))
    bench.handle_after(2 * SECOND + TICK, Tick())
    case.assertEqual(1, len(bench.dispatches("r0")))


def test_a_call_that_cannot_wait_for_a_backoff_is_refused_with_its_end() -> None:
    """A caller must not wait in vain, nor come back too early."""
    bench = gateway_bench(endpoints=2)
    request_backoff(bench, 5 * SECOND)
    request_backoff(bench, 4 * SECOND, OTHER_DESK)
    bench.clock.advance(SECOND)
    bench.submit(request_of(bench, "r0"))
    end = bench.concluded("r0")
    assert end.problem is not None
    case.assertEqual(3 * SECOND, end.problem.retry_after)
    case.assertEqual([], bench.dispatches("r0"))


def test_calls_that_waited_for_a_backoff_are_not_sent_all_at_once() -> None:
    """An endpoint would be overloaded again by all that waited for it."""
    calls = 6
    bench = gateway_bench(endpoints=1)
    request_backoff(bench, SECOND)
    for number in range(calls):
        bench.submit(request_of(bench, f"w{number}"))
    bench.handle_after(SECOND, Tick())
    case.assertEqual(1, placements(bench, calls))
    for _ in range(12):
        bench.handle_after(TICK, Tick())
    case.assertEqual(calls, placements(bench, calls))


def test_placements_are_not_spaced_without_a_backoff() -> None:
    """An instance on a machine that has just booted must not hold back calls."""
    backoff = RequestedBackoff()
    backoff.note_placed(0.5 * SECOND)
    case.assertFalse(backoff.delays_placement(0.5 * SECOND))


def test_a_backoff_belongs_to_an_incarnation() -> None:
    """A restarted endpoint must not inherit the backoff of the former one."""
    bench = gateway_bench(endpoints=0)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=4)))
    request_backoff(bench, 60 * SECOND)
    bench.clock.advance(SECOND)
    bench.handle(EndpointUsable(replace(listed(DESK), started_ms=5)))
    request_backoff(bench, 60 * SECOND, requested_ago=2 * SECOND)
    case.assertEqual({DESK}, hosts(bench, 1, "r"))


def test_a_backoff_outlasts_a_short_absence_from_the_list() -> None:
    """An endpoint whose row expired in an outage of the store must keep its backoff."""
    bench = gateway_bench(endpoints=2)
    request_backoff(bench, 30 * SECOND)
    bench.handle(EndpointLeaving(DESK, final=False))
    bench.clock.advance(4 * SECOND)
    bench.list_endpoint(DESK)
    case.assertEqual({OTHER_DESK}, hosts(bench, 6, "r"))
    bench.clock.advance(27 * SECOND)
    case.assertIn(DESK, hosts(bench, 6, "s"))


def test_a_backoff_that_is_requested_during_an_absence_is_kept() -> None:
    """A rejection may arrive while the endpoint's row has expired in an outage."""
    bench = gateway_bench(endpoints=2)
    bench.handle(EndpointLeaving(DESK, final=False))
    request_backoff(bench, 30 * SECOND)
    bench.clock.advance(4 * SECOND)
    bench.list_endpoint(DESK)
    case.assertEqual({OTHER_DESK}, hosts(bench, 6, "r"))


def test_a_requested_backoff_does_not_count_as_a_full_engine() -> None:
    """Other engines with as many running requests must not be taken for full."""
    for backs_off in (False, True):
        bench = reserving_bench()
        request = huge_request("r0", bench.clock.monotonic(), SHORT_PROMPT)
        bench.submit(request)
        (sent,) = bench.emitted(Dispatch)
        if backs_off:
            now = bench.clock.monotonic()
            bench.handle(BackoffRequested(sent.endpoint, now, SECOND))
        bench.handle(
            AttemptFailed(
                sent.request_id,
                sent.attempt,
                FailureKind.REFUSED,
                Exposure.REFUSED,
                status=503,
                refusal="not-run",
                endpoint=sent.endpoint,
            )
        )
        rejections = bench.kernel.plugin(WorkPlacer).full_rejections
        case.assertEqual(not backs_off, sent.request_id in rejections.by_request)


load_tests = function_tests(__name__)

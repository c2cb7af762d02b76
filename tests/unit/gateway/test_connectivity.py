"""Tests of the detection of services that an instance does not reach."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.connectivity import (
    PROBE_INTERVAL,
    PROBE_JITTER,
    EndpointConnectivity,
)
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.service_reach import PROBES, RECENTLY_OPENED
from mimosafork.ids import RequestId
from mimosafork.kernel.messages.attempts import (
    AttemptSent,
    AttemptSilent,
    Exposure,
    FailureKind,
)
from mimosafork.kernel.messages.connectivity import (
    ConnectionProbed,
    ProbeConnections,
    ProbesDue,
    ProbeTarget,
    PublishConnectivity,
)
from mimosafork.kernel.messages.crashes import PublishInterruptedRun

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    PLAIN_SERVICE,
    GatewayBench,
    gateway_bench,
    request_of,
)

case = TestCase()

LATER = PROBE_INTERVAL * (1 + PROBE_JITTER)


def silent_bench(endpoints: int = 8) -> GatewayBench:
    """Return a kernel whose probes are answered by the test."""
    bench = gateway_bench(endpoints)
    bench.answers_probes = False
    return bench


def is_unreachable(bench: GatewayBench) -> bool:
    return bench.kernel.plugin(EndpointConnectivity).unreachable(PLAIN_SERVICE)


def fail_calls(bench: GatewayBench, kind: FailureKind, count: int) -> None:
    """Fail the first attempts of calls, each at another endpoint."""
    exposure = Exposure.POSSIBLE
    if kind is FailureKind.UNREACHED:
        exposure = Exposure.NEVER_SENT
    for number in range(count):
        dispatch = bench.begin(request_of(bench, f"{kind.value}{number}"))
        bench.fail(dispatch, kind, exposure)


def probed(bench: GatewayBench) -> tuple[ProbeTarget, ...]:
    """Return the targets of the latest round."""
    return bench.emitted(ProbeConnections)[-1].targets


def answer_probes(bench: GatewayBench, opened: int) -> None:
    """Let so many probes of the latest round open connections, and the rest fail."""
    for number, target in enumerate(probed(bench)):
        bench.handle(ConnectionProbed(target, opened=number < opened))


def published(bench: GatewayBench) -> list[bool]:
    """Return whether the service was published as unreachable, in order."""
    found = bench.emitted(PublishConnectivity)
    return [PLAIN_SERVICE in each.unreachable for each in found]


def test_a_service_is_unreachable_once_all_probes_fail() -> None:
    """Calls try one endpoint of a partitioned service after the other."""
    for kind in (FailureKind.UNREACHED, FailureKind.STALLED, FailureKind.BROKEN):
        bench = silent_bench()
        fail_calls(bench, kind, 2)
        case.assertEqual(PROBES, len(probed(bench)))
        case.assertFalse(is_unreachable(bench))
        answer_probes(bench, opened=0)
        case.assertTrue(is_unreachable(bench))
        case.assertEqual([True], published(bench))


def test_one_failed_endpoint_raises_no_suspicion() -> None:
    """The crash of one endpoint costs connections to others."""
    bench = silent_bench()
    dispatch = bench.begin(request_of(bench, "r0"))
    for _ in range(3):
        bench.fail(dispatch)
    case.assertEqual([], bench.emitted(ProbeConnections))


def test_the_only_endpoint_of_a_fleet_may_be_unreachable_too() -> None:
    """A service with one endpoint is never taken for unreachable."""
    bench = silent_bench(endpoints=1)
    fail_calls(bench, FailureKind.UNREACHED, 1)
    answer_probes(bench, opened=0)
    case.assertTrue(is_unreachable(bench))


def test_one_opened_connection_shows_that_a_service_can_be_reached() -> None:
    bench = silent_bench()
    fail_calls(bench, FailureKind.UNREACHED, 2)
    answer_probes(bench, opened=1)
    case.assertFalse(is_unreachable(bench))
    case.assertEqual([], published(bench))


def test_nothing_is_probed_right_after_a_connection_was_opened() -> None:
    """Endpoints that stall together in a flood cost connections all the time."""
    bench = silent_bench()
    dispatch = bench.begin(request_of(bench, "opened"))
    bench.handle(AttemptSent(dispatch.request_id, dispatch.attempt))
    fail_calls(bench, FailureKind.STALLED, 3)
    case.assertEqual([], bench.emitted(ProbeConnections))
    bench.clock.advance(RECENTLY_OPENED)
    fail_calls(bench, FailureKind.UNREACHED, 2)
    case.assertEqual(1, len(bench.emitted(ProbeConnections)))


def test_answers_on_open_connections_do_not_hide_refused_ones() -> None:
    """Old connections live on, and calls that need a new one are refused."""
    bench = silent_bench()
    fail_calls(bench, FailureKind.UNREACHED, 1)
    bench.finish(bench.begin(request_of(bench, "served")))
    fail_calls(bench, FailureKind.UNREACHED, 2)
    answer_probes(bench, opened=0)
    case.assertTrue(is_unreachable(bench))


def test_silent_endpoints_are_suspected_before_their_attempts_end() -> None:
    """Non-idempotent calls wait in silence, and nobody asks why."""
    bench = silent_bench()
    for name in ("r0", "r1"):
        dispatch = bench.begin(request_of(bench, name))
        bench.handle(
            AttemptSilent(RequestId(name), dispatch.attempt, timedelta(seconds=1))
        )
    answer_probes(bench, opened=0)
    case.assertTrue(is_unreachable(bench))


def test_an_unreachable_service_is_probed_until_half_of_a_round_succeeds() -> None:
    """With one endpoint in ten within reach, each round would reverse the last one."""
    bench = silent_bench()
    fail_calls(bench, FailureKind.UNREACHED, 2)
    answer_probes(bench, opened=0)
    for opened, unreachable in ((0, True), (1, True), (2, False)):
        bench.handle_after(LATER, ProbesDue(PLAIN_SERVICE))
        answer_probes(bench, opened)
        case.assertEqual(unreachable, is_unreachable(bench))
    case.assertEqual([True, False], published(bench))


def test_endpoints_are_used_at_once_when_they_can_be_reached_again() -> None:
    """After a cut all calls go to the few endpoints whose backoff has ended."""
    bench = silent_bench()
    fail_calls(bench, FailureKind.UNREACHED, 4)
    answer_probes(bench, opened=0)
    bench.handle_after(LATER, ProbesDue(PLAIN_SERVICE))
    answer_probes(bench, PROBES)
    endpoints = bench.kernel.plugin(FleetView).endpoints.values()
    case.assertTrue(all(each.usable(bench.clock.monotonic()) for each in endpoints))


def test_a_service_without_endpoints_is_not_unreachable() -> None:
    """Endpoints that replace all others are not used."""
    bench = silent_bench(endpoints=2)
    fail_calls(bench, FailureKind.UNREACHED, 2)
    answer_probes(bench, opened=0)
    fleet = bench.kernel.plugin(FleetView)
    fleet.by_service[PLAIN_SERVICE].clear()
    bench.handle_after(LATER, ProbesDue(PLAIN_SERVICE))
    case.assertFalse(is_unreachable(bench))


def suspected(bench: GatewayBench) -> int:
    """Return how many contents were published as suspected of a crash."""
    return len(bench.emitted(PublishInterruptedRun))


def test_contents_are_not_blamed_for_a_partition() -> None:
    """Harmless contents are refused everywhere after one instance was cut off."""
    for opened, blamed in ((0, 1), (PROBES, 4)):
        bench = silent_bench()
        running = [bench.begin(request_of(bench, f"r{n}")) for n in range(4)]
        for dispatch in running:
            bench.fail(dispatch)
        case.assertEqual(1, suspected(bench))
        answer_probes(bench, opened)
        case.assertEqual(blamed, suspected(bench))


def test_connections_that_break_in_a_partition_blame_no_content() -> None:
    bench = silent_bench()
    running = bench.begin(request_of(bench, "running"))
    fail_calls(bench, FailureKind.UNREACHED, 2)
    answer_probes(bench, opened=0)
    bench.fail(running)
    bench.handle_after(LATER, ProbesDue(PLAIN_SERVICE))
    answer_probes(bench, opened=0)
    case.assertEqual(0, suspected(bench))


load_tests = function_tests(__name__)

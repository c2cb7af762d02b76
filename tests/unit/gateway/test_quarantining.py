"""Tests of the quarantine of contents that crash endpoints."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.quarantining import CrashQuarantine
from mimosafork.kernel.messages.attempts import FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.crashes import (
    PeerSuccessReported,
    PublishInterruptedRun,
    PublishSuccess,
)
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.quarantine.judgement import EVIDENCE_RETENTION
from mimosafork.quarantine.register import QUARANTINE_TIME

from ...support.crash_messages import peer_crashes
from ...support.functions import function_tests
from ...support.gateway_kernels import (
    GatewayBench,
    digest_of,
    gateway_bench,
    request_of,
)

case = TestCase()

SOON = timedelta(seconds=3)


def crash(bench: GatewayBench, name: str, endpoints: int) -> None:
    """Let requests of one content crash some endpoints, one attempt each."""
    for number in range(endpoints):
        request = request_of(bench, f"{name}-{number}", max_attempts=1)
        bench.fail(bench.begin(request))


def refused(bench: GatewayBench, request_id: str) -> bool:
    bench.submit(request_of(bench, request_id))
    end = bench.conclusion(request_id)
    if end is None or end.problem is None:
        return False
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    return end.problem.code is ProblemCode.QUARANTINED


def test_a_request_that_crashed_three_endpoints_is_rejected() -> None:
    """A caller resends one prompt, which crashes another endpoint each time.

    Without quarantine it would take the fleet down.
    """
    bench = gateway_bench(endpoints=6)
    crash(bench, "bad", 2)
    case.assertFalse(refused(bench, "bad-x"))
    crash(bench, "bad", 1)
    case.assertEqual(3, len(bench.emitted(PublishInterruptedRun)))
    case.assertTrue(refused(bench, "bad-y"))
    case.assertFalse(refused(bench, "other-1"))


def test_the_same_endpoint_counts_once() -> None:
    bench = gateway_bench(endpoints=1)
    crash(bench, "bad", 4)
    case.assertFalse(refused(bench, "bad-x"))


def test_failures_without_a_broken_connection_are_no_crashes() -> None:
    bench = gateway_bench(endpoints=6)
    for number in range(5):
        request = request_of(bench, f"a-{number}", max_attempts=1)
        bench.fail(bench.begin(request), FailureKind.ENGINE_FAILED, status=500)
    case.assertFalse(refused(bench, "a-x"))


def test_a_completed_request_clears_its_content() -> None:
    """A content that completed elsewhere is cleared of earlier crashes.

    Otherwise unrelated endpoint crashes under a frequent content would add up until it
    is rejected for a minute.
    """
    bench = gateway_bench(endpoints=6)
    crash(bench, "sound", 2)
    bench.finish(bench.begin(request_of(bench, "sound-x")))
    case.assertEqual(digest_of("sound"), bench.emitted(PublishSuccess)[0].content)
    crash(bench, "sound", 2)
    case.assertFalse(refused(bench, "sound-y"))


def test_reports_of_peers_count_and_clear() -> None:
    bench = gateway_bench(endpoints=6)
    now = bench.clock.monotonic()
    for report in peer_crashes(digest_of("bad"), ("e0", "e1", "e2"), now):
        bench.handle(report)
    case.assertTrue(refused(bench, "bad-x"))
    bench.handle(PeerSuccessReported(digest_of("bad"), now))
    case.assertFalse(refused(bench, "bad-y"))


def test_suspicions_expire() -> None:
    """Suspicions expire without another request of the same content.

    Otherwise each broken connection would leave an entry and memory would grow.
    """
    bench = gateway_bench(endpoints=6)
    crash(bench, "bad", 3)
    for number in range(200):
        crash(bench, f"once{number}", 1)
        bench.handle_after(timedelta(milliseconds=600), Tick())
    bench.handle_after(max(QUARANTINE_TIME, EVIDENCE_RETENTION) + SOON, Tick())
    case.assertFalse(refused(bench, "bad-x"))
    crash(bench, "last", 1)
    ledger = bench.kernel.plugin(CrashQuarantine).ledger
    case.assertLessEqual(len(ledger.records), 2)
    case.assertLessEqual(len(ledger.by_content), 2)


def test_waiting_calls_of_a_quarantined_content_are_not_sent() -> None:
    """Waiting calls are rejected once their content is quarantined.

    Many callers send one prompt that crashes endpoints. Those that wait for a usable
    endpoint would each crash one more.
    """
    bench = gateway_bench(endpoints=0)
    for number in range(4):
        bench.submit(request_of(bench, f"bad-{number}"))
    bench.submit(request_of(bench, "other-0"))
    now = bench.clock.monotonic()
    for report in peer_crashes(digest_of("bad"), ("e1", "e2", "e3"), now):
        bench.handle(report)
    bench.list_endpoint("desk-0")
    bench.handle_after(SOON, Tick())
    for number in range(4):
        problem = bench.concluded(f"bad-{number}").problem
        assert problem is not None
        case.assertIs(ProblemCode.QUARANTINED, problem.code)
        case.assertEqual([], bench.dispatches(f"bad-{number}"))
    case.assertEqual(1, len(bench.dispatches("other-0")))


def test_a_call_of_a_quarantined_content_is_not_retried() -> None:
    """A call is not retried if peers report that its content crashed two endpoints.

    The call is repeatable, but a retry would crash a fourth endpoint.
    """
    bench = gateway_bench(endpoints=6)
    first = bench.begin(request_of(bench, "bad-0"))
    now = bench.clock.monotonic()
    for report in peer_crashes(digest_of("bad"), ("e1", "e2"), now):
        bench.handle(report)
    bench.fail(first)
    case.assertIsNone(bench.retried(first))
    end = bench.concluded("bad-0")
    case.assertIs(Outcome.FAILED, end.outcome)


load_tests = function_tests(__name__)

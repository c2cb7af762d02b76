"""Tests of the quarantine: what crashes endpoints reaches no further ones."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.quarantining import SUSPICION_TTL, CrashQuarantine
from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.attempts import FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.sharing import (
    CrashSuspicionUpdated,
    PublishCrashClearance,
    PublishCrashSuspicion,
)

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
    """Let requests of one content break so many endpoints, one attempt each."""
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


def test_a_request_that_broke_three_endpoints_is_refused() -> None:
    """One prompt takes the fleet down.

    Its caller sends it again and again, and each time another endpoint crashes.
    """
    bench = gateway_bench(endpoints=6)
    crash(bench, "bad", 2)
    case.assertFalse(refused(bench, "bad-x"))
    crash(bench, "bad", 1)
    case.assertEqual(3, len(bench.emitted(PublishCrashSuspicion)))
    case.assertTrue(refused(bench, "bad-y"))
    case.assertFalse(refused(bench, "other-1"))


def test_the_same_endpoint_counts_once() -> None:
    bench = gateway_bench(endpoints=1)
    crash(bench, "bad", 4)
    case.assertFalse(refused(bench, "bad-x"))


def test_failures_that_break_no_connection_are_no_crashes() -> None:
    bench = gateway_bench(endpoints=6)
    for number in range(5):
        request = request_of(bench, f"a-{number}", max_attempts=1)
        bench.fail(bench.begin(request), FailureKind.ENGINE_FAILED, status=500)
    case.assertFalse(refused(bench, "a-x"))


def test_a_run_that_ends_well_clears_its_content() -> None:
    """A sound request is refused for a minute.

    Endpoints crash for reasons of their own under a request that many send. That it
    ran to its end elsewhere must clear it, or it adds up until it is refused.
    """
    bench = gateway_bench(endpoints=6)
    crash(bench, "sound", 2)
    bench.finish(bench.begin(request_of(bench, "sound-x")))
    case.assertEqual(digest_of("sound"), bench.emitted(PublishCrashClearance)[0].digest)
    crash(bench, "sound", 2)
    case.assertFalse(refused(bench, "sound-y"))


def test_what_peers_saw_counts_and_is_cleared() -> None:
    bench = gateway_bench(endpoints=6)
    ends = frozenset(EndpointId(f"e{number}") for number in range(3))
    bench.handle(CrashSuspicionUpdated(digest_of("bad"), ends, cleared=False))
    case.assertTrue(refused(bench, "bad-x"))
    bench.handle(CrashSuspicionUpdated(digest_of("bad"), frozenset(), cleared=True))
    case.assertFalse(refused(bench, "bad-y"))


def test_suspicions_end_and_leave_nothing_behind() -> None:
    """The instance grows until it is over its memory.

    Each broken connection of a content of its own left an entry, and only a further
    request of the same content took it away.
    """
    bench = gateway_bench(endpoints=6)
    crash(bench, "bad", 3)
    for number in range(200):
        crash(bench, f"once{number}", 1)
        bench.handle_after(timedelta(milliseconds=600), Tick())
    bench.handle_after(SUSPICION_TTL + SOON, Tick())
    case.assertFalse(refused(bench, "bad-x"))
    crash(bench, "last", 1)
    case.assertLessEqual(len(bench.kernel.plugin(CrashQuarantine).suspicions), 2)


def test_what_waits_when_its_content_is_found_out_is_sent_nowhere() -> None:
    """Many callers send one prompt that crashes endpoints.

    The first ones take all endpoints down; the others wait for one that is usable, or
    to be sent again, and each would crash one more as soon as there is one.
    """
    bench = gateway_bench(endpoints=0)
    for number in range(4):
        bench.submit(request_of(bench, f"bad-{number}"))
    bench.submit(request_of(bench, "other-0"))
    known = frozenset({EndpointId("e1"), EndpointId("e2"), EndpointId("e3")})
    bench.handle(CrashSuspicionUpdated(digest_of("bad"), known, cleared=False))
    bench.list_endpoint("desk-0")
    bench.handle_after(SOON, Tick())
    for number in range(4):
        problem = bench.concluded(f"bad-{number}").problem
        assert problem is not None
        case.assertIs(ProblemCode.QUARANTINED, problem.code)
        case.assertEqual([], bench.dispatches(f"bad-{number}"))
    case.assertEqual(1, len(bench.dispatches("other-0")))


def test_a_call_is_not_sent_again_once_its_content_is_found_out() -> None:
    """A prompt breaks its connection, and peers tell of two more endpoints.

    Its call may run again by its kind, but would bring down a fourth endpoint.
    """
    bench = gateway_bench(endpoints=6)
    first = bench.begin(request_of(bench, "bad-0"))
    known = frozenset({EndpointId("e1"), EndpointId("e2")})
    bench.handle(CrashSuspicionUpdated(digest_of("bad"), known, cleared=False))
    bench.fail(first)
    case.assertIsNone(bench.retried(first))
    end = bench.concluded("bad-0")
    case.assertIs(Outcome.FAILED, end.outcome)


load_tests = function_tests(__name__)

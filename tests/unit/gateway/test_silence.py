"""Tests of silent attempts: when another endpoint is tried, and when not."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.silence import patience_of
from mimosafork.kernel.messages.attempts import AttemptSilent, EndSilentAttempt
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import CallTerms

from ...support.functions import function_tests
from ...support.gateway_kernels import GatewayBench, gateway_bench, request_of

case = TestCase()

SILENCE = timedelta(seconds=1)


def ended(bench: GatewayBench) -> list[EndSilentAttempt]:
    return list(bench.emitted(EndSilentAttempt))


def fall_silent(bench: GatewayBench, dispatch: Dispatch) -> None:
    bench.tell(AttemptSilent(dispatch.request_id, dispatch.attempt, SILENCE))


def test_a_silent_call_that_may_run_again_is_tried_elsewhere() -> None:
    """A clerk waits for an answer until she gives up.

    The endpoint has lost its power and sends nothing, not even an end of the
    connection; nothing short of its silence tells the instance so.
    """
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    fall_silent(bench, first)
    failure = ended(bench)[-1].failure
    bench.tell(failure)
    second = bench.retried(first)
    assert second is not None
    case.assertNotEqual(first.endpoint, second.endpoint)


def test_a_silent_call_that_may_run_once_goes_on() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", once=True))
    case.assertIsNone(first.patience)
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))


def test_a_silent_call_goes_on_where_nothing_better_is_known() -> None:
    """The only endpoint is slow; ending its work would lose the answer for good."""
    bench = gateway_bench(endpoints=1)
    first = bench.begin(request_of(bench, "a"))
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))
    bench.finish(first)
    case.assertIsNone(bench.concluded("a").problem)


def test_a_silent_call_goes_on_when_its_attempts_are_used() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", max_attempts=1))
    fall_silent(bench, first)
    case.assertEqual([], ended(bench))


def test_silence_of_an_earlier_attempt_is_no_news() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    fall_silent(bench, first)
    bench.tell(ended(bench)[-1].failure)
    second = bench.retried(first)
    assert second is not None
    fall_silent(bench, first)
    case.assertEqual(1, len(ended(bench)))


def test_a_streams_patience_ends_before_its_callers() -> None:
    bench = gateway_bench()
    request = request_of(bench, "a")
    object.__setattr__(
        request,
        "terms",
        CallTerms(
            max_attempts=2,
            objective=timedelta(milliseconds=300),
            longest_pause=timedelta(milliseconds=250),
            streams=True,
            resumable=True,
        ),
    )
    patience = patience_of(request)
    assert patience is not None
    case.assertLess(patience.first, timedelta(seconds=1))
    case.assertGreater(patience.further, timedelta(milliseconds=500))


load_tests = function_tests(__name__)

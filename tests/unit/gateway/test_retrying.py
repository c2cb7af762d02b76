"""Tests of repeats: what may run again, how often, and on whose budget."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.retry_budget import (
    MAX_RETRY_TRANSIT,
    RetryLimits,
    ServiceRetryBudget,
    SlackShare,
)
from mimosafork.gateway.policies.retrying import MAX_SENDS, RETRY_RATIO, BudgetedRetry
from mimosafork.ids import AttemptNumber, RequestId
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.routing import EndpointLeaving

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    PLAIN_SERVICE,
    RETRY_PAUSE,
    GatewayBench,
    gateway_bench,
    request_of,
)

case = TestCase()

LOST = (
    FailureKind.BROKEN,
    FailureKind.INVALID,
    FailureKind.STALLED,
    FailureKind.ENGINE_FAILED,
)


def refuse(bench: GatewayBench, dispatch: Dispatch) -> None:
    bench.fail(dispatch, FailureKind.REFUSED, Exposure.REFUSED, 503, "not-run")


def test_what_may_have_run_and_may_run_once_is_never_repeated() -> None:
    """A payment is made twice.

    The endpoint ran the call and its answer was lost; the instance sent the call to
    another endpoint. The caller must get an answer that promises nothing instead.
    """
    for kind in LOST:
        bench = gateway_bench()
        first = bench.begin(request_of(bench, "a", non_idempotent=True))
        bench.fail(first, kind)
        case.assertIsNone(bench.retried(first))
        case.assertIs(Outcome.UNKNOWN, bench.concluded("a").outcome)


def test_what_surely_did_not_run_is_sent_elsewhere() -> None:
    for kind, exposure in (
        (FailureKind.REFUSED, Exposure.REFUSED),
        (FailureKind.UNREACHED, Exposure.NEVER_SENT),
    ):
        bench = gateway_bench()
        first = bench.begin(request_of(bench, "a", non_idempotent=True))
        bench.fail(first, kind, exposure)
        second = bench.retried(first)
        assert second is not None
        case.assertNotEqual(first.endpoint, second.endpoint)


def test_only_what_no_endpoint_ran_is_told_as_not_run() -> None:
    bench = gateway_bench()
    last: Dispatch | None = bench.begin(request_of(bench, "a", non_idempotent=True))
    while last is not None:
        refuse(bench, last)
        last = bench.retried(last)
    end = bench.concluded("a")
    assert end.problem is not None
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    case.assertIs(ProblemCode.NO_ENDPOINT, end.problem.code)
    case.assertIsNotNone(end.problem.retry_after)
    case.assertEqual(MAX_SENDS, end.attempts)


def test_a_repeatable_call_that_ran_once_is_never_told_as_not_run() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", max_attempts=2))
    bench.fail(first)
    last = bench.retried(first)
    while last is not None:
        refuse(bench, last)
        last = bench.retried(last)
    case.assertIs(Outcome.FAILED, bench.concluded("a").outcome)


def test_attempts_are_bounded() -> None:
    bench = gateway_bench()
    last: Dispatch | None = bench.begin(request_of(bench, "a", max_attempts=2))
    while last is not None:
        bench.fail(last)
        last = bench.retried(last)
    case.assertEqual(2, bench.concluded("a").attempts)


def test_an_endpoints_own_answer_below_500_is_final() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.ENGINE_FAILED, status=404)
    case.assertIsNone(bench.retried(first))
    second = bench.begin(request_of(bench, "b"))
    bench.fail(second, FailureKind.ENGINE_FAILED, status=500)
    case.assertIsNotNone(bench.retried(second))


def test_nothing_is_repeated_when_hardly_any_time_is_left() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", time=timedelta(milliseconds=59)))
    bench.fail(first)
    case.assertIsNone(bench.retried(first))


def test_an_instance_repeats_its_own_part_of_the_budget() -> None:
    """An endpoint fails, and each instance repeats as if it were alone.

    Together they send several times as much as is allowed, and the endpoints that
    are left go under.
    """
    for earlier, repeats, later, instances, allowed in (
        (0, 0, 0, 1, True),
        (0, 9, 0, 1, True),
        (0, 10, 0, 1, False),
        (99, 10, 0, 1, False),
        (0, 10, 9, 1, False),
        (0, 10, 10, 1, True),
        (0, 14, 49, 1, False),
        (0, 14, 50, 1, True),
        (0, 1, 0, 10, False),
        (0, 1, 10, 10, True),
        (0, 1, 9, 10, False),
    ):
        bench = gateway_bench()
        policy = bench.kernel.plugin(BudgetedRetry)
        policy.ratio, policy.slack = 0.1, 10.0
        policy.slack_share = lambda n=instances: SlackShare(n)  # type: ignore[misc]
        own = policy.budget(PLAIN_SERVICE)
        for _ in range(earlier):
            own.count_request(bench.clock.monotonic())
        for number in range(repeats):
            own.count_retry(RequestId(f"r{number}"), bench.clock.monotonic())
        bench.clock.advance(2 * MAX_RETRY_TRANSIT)
        for _ in range(later - 1):
            own.count_request(bench.clock.monotonic())
        first = bench.begin(request_of(bench, "a"))
        if not later:
            own.request_times.pop()
        bench.fail(first)
        told = (earlier, repeats, later, instances)
        case.assertEqual(allowed, bench.retried(first) is not None, told)


def test_a_life_after_another_repeats_what_it_earns() -> None:
    """All instances are killed in a flood, and each spends its part a second time.

    What the former lives sent is still in the window.
    """
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.2, 10.0
    share = SlackShare(restarted_at=bench.clock.monotonic())
    policy.slack_share = lambda: share
    bench.clock.advance(timedelta(seconds=1))
    sent = []
    for number in range(20):
        first = bench.begin(request_of(bench, f"a{number}"))
        bench.fail(first)
        sent.append(bench.retried(first) is not None)
    case.assertEqual([False] * 4 + [True], sent[:5])
    case.assertLessEqual(sum(sent), 4)
    case.assertEqual(0, policy.slack_sharers())


def test_whole_repeats_are_shared_and_the_rest_goes_by_rank() -> None:
    for slack, instances in ((10.0, 100), (212.0, 68), (5.9, 2), (0.0, 3), (7.0, 7)):
        parts = [
            SlackShare(instances, rank).portion_of(slack) for rank in range(instances)
        ]
        case.assertEqual(int(slack), sum(parts))
        case.assertLessEqual(max(parts) - min(parts), 1)
    case.assertEqual(0, SlackShare(known=False).portion_of(100.0))
    case.assertEqual(0, SlackShare(restarted_at=timedelta(0)).portion_of(100.0))


def test_an_instance_without_a_part_repeats_what_it_has_earned_twice() -> None:
    """A large fleet with a small slack repeats nothing at most of its instances.

    Without a part of the slack no repeat could ever be the first one.
    """
    for requests, allowed in ((10, True), (9, False)):
        bench = gateway_bench()
        policy = bench.kernel.plugin(BudgetedRetry)
        policy.ratio, policy.slack = 0.2, 0.0
        own = policy.budget(PLAIN_SERVICE)
        for _ in range(requests - 1):
            own.count_request(bench.clock.monotonic())
        first = bench.begin(request_of(bench, "a"))
        bench.fail(first)
        case.assertEqual(allowed, bench.retried(first) is not None, requests)


def test_what_is_saved_up_is_paid_by_earning_half_as_fast() -> None:
    own = ServiceRetryBudget(timedelta(seconds=10))
    terms = RetryLimits(ratio=0.2, burst=0)
    at = timedelta(seconds=100)
    for _ in range(20):
        own.count_request(at)
    own.count_retry(RequestId("a"), at)
    later = at + 2 * MAX_RETRY_TRANSIT
    for number in range(10):
        case.assertAlmostEqual(number * 0.1, own.available(terms, later))
        own.count_request(later)
    case.assertAlmostEqual(1.0, own.available(terms, later))


def test_nothing_is_repeated_where_nothing_is_allowed() -> None:
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.0, 0.0
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    case.assertIsNone(bench.retried(first))


def test_repeats_that_follow_at_once_are_kept_together() -> None:
    own = ServiceRetryBudget(timedelta(seconds=10))
    at = timedelta(seconds=100)
    for number in range(500):
        own.count_retry(RequestId(f"r{number}"), at)
        at += timedelta(milliseconds=1)
    case.assertEqual(500, own.counted_retries())
    case.assertLessEqual(len(own.retry_batches), 12)
    own.refund(RequestId("r250"))
    case.assertEqual(499, own.counted_retries())


def test_many_instances_that_fail_at_once_keep_the_budget_together() -> None:
    """Engines turn away every call of a flood, at all 64 instances.

    Each instance saw the same room and took all of it before it heard of the others'
    repeats: 375 arrivals beyond the first in ten seconds, where 354 were allowed.
    """
    instances, slack, calls_s = 64, 204, 75
    step = timedelta(milliseconds=10)
    failure = AttemptFailed(
        RequestId("a"),
        AttemptNumber(1),
        FailureKind.REFUSED,
        Exposure.REFUSED,
        status=503,
    )
    fleet = [BudgetedRetry() for _ in range(instances)]
    for rank, policy in enumerate(fleet):
        policy.slack = slack
        policy.slack_share = lambda rank=rank: SlackShare(instances, rank)  # type: ignore[misc]
    sent = requests = 0
    for number in range(1000):
        now = number * step
        while requests < calls_s * (now / timedelta(seconds=1)):
            fleet[requests % instances].budget(PLAIN_SERVICE).count_request(now)
            requests += 1
        for policy in fleet:
            if policy.within_budget(PLAIN_SERVICE, failure, now):
                policy.budget(PLAIN_SERVICE).count_retry(RequestId("a"), now)
                sent += 1
    case.assertLessEqual(sent, RETRY_RATIO * requests + slack)
    case.assertGreater(sent, 0.8 * (RETRY_RATIO * requests + 0.7 * slack))


def test_what_reached_no_endpoint_costs_no_budget() -> None:
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.slack = 0.0
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    case.assertIsNotNone(bench.retried(first))
    case.assertEqual(0, policy.retries_sent(PLAIN_SERVICE))


def test_a_repeat_that_reached_no_endpoint_is_counted_when_it_does() -> None:
    """A service is cut off, and each call that broke is counted once for each try.

    None of the tries has arrived, and those of other calls found no room beside them.
    """
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.slack = 2.0
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    again = bench.retried(first)
    for _ in range(2):
        assert again is not None
        bench.fail(again, FailureKind.UNREACHED, Exposure.NEVER_SENT)
        again = bench.retried(again)
    case.assertIsNotNone(again)
    case.assertEqual(1, policy.budget(PLAIN_SERVICE).counted_retries())


def test_requests_and_repeats_are_counted() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    second = bench.retried(first)
    assert second is not None
    bench.finish(second)
    own = bench.kernel.plugin(BudgetedRetry).budget(PLAIN_SERVICE)
    case.assertEqual(
        (1, 1, 1), (len(own.request_times), own.counted_retries(), own.total_retries)
    )
    case.assertEqual((set(), {}), (own.reserved, own.sent_at))


def test_what_was_sent_counts_for_a_window_and_until_it_has_arrived() -> None:
    own = ServiceRetryBudget(timedelta(seconds=10))
    terms = RetryLimits(ratio=0.5, burst=1)
    at = timedelta(seconds=100)
    own.count_request(at)
    own.count_retry(RequestId("a"), at)
    late = at + own.window + MAX_RETRY_TRANSIT
    case.assertEqual(0.0, own.available(terms, late - timedelta(milliseconds=1)))
    case.assertEqual(1.0, own.available(terms, late))
    case.assertEqual(([], 0), (own.request_times, own.counted_retries()))


def test_only_requests_of_the_same_span_earn_a_repeat() -> None:
    """A fleet passes what its busiest window earns, as each instance had another one.

    Each could send, after its own busiest seconds, what these had earned.
    """
    terms = RetryLimits(ratio=0.5, burst=1)
    own = ServiceRetryBudget(timedelta(seconds=10))
    at = timedelta(seconds=100)
    for _ in range(10):
        own.count_request(at)
    now = at + timedelta(seconds=1)
    case.assertEqual(1.0, own.available(terms, now))
    own.count_retry(RequestId("a"), now)
    case.assertEqual(0.0, own.available(terms, now))
    own.count_request(now + MAX_RETRY_TRANSIT / 2)
    own.count_request(now + MAX_RETRY_TRANSIT * 2)
    case.assertEqual(0.5, own.available(terms, now + MAX_RETRY_TRANSIT * 2))


def test_repeats_that_had_to_wait_are_held_against_the_budget_again() -> None:
    """A service is cut off, and calls that broke wait for an endpoint.

    They had room when they broke. Sent when the cut is over, they arrive within one
    window with the repeats that this one has room for: twice what is allowed.
    """
    soon, late = timedelta(seconds=2), timedelta(seconds=10)
    for repeats, waited, allowed in (
        (0, soon, True),
        (9, soon, True),
        (10, soon, False),
        (9, late, True),
        (10, late, False),
    ):
        bench = gateway_bench(endpoints=1)
        policy = bench.kernel.plugin(BudgetedRetry)
        policy.ratio, policy.slack = 0.0, 10.0
        first = bench.begin(request_of(bench, "a", time=late * 5))
        bench.handle(EndpointLeaving(first.endpoint))
        bench.fail(first)
        case.assertIsNone(bench.retried(first))
        case.assertEqual(0, policy.retries_sent(PLAIN_SERVICE))
        bench.handle_after(waited, Tick())
        for number in range(repeats):
            now = bench.clock.monotonic()
            policy.budget(PLAIN_SERVICE).count_retry(RequestId(f"r{number}"), now)
        bench.list_endpoint("desk-9")
        bench.handle_after(RETRY_PAUSE, Tick())
        if allowed:
            case.assertEqual(2, len(bench.dispatches("a")))
            case.assertEqual(repeats + 1, policy.retries_sent(PLAIN_SERVICE))
        else:
            case.assertIs(Outcome.FAILED, bench.concluded("a").outcome)
            case.assertEqual(repeats, policy.retries_sent(PLAIN_SERVICE))


def test_waiting_repeats_don_t_crowd_out_each_other() -> None:
    """Three calls wait, and each is held against the budget when it is sent.

    All three had their place in the room already. Were each counted as one more for
    the next, the last would find no room beside its own place.
    """
    bench = gateway_bench(endpoints=1)
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.0, 3.0
    calls = [bench.begin(request_of(bench, f"a-{number}")) for number in range(3)]
    bench.handle(EndpointLeaving(calls[0].endpoint))
    for first in calls:
        bench.fail(first, FailureKind.INVALID)
        case.assertIsNone(bench.retried(first))
    case.assertEqual(
        0, policy.available_retries(PLAIN_SERVICE, bench.clock.monotonic())
    )
    bench.handle_after(timedelta(seconds=1), Tick())
    bench.list_endpoint("desk-9")
    bench.handle_after(RETRY_PAUSE, Tick())
    for number in range(3):
        case.assertEqual(2, len(bench.dispatches(f"a-{number}")))
    case.assertEqual(3, policy.retries_sent(PLAIN_SERVICE))


load_tests = function_tests(__name__)

"""Tests of the retry policy and its budget."""

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


def reject(bench: GatewayBench, dispatch: Dispatch) -> None:
    bench.fail(dispatch, FailureKind.REFUSED, Exposure.REFUSED, 503, "not-run")


def test_a_non_idempotent_call_that_may_have_run_is_never_retried() -> None:
    """A non-idempotent call that may have run is not retried.

    If the response is lost after the endpoint ran the call, a retry would execute it
    twice; the caller gets an unknown outcome instead.
    """
    for kind in LOST:
        bench = gateway_bench()
        first = bench.begin(request_of(bench, "a", non_idempotent=True))
        bench.fail(first, kind)
        case.assertIsNone(bench.retried(first))
        case.assertIs(Outcome.UNKNOWN, bench.concluded("a").outcome)


def test_a_call_that_did_not_run_is_sent_elsewhere() -> None:
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


def test_only_a_call_that_no_endpoint_ran_is_reported_as_not_run() -> None:
    bench = gateway_bench()
    last: Dispatch | None = bench.begin(request_of(bench, "a", non_idempotent=True))
    while last is not None:
        reject(bench, last)
        last = bench.retried(last)
    end = bench.concluded("a")
    assert end.problem is not None
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    case.assertIs(ProblemCode.NO_ENDPOINT, end.problem.code)
    case.assertIsNotNone(end.problem.retry_after)
    case.assertEqual(MAX_SENDS, end.attempts)


def test_a_repeatable_call_that_ran_is_never_reported_as_not_run() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", max_attempts=2))
    bench.fail(first)
    last = bench.retried(first)
    while last is not None:
        reject(bench, last)
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


def test_nothing_is_retried_when_too_little_time_is_left() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a", time=timedelta(milliseconds=59)))
    bench.fail(first)
    case.assertIsNone(bench.retried(first))


def test_an_instance_uses_its_share_of_the_budget() -> None:
    """Each instance uses only its share of the fleet's budget.

    If each retried as if it were alone, the fleet would send several times the allowed
    retries and overload the remaining endpoints.
    """
    for earlier, retries, later, instances, allowed in (
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
        budget = policy.budget(PLAIN_SERVICE)
        for _ in range(earlier):
            budget.count_request(bench.clock.monotonic())
        for number in range(retries):
            budget.count_retry(RequestId(f"r{number}"), bench.clock.monotonic())
        bench.clock.advance(2 * MAX_RETRY_TRANSIT)
        for _ in range(later - 1):
            budget.count_request(bench.clock.monotonic())
        first = bench.begin(request_of(bench, "a"))
        if not later:
            budget.request_times.pop()
        bench.fail(first)
        setup = (earlier, retries, later, instances)
        case.assertEqual(allowed, bench.retried(first) is not None, setup)


def test_a_restarted_instance_retries_only_what_it_earns() -> None:
    """Instances that restart under load do not use their share a second time.

    Retries of the previous incarnations are still in the window.
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


def test_slack_is_shared_in_whole_retries_and_the_rest_by_rank() -> None:
    for slack, instances in ((10.0, 100), (212.0, 68), (5.9, 2), (0.0, 3), (7.0, 7)):
        parts = [
            SlackShare(instances, rank).portion_of(slack) for rank in range(instances)
        ]
        case.assertEqual(int(slack), sum(parts))
        case.assertLessEqual(max(parts) - min(parts), 1)
    case.assertEqual(0, SlackShare(known=False).portion_of(100.0))
    case.assertEqual(0, SlackShare(restarted_at=timedelta(0)).portion_of(100.0))


def test_an_instance_without_a_share_saves_one_earned_retry() -> None:
    """An instance without a share of the slack may save one earned retry.

    Otherwise most instances of a large fleet with a small slack could never retry.
    """
    for requests, allowed in ((10, True), (9, False)):
        bench = gateway_bench()
        policy = bench.kernel.plugin(BudgetedRetry)
        policy.ratio, policy.slack = 0.2, 0.0
        budget = policy.budget(PLAIN_SERVICE)
        for _ in range(requests - 1):
            budget.count_request(bench.clock.monotonic())
        first = bench.begin(request_of(bench, "a"))
        bench.fail(first)
        case.assertEqual(allowed, bench.retried(first) is not None, requests)


def test_a_saved_retry_halves_the_earning_ratio() -> None:
    budget = ServiceRetryBudget(timedelta(seconds=10))
    limits = RetryLimits(ratio=0.2, burst=0)
    at = timedelta(seconds=100)
    for _ in range(20):
        budget.count_request(at)
    budget.count_retry(RequestId("a"), at)
    later = at + 2 * MAX_RETRY_TRANSIT
    for number in range(10):
        case.assertAlmostEqual(number * 0.1, budget.available(limits, later))
        budget.count_request(later)
    case.assertAlmostEqual(1.0, budget.available(limits, later))


def test_nothing_is_retried_without_a_budget() -> None:
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.0, 0.0
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    case.assertIsNone(bench.retried(first))


def test_retries_within_a_short_span_share_an_entry() -> None:
    budget = ServiceRetryBudget(timedelta(seconds=10))
    at = timedelta(seconds=100)
    for number in range(500):
        budget.count_retry(RequestId(f"r{number}"), at)
        at += timedelta(milliseconds=1)
    case.assertEqual(500, budget.counted_retries())
    case.assertLessEqual(len(budget.retry_batches), 12)
    budget.refund(RequestId("r250"))
    case.assertEqual(499, budget.counted_retries())


def test_many_instances_that_fail_at_once_keep_the_budget_together() -> None:
    """Engines reject every call of a flood, on all 64 instances.

    With one common budget each instance would use all of it before learning of the
    others' retries: 375 retries in ten seconds, where 354 were allowed.
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


def test_an_attempt_that_reached_no_endpoint_costs_no_budget() -> None:
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.slack = 0.0
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    case.assertIsNotNone(bench.retried(first))
    case.assertEqual(0, policy.retries_sent(PLAIN_SERVICE))


def test_a_retry_that_reached_no_endpoint_is_counted_once() -> None:
    """Retries that cannot connect to a partitioned service are counted only once.

    Otherwise attempts that never arrived would use up the budget of other calls.
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


def test_requests_and_retries_are_counted() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    second = bench.retried(first)
    assert second is not None
    bench.finish(second)
    budget = bench.kernel.plugin(BudgetedRetry).budget(PLAIN_SERVICE)
    case.assertEqual(
        (1, 1, 1),
        (len(budget.request_times), budget.counted_retries(), budget.total_retries),
    )
    case.assertEqual((set(), {}), (budget.reserved, budget.sent_at))


def test_a_retry_counts_for_a_window_and_its_transit_time() -> None:
    budget = ServiceRetryBudget(timedelta(seconds=10))
    limits = RetryLimits(ratio=0.5, burst=1)
    at = timedelta(seconds=100)
    budget.count_request(at)
    budget.count_retry(RequestId("a"), at)
    late = at + budget.window + MAX_RETRY_TRANSIT
    case.assertEqual(0.0, budget.available(limits, late - timedelta(milliseconds=1)))
    case.assertEqual(1.0, budget.available(limits, late))
    case.assertEqual(([], 0), (budget.request_times, budget.counted_retries()))


def test_only_requests_of_the_same_span_earn_a_retry() -> None:
    """Retries are limited by the requests of the same time span.

    If each instance used what its budget busiest seconds earned, the fleet would exceed
    what its busiest window earns, as these seconds differ between instances.
    """
    limits = RetryLimits(ratio=0.5, burst=1)
    budget = ServiceRetryBudget(timedelta(seconds=10))
    at = timedelta(seconds=100)
    for _ in range(10):
        budget.count_request(at)
    now = at + timedelta(seconds=1)
    case.assertEqual(1.0, budget.available(limits, now))
    budget.count_retry(RequestId("a"), now)
    case.assertEqual(0.0, budget.available(limits, now))
    budget.count_request(now + MAX_RETRY_TRANSIT / 2)
    budget.count_request(now + MAX_RETRY_TRANSIT * 2)
    case.assertEqual(0.5, budget.available(limits, now + MAX_RETRY_TRANSIT * 2))


def test_retries_that_had_to_wait_are_checked_against_the_budget_again() -> None:
    """Retries that waited for an endpoint are checked against the budget again.

    After a network partition they arrive in the same window as the retries that this
    window allows, up to twice the budget.
    """
    soon, late = timedelta(seconds=2), timedelta(seconds=10)
    for retries, waited, allowed in (
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
        for number in range(retries):
            now = bench.clock.monotonic()
            policy.budget(PLAIN_SERVICE).count_retry(RequestId(f"r{number}"), now)
        bench.list_endpoint("desk-9")
        bench.handle_after(RETRY_PAUSE, Tick())
        if allowed:
            case.assertEqual(2, len(bench.dispatches("a")))
            case.assertEqual(retries + 1, policy.retries_sent(PLAIN_SERVICE))
        else:
            case.assertIs(Outcome.FAILED, bench.concluded("a").outcome)
            case.assertEqual(retries, policy.retries_sent(PLAIN_SERVICE))


def test_waiting_retries_do_not_displace_each_other() -> None:
    """Three waiting retries are each checked against the budget when they are sent.

    All three are already reserved; counting each as an additional one would leave no
    budget for the last.
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

"""Tests of repeats: what may run again, how often, and on whose budget."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.policies.retrying import (
    MOST_SENDS,
    RATIO,
    SPENT_SHARE,
    BudgetedRetry,
    Counters,
)
from mimosafork.ids import AttemptNumber, RequestId, ServiceId
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.routing import EndpointLeaving
from mimosafork.kernel.messages.sharing import FleetSpending, SpendingGrown

from ...support.functions import function_tests
from ...support.gateway_kernels import (
    RETRY_PAUSE,
    GatewayBench,
    gateway_bench,
    request_of,
)

case = TestCase()

TELLING = timedelta(milliseconds=200)
"""Instances tell their repeats to each other this often."""

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
        first = bench.begin(request_of(bench, "a", once=True))
        bench.fail(first, kind)
        case.assertIsNone(bench.retried(first))
        case.assertIs(Outcome.UNKNOWN, bench.concluded("a").outcome)


def test_what_surely_did_not_run_is_sent_elsewhere() -> None:
    for kind, exposure in (
        (FailureKind.REFUSED, Exposure.REFUSED),
        (FailureKind.UNREACHED, Exposure.NEVER_SENT),
    ):
        bench = gateway_bench()
        first = bench.begin(request_of(bench, "a", once=True))
        bench.fail(first, kind, exposure)
        second = bench.retried(first)
        assert second is not None
        case.assertNotEqual(first.endpoint, second.endpoint)


def test_only_what_no_endpoint_ran_is_told_as_not_run() -> None:
    bench = gateway_bench()
    last: Dispatch | None = bench.begin(request_of(bench, "a", once=True))
    while last is not None:
        refuse(bench, last)
        last = bench.retried(last)
    end = bench.concluded("a")
    assert end.problem is not None
    case.assertIs(Outcome.NOT_RUN, end.outcome)
    case.assertIs(ProblemCode.NO_ENDPOINT, end.problem.code)
    case.assertIsNotNone(end.problem.retry_after)
    case.assertEqual(MOST_SENDS, end.attempts)


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


def test_the_budget_is_that_of_all_instances() -> None:
    """An endpoint fails, and each instance repeats as if it were alone.

    Together they send several times as much as is allowed, and the endpoints that
    are left go under.
    """
    bench = gateway_bench()
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.ratio, policy.slack = 0.1, 10.0
    for requests, repeats, share, allowed in (
        (100, 0, 1.0, True),
        (100, 16, 1.0, True),
        (100, 17, 1.0, False),
        (0, 6, 1.0, True),
        (0, 7, 1.0, False),
        (0, 3, 0.5, False),
        (0, 2, 0.5, True),
    ):
        told = FleetSpending(requests, repeats, share)
        policy.spent = lambda _, told=told: told  # type: ignore[misc]
        name = f"a{requests}x{repeats}x{share}"
        first = bench.begin(request_of(bench, name))
        bench.fail(first)
        case.assertEqual(allowed, bench.retried(first) is not None, name)


def test_many_instances_that_fail_at_once_keep_the_budget_together() -> None:
    """Engines turn away every call of a flood, at all 64 instances.

    Each instance saw the same room and took all of it before it heard of the others'
    repeats: 375 arrivals beyond the first in ten seconds, where 354 were allowed.
    """
    instances, slack, calls_s = 64, 204, 75
    service = ServiceId("engines")
    failure = AttemptFailed(
        RequestId("a"),
        AttemptNumber(1),
        FailureKind.REFUSED,
        Exposure.REFUSED,
        status=503,
    )
    fleet = [BudgetedRetry() for _ in range(instances)]
    requests = calls_s * 10
    heard = 0
    for policy in fleet:
        policy.slack = slack
        policy.counters[service] = Counters()
    now = timedelta(0)
    told = [0] * instances
    for _ in range(250):
        if now % TELLING == timedelta(0):
            told = [each.counters[service].repeats for each in fleet]
            heard = sum(told)
        for policy, mine in zip(fleet, told, strict=True):
            own = policy.counters[service]
            seen = heard - mine + own.repeats
            policy.spent = lambda _, seen=seen: FleetSpending(  # type: ignore[misc]
                requests, seen, 1.0, instances
            )
            if policy.affords(service, failure, now):
                own.count_repeat(now)
        now += timedelta(milliseconds=10)
    sent = sum(each.counters[service].repeats for each in fleet)
    case.assertLessEqual(sent, RATIO * requests + slack)
    case.assertGreater(sent, 0.8 * (RATIO * requests + slack * SPENT_SHARE))


def test_what_reached_no_endpoint_costs_no_budget() -> None:
    bench = gateway_bench()
    bench.kernel.plugin(BudgetedRetry).slack = 0.0
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first, FailureKind.UNREACHED, Exposure.NEVER_SENT)
    case.assertIsNotNone(bench.retried(first))
    case.assertEqual(0, bench.emitted(SpendingGrown)[-1].repeats)


def test_requests_and_repeats_are_counted_for_peers() -> None:
    bench = gateway_bench()
    first = bench.begin(request_of(bench, "a"))
    bench.fail(first)
    second = bench.retried(first)
    assert second is not None
    bench.finish(second)
    told = bench.emitted(SpendingGrown)[-1]
    case.assertEqual(SpendingGrown(ServiceId("desks"), 1, 1), told)


def test_repeats_that_had_to_wait_are_held_against_the_budget_again() -> None:
    """A service is cut off, and calls that broke wait for an endpoint.

    They were counted when they broke. Sent when the cut is over, they arrive within
    one window with the repeats that this one has room for: twice what is allowed.
    """
    soon, late = timedelta(seconds=2), timedelta(seconds=10)
    for repeats, waited, allowed in (
        (1, soon, True),
        (7, soon, True),
        (8, soon, False),
        (6, late, True),
        (7, late, False),
    ):
        bench = gateway_bench(endpoints=1)
        policy = bench.kernel.plugin(BudgetedRetry)
        policy.slack = 10.0
        first = bench.begin(request_of(bench, "a", time=late * 5))
        bench.tell(EndpointLeaving(first.endpoint))
        bench.fail(first)
        case.assertIsNone(bench.retried(first))
        case.assertEqual(1, bench.emitted(SpendingGrown)[-1].repeats)
        bench.pass_time(waited, Tick())
        policy.spent = lambda _, told=repeats: FleetSpending(0, told)  # type: ignore[misc]
        bench.list_endpoint("desk-9")
        bench.pass_time(RETRY_PAUSE, Tick())
        counted = bench.emitted(SpendingGrown)[-1].repeats
        if allowed:
            case.assertEqual(2, len(bench.dispatches("a")))
            case.assertEqual(2, counted)
        else:
            case.assertIs(Outcome.FAILED, bench.concluded("a").outcome)
            case.assertEqual(1, counted)


def test_waiting_repeats_don_t_crowd_out_each_other() -> None:
    """Three calls wait, and each is held against the budget again when it is sent.

    All three are in the window already. Were each counted as one more for the next,
    the second would find no room beside its own former place.
    """
    bench = gateway_bench(endpoints=1)
    policy = bench.kernel.plugin(BudgetedRetry)
    policy.slack = 5.0
    policy.spent = lambda service: FleetSpending(0, policy.counters[service].repeats)
    calls = [bench.begin(request_of(bench, f"a-{number}")) for number in range(3)]
    bench.tell(EndpointLeaving(calls[0].endpoint))
    for first in calls:
        bench.fail(first, FailureKind.INVALID)
        case.assertIsNone(bench.retried(first))
    bench.pass_time(timedelta(seconds=1), Tick())
    bench.list_endpoint("desk-9")
    bench.pass_time(RETRY_PAUSE, Tick())
    for number in range(3):
        case.assertEqual(2, len(bench.dispatches(f"a-{number}")))
    case.assertEqual(6, policy.counters[ServiceId("desks")].repeats)


load_tests = function_tests(__name__)

"""Retries under overload: the fleet recovers once the cause has ended."""

from functools import partial
from math import inf

from mimosafork.kernel.configuration import FleetPolicy
from mimosafork.policies.retry import (
    REFILL_PER_S,
    RESERVE,
    BoundedRetry,
    RetryBudget,
)
from tests.support.functions import function_tests
from tests.support.storm import MODEL, STALL_TIMEOUT_S, StormFleet

LOAD = 0.85
CAUSE_BEGINS_S = 10.0
CAUSE_ENDS_S = 40.0
RUN_ENDS_S = 75.0
OFFERED_UNTIL_S = RUN_ENDS_S + 5.0
RECOVERY_S = 5.0
KERNELS = 3
ENGINES = 4
SEED = 9
SLOWED = 10.0


def run_storm(budget_off: bool = False, refuse: bool = False) -> StormFleet:
    fleet = StormFleet(FleetPolicy(), KERNELS, ENGINES, SEED)
    if budget_off:
        for kernel in fleet.kernels:
            unbounded = RetryBudget(tokens=inf, reserve=inf)
            kernel.plugin(BoundedRetry).budgets[MODEL] = unbounded
    fleet.offer(LOAD * fleet.capacity_per_s, OFFERED_UNTIL_S)
    name, wrong, right = ("refusing", True, False) if refuse else ("factor", SLOWED, 1)
    fleet.at(CAUSE_BEGINS_S, partial(setattr, fleet, name, wrong))
    fleet.at(CAUSE_ENDS_S, partial(setattr, fleet, name, right))
    fleet.run_until(OFFERED_UNTIL_S)
    return fleet


def failed_share(fleet: StormFleet, begin_s: float, end_s: float) -> float:
    submitted = fleet.tally.submitted_at_s.values()
    offered = sum(begin_s <= at < end_s for at in submitted)
    return sum(begin_s <= at < end_s for at in fleet.tally.failed_s) / offered


def during_cause(instants_s: list[float]) -> int:
    return sum(CAUSE_BEGINS_S <= at < CAUSE_ENDS_S for at in instants_s)


def test_slow_zone_recovers_within_seconds_of_the_cause() -> None:
    """All endpoints of a zone are ten times slower for 30 s at 85% load.

    Every attempt stalls and would be retried: three times the work on engines that
    are already overloaded. Without a budget queue wait stays above the stall timeout
    after the cause has ended, and requests keep failing.
    """
    fleet = run_storm()
    assert failed_share(fleet, 0.0, CAUSE_BEGINS_S - STALL_TIMEOUT_S) == 0.0
    assert failed_share(fleet, CAUSE_BEGINS_S, CAUSE_ENDS_S) > 0.5
    assert failed_share(fleet, CAUSE_ENDS_S + RECOVERY_S, RUN_ENDS_S) == 0.0


def test_without_a_budget_the_same_storm_continues_after_its_cause() -> None:
    """Verifies the test above: without a budget the retry storm sustains itself."""
    fleet = run_storm(budget_off=True)
    assert failed_share(fleet, CAUSE_ENDS_S + RECOVERY_S, RUN_ENDS_S) > 0.9


def test_further_attempts_stay_inside_the_budget() -> None:
    """While all endpoints are slow or refuse, retries must not add to their load.

    Each answered request deposits a tenth of a retry; each kernel adds a small reserve
    and a slow refill for targets with few requests.
    """
    cause_s = CAUSE_ENDS_S - CAUSE_BEGINS_S
    for refuse in (False, True):
        fleet = run_storm(refuse=refuse)
        further = during_cause(fleet.tally.further_attempts_s)
        earned = FleetPolicy().retry_budget * during_cause(fleet.tally.answered_s)
        most = KERNELS * (RESERVE + REFILL_PER_S * cause_s) + earned
        assert 0 < further <= most, (refuse, further, most)


def test_refusing_zone_recovers_at_once() -> None:
    """All endpoints refuse for 30 s: requests are rejected at once and then served."""
    fleet = run_storm(refuse=True)
    assert failed_share(fleet, CAUSE_BEGINS_S + 1.0, CAUSE_ENDS_S - 1.0) > 0.9
    assert failed_share(fleet, CAUSE_ENDS_S, RUN_ENDS_S) == 0.0


load_tests = function_tests(__name__)

"""Bounds on the policies, in virtual time: the same figures on every machine."""

from functools import lru_cache

from .bounds import bound
from .decisions import measure as measure_decision
from .deployments import VOCES
from .policy import BASELINES, OWN, PolicySet, Run, measure
from .results import RunResult
from .scores import LONG_FIRST_TOKEN, SHORT_SLOWDOWN, improvement
from .workload import LONGEST, LONGEST_ON_ONE, Band

DURATION_S = 80.0


@lru_cache
def _result(policy: PolicySet, load: float, longest: int) -> RunResult:
    return measure(Run(VOCES, policy, load, DURATION_S, longest=longest))


def _cells(load: float) -> dict[str, RunResult]:
    """Return the own policies and the baselines over prompts that all can run."""
    policies = (OWN, *BASELINES)
    return {each.name: _result(each, load, LONGEST_ON_ONE) for each in policies}


@bound("policy-short-slowdown", at_most=0.25)
def short_slowdown() -> float:
    """Short p99 slowdown at load 0.9, over that of the best baseline."""
    return 1 / improvement(SHORT_SLOWDOWN, OWN.name, _cells(0.9))


@bound("policy-long-first-token", at_most=1.5)
def long_first_token() -> float:
    """Long p95 first token at load 0.9, over that of the best baseline."""
    return 1 / improvement(LONG_FIRST_TOKEN, OWN.name, _cells(0.9))


@bound("policy-overload-goodput", at_least=0.95)
def overload_goodput() -> float:
    """Goodput in calls at load 1.5, over that at load 0.9."""
    overload = _result(OWN, 1.5, LONGEST_ON_ONE)
    return overload.goodput / _result(OWN, 0.9, LONGEST_ON_ONE).goodput


@bound("policy-overload-waste", at_most=0.03)
def overload_waste() -> float:
    """Part of the prefill at load 1.5 that was for nothing."""
    return _result(OWN, 1.5, LONGEST_ON_ONE).wasted


@bound("decision-cost-of-a-larger-fleet", at_most=2.5)
def larger_fleet() -> float:
    """Processor time of a decision among 600 endpoints, over that among 100."""
    return (
        measure_decision(600, 300).decision_us / measure_decision(100, 300).decision_us
    )


@bound("policy-gangs-in-time", at_least=0.9)
def gangs_in_time() -> float:
    """Part of the prompts beyond one engine that are answered in time."""
    return _result(OWN, 0.9, LONGEST).bands[Band.GANG].in_time

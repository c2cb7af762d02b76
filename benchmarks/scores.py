"""Scores: own figures against the best baseline, weighted as a deployment does."""

from collections.abc import Callable, Iterator, Mapping
from math import exp, isnan, log

from .deployments import Deployment
from .results import RunResult
from .workload import Band

SHORT_SLOWDOWN = "short p99 slowdown"
LONG_FIRST_TOKEN = "long p95 first token"
GOODPUT = "goodput in time"

MEASURES: dict[str, Callable[[RunResult], float]] = {
    SHORT_SLOWDOWN: lambda result: result.bands[Band.SHORT].slowdown.p99,
    LONG_FIRST_TOKEN: lambda result: result.bands[Band.LONG].first_token_s.p95,
    GOODPUT: lambda result: result.goodput,
}


def improvement(name: str, own: str, cells: Mapping[str, RunResult]) -> float:
    """Return how many times better the own figure is than the best baseline's."""
    measure = MEASURES[name]
    others = [measure(result) for key, result in cells.items() if key != own]
    others = [value for value in others if not isnan(value)]
    mine = measure(cells[own])
    if name == GOODPUT:
        return mine / max(others)
    return min(others) / mine


def score(deployment: Deployment, own: str, cells: Mapping[str, RunResult]) -> float:
    """Return the weighted geometric mean of the improvements; 1 is no better."""
    weights = {
        SHORT_SLOWDOWN: deployment.weights.short_slowdown,
        LONG_FIRST_TOKEN: deployment.weights.long_first_token,
        GOODPUT: deployment.weights.goodput,
    }
    total = sum(
        weight * log(improvement(name, own, cells)) for name, weight in weights.items()
    )
    return exp(total)


def score_lines(
    deployment: Deployment, own: str, cells: Mapping[str, RunResult]
) -> Iterator[str]:
    """Yield the comparison for people."""
    for name in MEASURES:
        factor = improvement(name, own, cells)
        yield f"{name}: {factor:.2f} times as good as the best baseline"
    yield f"score as {deployment.name} weighs them: {score(deployment, own, cells):.2f}"

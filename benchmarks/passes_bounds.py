"""Bounds on placement on engines that work in passes, in virtual time."""

from functools import lru_cache

from .bounds import bound
from .passes.deployments import DALA
from .passes.outcome import Outcome, earned_share, figures_of
from .passes.play import Run, play

SEEDS = (5, 6)
DURATION_S = 20.0
BASELINES = ("round-robin", "least-requests", "first-come", "no-helpers")


@lru_cache
def _outcomes(policy: str) -> tuple[Outcome, ...]:
    runs = [play(Run(DALA, policy, seed, DURATION_S)) for seed in SEEDS]
    return tuple(outcome for played in runs for outcome in played.outcomes)


@bound("passes-worth", at_least=1.1)
def worth() -> float:
    """Worth earned in a long and a short flood, over that of the best baseline."""
    best = max(earned_share(_outcomes(name)) for name in BASELINES)
    return earned_share(_outcomes("mimosafork")) / best


@bound("passes-long-on-time", at_least=1.3)
def long_on_time() -> float:
    """Share of long prompts on time, over that of the best baseline."""

    def share(policy: str) -> float:
        outcomes = _outcomes(policy)
        return figures_of([e for e in outcomes if e.call.kind.name == "long"]).on_time

    return share("mimosafork") / max(share(name) for name in BASELINES)

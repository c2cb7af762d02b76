"""What several instances lose that choose the last slots of an engine at once."""

from math import exp

from ..routing.engine import EngineFigures
from .forecast import LATE_LOSS, EngineState, value_of

REPORT_DELAY_S = 0.03
"""How long a work is unknown to some peers, from its choice on: its word waits 4 ms,
then takes the network and two instances' turns (13 ms at the median of 64 instances,
and 17 at the third quartile)."""
SAME_ENGINE_SHARE = 0.5
"""Share of the works begun meanwhile that chose the same engine: short prompts go to
the engine that costs least, and instances that know the same agree about it."""
MAX_CONTESTED_SLOTS = 3
"""An engine with more free slots is filled by no race."""


def race_costs(per_s: float, figures: EngineFigures) -> tuple[float, ...]:
    """Return the cost of a host by its free slots, from one to `FEWEST_SLOTS`.

    Guard: in a flood, calls that begin at several instances within the time of a word
    all take the engine with one free slot. One gets it; the others wait inside the
    engine until an answer ends, a second or more, and are late. The cost is the chance
    that others take what is free, times what such a call loses.
    """
    expected = per_s * REPORT_DELAY_S * SAME_ENGINE_SHARE
    lost = LATE_LOSS * value_of(figures.mean_prompt_tokens)
    costs = []
    term = exp(-expected)
    at_least = 1.0
    for free in range(1, MAX_CONTESTED_SLOTS + 1):
        at_least -= term
        term *= expected / free
        costs.append(max(0.0, at_least) * lost)
    return tuple(costs)


def race_cost(state: EngineState, costs: tuple[float, ...]) -> float:
    """Return what taking one of an engine's free slots may cost."""
    free = state.view.slots - state.running
    return costs[free - 1] if 0 < free <= len(costs) else 0.0

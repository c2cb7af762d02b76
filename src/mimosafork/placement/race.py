"""Cost of races between instances that choose the last slots of an engine at once."""

from math import exp

from ..routing.engine import EngineFigures
from .forecast import LATE_LOSS, EngineState, value_of

REPORT_DELAY_S = 0.03
"""Time for which a placed request is unknown to some peers. Its report is batched for 4
ms, then takes the network and two instances' event loops (13 ms at the median of 64
instances, and 17 at the third quartile)."""
SAME_ENGINE_SHARE = 0.5
"""Share of the requests started meanwhile that chose the same engine: short prompts go
to the cheapest engine, and instances with the same information agree on it."""
MAX_CONTESTED_SLOTS = 3
"""An engine with more free slots is not filled by a race."""


def race_costs(per_s: float, figures: EngineFigures) -> tuple[float, ...]:
    """Return the cost of a host by its free slots, from one to `MAX_CONTESTED_SLOTS`.

    Without this cost, calls that start under high load at several instances within one
    report delay would all choose the engine with one free slot. One would get the slot;
    the others would queue inside the engine until an answer ends, a second or more, and
    be late. The cost is the probability that others take the free slots, times the loss
    of a late call.
    """
    expected_others = per_s * REPORT_DELAY_S * SAME_ENGINE_SHARE
    lost = LATE_LOSS * value_of(figures.mean_prompt_tokens)
    costs = []
    probability = exp(-expected_others)
    at_least = 1.0
    for free in range(1, MAX_CONTESTED_SLOTS + 1):
        at_least -= probability
        probability *= expected_others / free
        costs.append(max(0.0, at_least) * lost)
    return tuple(costs)


def race_cost(state: EngineState, costs: tuple[float, ...]) -> float:
    """Return the expected cost of taking one of an engine's free slots."""
    free = state.view.slots - state.running
    return costs[free - 1] if 0 < free <= len(costs) else 0.0

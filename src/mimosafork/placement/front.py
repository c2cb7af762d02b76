"""The engines that are kept for short requests, and where their border is."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from ..routing.engine import EngineFigures
from .state import EngineState

BEYOND_COST = 0.5
"""Cost of a short request on the engine at the far end of the order."""
FRONT_WRITERS = 3.0
"""Short requests that an engine of the front is meant to have."""
LEAST_FRONT = 2
"""Engines that the front has at least."""
FREE_READING_MS = 100.0
"""Reading on an engine of the front that keeps no short request from it."""
SHORT_LOSS = 1.0
"""Expected loss of a short request that meets a long read on its engine."""
SMALL_PROMPT_MS = 200.0
"""Prompts that are read within this go to the front of the order, others behind."""


def is_short(prompt_tokens: int, figures: EngineFigures) -> bool:
    """Return whether a prompt is read so fast that it belongs to the front."""
    return figures.read_ms(prompt_tokens, prompt_tokens) < SMALL_PROMPT_MS


@dataclass(frozen=True, slots=True)
class Front:
    """The first engines of the order, which are kept for short requests.

    Attributes
    ----------
    share : float
        Of all engines.
    calls_per_s : float
        Short requests that come to each of them.
    """

    share: float
    calls_per_s: float

    def hosting(self, state: EngineState, short: bool) -> float:
        """Return the cost of a short request on an engine beyond the front."""
        return BEYOND_COST * max(0.0, state.order - self.share) if short else 0.0

    def blocking(self, state: EngineState, read_ms: float) -> float:
        """Return what short requests to come would lose by a read at the front."""
        if state.order >= self.share:
            return 0.0
        before_ms = max(FREE_READING_MS, state.load.reading_ms)
        after_ms = state.load.reading_ms + read_ms * state.pace
        blocked_s = max(0.0, after_ms - before_ms) / 1e3
        return SHORT_LOSS * self.calls_per_s * blocked_s


def front_of(states: Sequence[EngineState], figures: EngineFigures) -> Front:
    """Return the front that the short requests now running need.

    How many come is told by how many run, as each takes a usual answer's time.
    """
    short = sum(
        is_short(pace.prompt_tokens, figures)
        for state in states
        for pace in state.load.paces
    )
    count = min(len(states), max(LEAST_FRONT, ceil(short / FRONT_WRITERS)))
    usual_s = max(1.0, figures.usual_answer * figures.step_ms / 1e3)
    return Front(count / len(states), short / usual_s / count)

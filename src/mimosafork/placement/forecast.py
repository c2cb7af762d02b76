"""How long an engine's passes and reads will take, and what a delay costs.

All times are milliseconds as floats, as each placement calculates hundreds of them.
Costs are in the worth of a request without a prompt.
"""

from dataclasses import dataclass

from ..routing.engine import EngineFigures
from .choice import EngineView
from .work import EngineLoad, Pace

LATE_LOSS = 0.75
"""Share of its worth that a late answer loses."""
TOKENS_OF_WORTH = 9_000.0
"""A prompt of so many tokens is worth as much as the request itself."""
PAUSE_SLACK_MS = 70.0
"""A pass that stays so far below a pause is safe from what is not yet known."""
COLD_PACE = 1.5
"""How much slower an engine is taken to be just after its start."""
FIRST_EVENT_SLACK = 0.3
"""Share of an objective that a prediction must leave to be sure of it."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """One engine as a placement sees it.

    Attributes
    ----------
    pace : float
        How many times longer than stated its work takes.
    pass_ms : float
        Length of a pass without reading; a single step without writers.
    order : float
        Its place in the order that all instances share, from 0 to 1.
    penalty : float
        Added to the cost of using it.
    """

    view: EngineView
    load: EngineLoad
    pace: float
    pass_ms: float
    order: float
    penalty: float = 0.0

    @property
    def has_slot(self) -> bool:
        """Whether it may be host of one more request."""
        return self.load.running < self.view.slots

    @property
    def can_help(self) -> bool:
        """Whether it may read a part of one more request of another host."""
        return self.load.helping < self.view.slots


def pace_of(view: EngineView) -> float:
    """Return how many times longer than stated an engine's work takes."""
    return max(1.0, view.pace) * (COLD_PACE if view.cold else 1.0)


def pass_length(load: EngineLoad, figures: EngineFigures) -> float:
    """Return the milliseconds of a pass without reading."""
    if not load.running:
        return figures.step_ms
    step = figures.step_ms + figures.per_sequence_ms * load.running
    step += figures.context_ms_per_k * load.context_tokens / 1e3
    return step * max(1, figures.stride)


def read_done(state: EngineState, read_ms: float) -> float:
    """Return when an engine will have read a part that is sent now.

    A pass that runs already ends first, and the read ends with its own pass.
    """
    reading = state.load.reading_ms + read_ms * state.pace
    return 1.5 * state.pass_ms + reading


def longest_pass(state: EngineState, read_ms: float) -> float:
    """Return the milliseconds of a pass in which all promised reading is done."""
    return state.pass_ms + state.load.reading_ms + read_ms * state.pace


def worth_of(prompt_tokens: int) -> float:
    """Return what an answer that is on time is worth, told by its prompt."""
    return 1.0 + prompt_tokens / TOKENS_OF_WORTH


def risk(value_ms: float, limit_ms: float, slack_ms: float) -> float:
    """Return the chance, 0 to 1, that a limit is broken.

    It grows evenly from `slack_ms` below the limit to the limit itself.
    """
    if slack_ms <= 0.0:
        return 1.0 if value_ms > limit_ms else 0.0
    return min(1.0, max(0.0, (value_ms - limit_ms + slack_ms) / slack_ms))


def pause_loss(pace: Pace, pass_ms: float) -> float:
    """Return what a pass of some length is expected to cost one writer."""
    chance = risk(pass_ms, pace.pause_ms, PAUSE_SLACK_MS)
    return chance * LATE_LOSS * worth_of(pace.prompt_tokens)


def harm(state: EngineState, read_ms: float) -> float:
    """Return what a part costs the engine's own requests, beside what is so already."""
    if not state.load.paces:
        return 0.0
    before = longest_pass(state, 0.0)
    after = longest_pass(state, read_ms)
    return sum(
        pause_loss(pace, after) - pause_loss(pace, before) for pace in state.load.paces
    )


def lateness(done_ms: float, objective_ms: float, prompt_tokens: int) -> float:
    """Return what a request itself is expected to lose by its first event."""
    slack = FIRST_EVENT_SLACK * max(0.0, objective_ms)
    return risk(done_ms, objective_ms, slack) * LATE_LOSS * worth_of(prompt_tokens)

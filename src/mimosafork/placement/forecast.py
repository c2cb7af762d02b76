"""How long an engine's passes and reads will take, and what a delay costs.

All times are milliseconds as floats, as each placement calculates hundreds of them.
Costs are in the worth of a request without a prompt.
"""

import msgspec

from ..routing.engine import EngineFigures
from .choice import EngineView
from .work import EngineLoad, LoadSum

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


class EngineState(msgspec.Struct):
    """One engine as a placement sees it; not changed once it is made.

    Not frozen, as that would make each of hundreds twice as dear.

    Attributes
    ----------
    found : LoadSum
        Its load, whatever the time.
    pace : float
        How many times longer than stated its work takes; at least 1.
    reading_ms : float
        Milliseconds of reading that are promised and not yet done.
    order : float
        Its place in the order that all instances share, from 0 to 1.
    penalty : float
        Added to the cost of using it.
    begin_ms : float
        When it can begin to read a further part.
    busy_ms : float
        Length of a pass in which all promised reading is done.
    safe_ms : float
        A pass of up to this length surely breaks none of them.
    unheard : int
        Requests that it is taken to run beside those of its load.
    """

    view: EngineView
    found: LoadSum
    pace: float
    reading_ms: float
    order: float
    penalty: float
    begin_ms: float
    busy_ms: float
    safe_ms: float
    unheard: int = 0

    @property
    def load(self) -> EngineLoad:
        """Its load without reading."""
        return self.found.standing

    @property
    def running(self) -> int:
        """Requests whose host it is, unheard ones counted."""
        return self.found.standing.running + self.unheard

    @property
    def has_slot(self) -> bool:
        """Whether it may be host of one more request."""
        return self.running < self.view.slots

    @property
    def can_help(self) -> bool:
        """Whether it may read a part of one more request of another host."""
        return self.found.standing.helping < self.view.slots


def state_of(
    view: EngineView,
    found: LoadSum,
    figures: EngineFigures,
    now_ms: float,
    order: float,
    penalty: float,
    unheard: int = 0,
) -> EngineState:
    """Return an engine as a placement sees it.

    A pass that runs already ends before a part is read, on the average half of it is
    left, and the read ends with its own pass.
    """
    pace = pace_of(view)
    pass_ms = pass_length(found.standing, figures) * pace
    reading_ms = found.reading_ms(now_ms)
    return EngineState(
        view,
        found,
        pace,
        reading_ms,
        order,
        penalty,
        1.5 * pass_ms + reading_ms,
        pass_ms + reading_ms,
        found.tightest_ms - PAUSE_SLACK_MS,
        unheard,
    )


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


def worth_of(prompt_tokens: int) -> float:
    """Return what an answer that is on time is worth, told by its prompt."""
    return 1.0 + prompt_tokens / TOKENS_OF_WORTH


def risk(value_ms: float, limit_ms: float, slack_ms: float) -> float:
    """Return the chance, 0 to 1, that a limit is broken.

    It grows evenly from `slack_ms`, at least 0, below the limit to the limit itself.
    """
    over_ms = value_ms - limit_ms + slack_ms
    if over_ms <= 0.0:
        return 0.0
    return 1.0 if over_ms >= slack_ms else over_ms / slack_ms


def harm(state: EngineState, read_ms: float) -> float:
    """Return what a part costs the engine's own requests, beside what is so already."""
    before = state.busy_ms
    after = before + read_ms * state.pace
    if after <= state.safe_ms:
        return 0.0
    lost = 0.0
    for pause_ms, requests, prompt_tokens in state.found.alike:
        chance = risk(after, pause_ms, PAUSE_SLACK_MS)
        if not chance:
            break
        if before > state.safe_ms:
            chance -= risk(before, pause_ms, PAUSE_SLACK_MS)
        lost += chance * (requests + prompt_tokens / TOKENS_OF_WORTH)
    return lost * LATE_LOSS


def slack_of(objective_ms: float) -> float:
    """Return how far below an objective a prediction must stay to be sure of it."""
    return FIRST_EVENT_SLACK * max(0.0, objective_ms)


def lateness(
    done_ms: float, objective_ms: float, slack_ms: float, worth: float
) -> float:
    """Return what a request itself is expected to lose by its first event.

    Parameters
    ----------
    slack_ms : float
        That of its objective.
    worth : float
        Of the request, if it is on time.
    """
    return risk(done_ms, objective_ms, slack_ms) * LATE_LOSS * worth

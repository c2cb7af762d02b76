"""How long an engine's passes and reads will take, and what a delay costs.

All times are milliseconds as floats, as each placement calculates hundreds of them.
Costs are in the worth of a request without a prompt.
"""

import msgspec

from ..routing.engine import EngineFigures
from .choice import EngineView
from .load_tracker import EngineLoad, LoadSummary

LATE_LOSS = 0.75
"""Share of its worth that a late answer loses."""
TOKENS_PER_REQUEST_VALUE = 9_000.0
"""A prompt of so many tokens is worth as much as the request itself."""
PAUSE_SLACK_MS = 70.0
"""A pass that stays so far below a pause is safe from what is not yet known."""
COLD_SLOWDOWN = 1.5
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
    summary: LoadSummary
    slowdown: float
    prefill_backlog_ms: float
    order: float
    penalty: float
    prefill_start_ms: float
    busy_ms: float
    safe_ms: float
    unreported: int = 0

    @property
    def load(self) -> EngineLoad:
        """Its load without reading."""
        return self.summary.base_load

    @property
    def running(self) -> int:
        """Requests whose host it is, unheard ones counted."""
        return self.summary.base_load.running + self.unreported

    @property
    def has_slot(self) -> bool:
        """Whether it may be host of one more request."""
        return self.running < self.view.slots

    @property
    def can_help(self) -> bool:
        """Whether it may read a part of one more request of another host."""
        return self.summary.base_load.helping < self.view.slots


def engine_state(
    view: EngineView,
    found: LoadSummary,
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
    pace = slowdown_of(view)
    pass_ms = decode_pass_ms(found.base_load, figures) * pace
    reading_ms = found.prefill_backlog_ms(now_ms)
    return EngineState(
        view,
        found,
        pace,
        reading_ms,
        order,
        penalty,
        1.5 * pass_ms + reading_ms,
        pass_ms + reading_ms,
        found.shortest_pause_ms - PAUSE_SLACK_MS,
        unheard,
    )


def slowdown_of(view: EngineView) -> float:
    """Return how many times longer than stated an engine's work takes."""
    return max(1.0, view.slowdown) * (COLD_SLOWDOWN if view.cold else 1.0)


def decode_pass_ms(load: EngineLoad, figures: EngineFigures) -> float:
    """Return the milliseconds of a pass without reading."""
    if not load.running:
        return figures.step_ms
    step = figures.step_ms + figures.per_sequence_ms * load.running
    step += figures.context_ms_per_k * load.context_tokens / 1e3
    return step * max(1, figures.stride)


def value_of(prompt_tokens: int) -> float:
    """Return what an answer that is on time is worth, told by its prompt."""
    return 1.0 + prompt_tokens / TOKENS_PER_REQUEST_VALUE


def miss_probability(value_ms: float, limit_ms: float, slack_ms: float) -> float:
    """Return the chance, 0 to 1, that a limit is broken.

    It grows evenly from `slack_ms`, at least 0, below the limit to the limit itself.
    """
    over_ms = value_ms - limit_ms + slack_ms
    if over_ms <= 0.0:
        return 0.0
    return 1.0 if over_ms >= slack_ms else over_ms / slack_ms


def interference_cost(state: EngineState, read_ms: float) -> float:
    """Return what a part costs the engine's own requests, beside what is so already."""
    before = state.busy_ms
    after = before + read_ms * state.slowdown
    if after <= state.safe_ms:
        return 0.0
    lost = 0.0
    for pause_ms, requests, prompt_tokens in state.summary.pause_groups:
        chance = miss_probability(after, pause_ms, PAUSE_SLACK_MS)
        if not chance:
            break
        if before > state.safe_ms:
            chance -= miss_probability(before, pause_ms, PAUSE_SLACK_MS)
        lost += chance * (requests + prompt_tokens / TOKENS_PER_REQUEST_VALUE)
    return lost * LATE_LOSS


def objective_slack_ms(objective_ms: float) -> float:
    """Return how far below an objective a prediction must stay to be sure of it."""
    return FIRST_EVENT_SLACK * max(0.0, objective_ms)


def expected_late_loss(
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
    return miss_probability(done_ms, objective_ms, slack_ms) * LATE_LOSS * worth

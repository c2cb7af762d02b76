"""Predicted durations of engine passes and prefills, and the cost of delays.

All times are milliseconds as floats, as each placement calculates hundreds of them. The
unit of cost is the value of a request without a prompt.
"""

import msgspec

from ..routing.engine import EngineFigures
from .choice import EngineView
from .load_tracker import EngineLoad, LoadSummary

LATE_LOSS = 0.75
"""Share of its value that a late answer loses."""
TOKENS_PER_REQUEST_VALUE = 9_000.0
"""A prompt of this many tokens adds as much value as the request itself has."""
PAUSE_SLACK_MS = 70.0
"""Margin below a longest pause for load that isn't reported yet."""
COLD_SLOWDOWN = 1.5
"""Assumed slowdown of an engine just after its start."""
FIRST_EVENT_SLACK = 0.3
"""Share of an objective that a prediction must leave free to be considered safe."""


class EngineState(msgspec.Struct):
    """Snapshot of one engine for a placement; treated as immutable.

    Not frozen, as that would double the cost of creating each of hundreds.

    Attributes
    ----------
    summary : LoadSummary
        Its load, independent of the time.
    slowdown : float
        Factor by which work takes longer than the stated figures; at least 1.
    prefill_backlog_ms : float
        Milliseconds of assigned prefill that are not yet done.
    order : float
        Position in the order that all instances share, from 0 to 1.
    penalty : float
        Added to the cost of using it.
    prefill_start_ms : float
        Time until it can start to prefill a further part.
    busy_ms : float
        Length of a pass that does all assigned prefill.
    safe_ms : float
        A pass of up to this length exceeds none of its requests' longest pauses.
    unreported : int
        Estimated running requests beyond those of its load.
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
        """Its load without the prefill backlog."""
        return self.summary.base_load

    @property
    def running(self) -> int:
        """Requests that it hosts, including unreported ones."""
        return self.summary.base_load.running + self.unreported

    @property
    def has_slot(self) -> bool:
        """Whether it can host one more request."""
        return self.running < self.view.slots

    @property
    def can_help(self) -> bool:
        """Whether it can prefill a part of one more request of another host."""
        if self.view.rate_limited:
            return False
        return self.summary.base_load.helping < self.view.slots


def engine_state(
    view: EngineView,
    summary: LoadSummary,
    figures: EngineFigures,
    now_ms: float,
    order: float,
    penalty: float,
    unreported: int = 0,
) -> EngineState:
    """Return the snapshot of an engine for a placement.

    A part is prefilled after the current pass, of which half is left on average, and
    the prefill ends with a pass of its own.
    """
    slowdown = slowdown_of(view)
    pass_ms = decode_pass_ms(summary.base_load, figures) * slowdown
    prefill_backlog_ms = summary.prefill_backlog_ms(now_ms)
    return EngineState(
        view,
        summary,
        slowdown,
        prefill_backlog_ms,
        order,
        penalty,
        1.5 * pass_ms + prefill_backlog_ms,
        pass_ms + prefill_backlog_ms,
        summary.shortest_pause_ms - PAUSE_SLACK_MS,
        unreported,
    )


def slowdown_of(view: EngineView) -> float:
    """Return the factor by which an engine is slower than its stated figures."""
    return max(1.0, view.slowdown) * (COLD_SLOWDOWN if view.cold else 1.0)


def decode_pass_ms(load: EngineLoad, figures: EngineFigures) -> float:
    """Return the milliseconds of a pass without prefill."""
    if not load.running:
        return figures.step_ms
    step = figures.step_ms + figures.per_sequence_ms * load.running
    step += figures.context_ms_per_k * load.context_tokens / 1e3
    return step * max(1, figures.stride)


def value_of(prompt_tokens: int) -> float:
    """Return the value of an answer that is on time, by the length of its prompt."""
    return 1.0 + prompt_tokens / TOKENS_PER_REQUEST_VALUE


def miss_probability(value_ms: float, limit_ms: float, slack_ms: float) -> float:
    """Return the probability, 0 to 1, that a limit is exceeded.

    It grows linearly from `slack_ms`, at least 0, below the limit to the limit itself.
    """
    over_ms = value_ms - limit_ms + slack_ms
    if over_ms <= 0.0:
        return 0.0
    return 1.0 if over_ms >= slack_ms else over_ms / slack_ms


def interference_cost(state: EngineState, prefill_ms: float) -> float:
    """Return the added expected loss of an engine's own requests from one more part."""
    before = state.busy_ms
    after = before + prefill_ms * state.slowdown
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
    """Return how far below an objective a prediction must stay to be safe."""
    return FIRST_EVENT_SLACK * max(0.0, objective_ms)


def expected_late_loss(
    done_ms: float, objective_ms: float, slack_ms: float, value: float
) -> float:
    """Return the expected loss of a request by the time of its first event.

    Parameters
    ----------
    slack_ms : float
        Of its objective.
    value : float
        Of the request, if it is on time.
    """
    return miss_probability(done_ms, objective_ms, slack_ms) * LATE_LOSS * value

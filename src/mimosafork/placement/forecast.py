"""What delays are expected to cost, in the worth of a request without a prompt."""

from .state import PAUSE_SLACK_MS, EngineState
from .work import Due, Pace

LATE_LOSS = 0.75
"""Share of its worth that a late answer loses."""
TOKENS_OF_WORTH = 9_000.0
"""A prompt of so many tokens is worth as much as the request itself."""
FIRST_EVENT_SLACK = 0.3
"""Share of an objective that a prediction must leave to be sure of it."""
LIMIT_SLACK = 0.5
"""Share of the time until a caller stops waiting that should be left for writing."""


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
    if read_ms * state.pace <= state.calm_ms:
        return 0.0
    before = state.longest_pass(0.0)
    after = state.longest_pass(read_ms)
    return sum(
        pause_loss(pace, after) - pause_loss(pace, before) for pace in state.load.paces
    )


def due_loss(due: Due, done_ms: float) -> float:
    """Return what a first event at some time is expected to cost one request."""
    slack = FIRST_EVENT_SLACK * max(0.0, due.left_ms)
    return risk(done_ms, due.left_ms, slack) * LATE_LOSS * worth_of(due.prompt_tokens)


def delay_loss(state: EngineState, read_ms: float) -> float:
    """Return what the engine's own prompts lose by a part that goes ahead of them."""
    if not state.load.dues:
        return 0.0
    before = state.host_ms
    after = before + read_ms * state.pace
    return sum(due_loss(due, after) - due_loss(due, before) for due in state.load.dues)


def lateness(
    done_ms: float, objective_ms: float, limit_ms: float, prompt_tokens: int
) -> float:
    """Return what a request itself is expected to lose by its first event.

    Parameters
    ----------
    done_ms : float
        Predicted time of the event.
    objective_ms, limit_ms : float
        Beyond the first the answer is late, beyond the second it is of no use.
    """
    late = due_loss(Due(objective_ms, prompt_tokens), done_ms)
    slack = LIMIT_SLACK * max(0.0, limit_ms)
    lost = risk(done_ms, limit_ms, slack) * (1.0 - LATE_LOSS)
    return late + lost * worth_of(prompt_tokens)

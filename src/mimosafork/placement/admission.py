"""Whether a request can still be done in the time that is left."""

from collections.abc import Sequence
from datetime import timedelta

from ..routing.engine import EngineFigures
from .choice import PlacementRequest
from .forecast import EngineState

COUNTED_ANSWER_SHARE = 0.5
"""Share of the expected answer that is counted: the expectation is often far off."""
MIN_TAKEN_SLOT_SHARE = 0.5
"""Nothing is refused while less than this share of all slots is taken."""

EXPENSIVE_PREFILL_MS = 2_000.0
"""Reading, on all engines together, that harms others too much to be tried in vain."""


def finish_ms(
    ask: PlacementRequest, first_token_ms: float, step_ms: float, figures: EngineFigures
) -> float:
    """Return the milliseconds from now until an answer can be complete at best."""
    steps = max(0.0, ask.answer_tokens * COUNTED_ANSWER_SHARE - figures.stride)
    return first_token_ms + steps * step_ms


def retry_after_if_late(
    ask: PlacementRequest,
    states: Sequence[EngineState],
    first_token_ms: float,
    host: EngineState,
    figures: EngineFigures,
) -> timedelta | None:
    """Return when a request that can't be done in time should come back.

    Where places are free it is tried all the same, as the forecast may be wrong. Not
    so a repeat whose reading takes seconds of all engines: a huge prompt that broke off
    late and was read again in vain silenced all other streams until their callers left.

    Returns
    -------
    timedelta or None
        None if there is time, or if the places are not really taken.
    """
    left_ms = ask.time_left.total_seconds() * 1e3
    done_ms = finish_ms(ask, first_token_ms, figures.step_ms * host.slowdown, figures)
    if done_ms <= left_ms:
        return None
    slots = sum(state.view.slots for state in states)
    taken = sum(state.running for state in states)
    if taken < MIN_TAKEN_SLOT_SHARE * slots and not is_expensive_rerun(ask, figures):
        return None
    return timedelta(milliseconds=max(done_ms - left_ms, host.prefill_backlog_ms))


def is_expensive_rerun(ask: PlacementRequest, figures: EngineFigures) -> bool:
    """Return whether a prompt that was read before would be dear to read again."""
    prompt = ask.prompt_tokens
    return (
        ask.may_have_run and figures.prefill_ms(prompt, prompt) >= EXPENSIVE_PREFILL_MS
    )

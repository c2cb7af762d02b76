"""Admission by deadline: whether a request can finish in the time that is left."""

from collections.abc import Sequence
from datetime import timedelta

from ..routing.engine import EngineFigures
from .choice import PlacementRequest
from .forecast import EngineState

COUNTED_ANSWER_SHARE = 0.5
"""Share of the expected answer length that is counted, as the expectation is often far
off."""
MIN_TAKEN_SLOT_SHARE = 0.5
"""While less than this share of all slots is taken, only expensive reruns are
rejected."""

EXPENSIVE_PREFILL_MS = 2_000.0
"""Prefill time, over all engines together, that delays other requests too much to be
repeated without a chance of finishing in time."""


def finish_ms(
    request: PlacementRequest,
    first_token_ms: float,
    step_ms: float,
    figures: EngineFigures,
) -> float:
    """Return a low estimate of the milliseconds until an answer is complete."""
    steps = max(0.0, request.answer_tokens * COUNTED_ANSWER_SHARE - figures.stride)
    return first_token_ms + steps * step_ms


def retry_after_if_late(
    request: PlacementRequest,
    states: Sequence[EngineState],
    first_token_ms: float,
    host: EngineState,
    figures: EngineFigures,
) -> timedelta | None:
    """Return when to retry a request that can't finish before its deadline.

    With enough free slots it is placed anyway, as the prediction may be wrong. A rerun
    whose prefill takes seconds over all engines is rejected even then: repeating a huge
    prompt that failed late stalled all other streams until their callers disconnected.

    Returns
    -------
    timedelta or None
        None if there is time, or if the request is placed anyway.
    """
    left_ms = request.time_left.total_seconds() * 1e3
    done_ms = finish_ms(
        request, first_token_ms, figures.step_ms * host.slowdown, figures
    )
    if done_ms <= left_ms:
        return None
    slots = sum(state.view.slots for state in states)
    taken = sum(state.running for state in states)
    if taken < MIN_TAKEN_SLOT_SHARE * slots and not is_expensive_rerun(
        request, figures
    ):
        return None
    return timedelta(milliseconds=max(done_ms - left_ms, host.prefill_backlog_ms))


def is_expensive_rerun(request: PlacementRequest, figures: EngineFigures) -> bool:
    """Return whether a prompt may have run before and is costly to prefill again."""
    prompt = request.prompt_tokens
    return (
        request.may_have_run
        and figures.prefill_ms(prompt, prompt) >= EXPENSIVE_PREFILL_MS
    )

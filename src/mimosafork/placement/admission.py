"""Whether a request can still be done in the time that is left."""

from collections.abc import Sequence
from datetime import timedelta

from ..routing.engine import EngineFigures
from .choice import PlacementAsk
from .forecast import EngineState

SURE_SHARE = 0.5
"""Share of the expected answer that is counted: the expectation is often far off."""
TAKEN_SHARE = 0.5
"""Nothing is refused while less than this share of all slots is taken."""


def finish_ms(
    ask: PlacementAsk, first_token_ms: float, step_ms: float, figures: EngineFigures
) -> float:
    """Return the milliseconds from now until an answer can be complete at best."""
    steps = max(0.0, ask.answer_tokens * SURE_SHARE - figures.stride)
    return first_token_ms + steps * step_ms


def too_late(
    ask: PlacementAsk,
    states: Sequence[EngineState],
    first_token_ms: float,
    host: EngineState,
    figures: EngineFigures,
) -> timedelta | None:
    """Return when a request that can't be done in time should come back.

    Returns
    -------
    timedelta or None
        None if there is time, or if the places are not really taken.
    """
    left_ms = ask.time_left.total_seconds() * 1e3
    done_ms = finish_ms(ask, first_token_ms, figures.step_ms * host.pace, figures)
    if done_ms <= left_ms:
        return None
    slots = sum(state.view.slots for state in states)
    taken = sum(state.load.running for state in states)
    if taken < TAKEN_SHARE * slots:
        return None
    return timedelta(milliseconds=max(done_ms - left_ms, host.reading_ms))

"""Whose memory a prompt takes."""

from collections.abc import Sequence

from ..routing.engine import EngineFigures
from .choice import PlacementAsk, Reservation
from .forecast import EngineState

FULL_SHARE = 0.97
"""Share of an engine's memory that is given out; blocks round each request up."""


def total_tokens(ask: PlacementAsk) -> int:
    """Return the tokens that a request holds at its end."""
    return ask.prompt_tokens + ask.answer_tokens


def free_tokens(state: EngineState, figures: EngineFigures) -> int:
    """Return the tokens of an engine's memory that are promised to nobody."""
    return int(figures.memory_tokens * FULL_SHARE) - state.load.promised_tokens


def needs_tickets(ask: PlacementAsk, figures: EngineFigures) -> bool:
    """Return whether a request is larger than one engine's memory."""
    return total_tokens(ask) > int(figures.memory_tokens * FULL_SHARE)


def shares(
    ask: PlacementAsk, gang: Sequence[EngineState], figures: EngineFigures
) -> tuple[Reservation, ...]:
    """Spread a request's tokens over engines, evenly as far as each has room.

    Each step of a holder costs the context that it holds, so even shares write
    fastest. Engines with little room are filled first, the others take the rest.

    Parameters
    ----------
    gang : sequence of EngineState
        The host first; together they have room enough.
    """
    left = total_tokens(ask)
    tokens: dict[str, int] = {}
    by_room = sorted(gang, key=lambda state: free_tokens(state, figures))
    for index, state in enumerate(by_room):
        even = -(-left // (len(by_room) - index))
        taken = max(0, min(even, free_tokens(state, figures)))
        tokens[state.view.endpoint] = taken
        left -= taken
    return tuple(
        Reservation(
            state.view.endpoint, state.view.address, tokens[state.view.endpoint]
        )
        for state in gang
        if tokens[state.view.endpoint] > 0
    )

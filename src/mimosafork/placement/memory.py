"""Whose memory a prompt takes."""

from collections.abc import Sequence

from ..routing.engine import EngineFigures
from .choice import PlacementRequest, Reservation
from .forecast import EngineState

USABLE_MEMORY_SHARE = 0.97
"""Share of an engine's memory that is given out; blocks round each request up."""

MAX_PROMPT_MEMORY_SHARE = 0.5
"""Share of an engine's memory that one prompt takes at most, if others have room."""


def total_tokens(ask: PlacementRequest) -> int:
    """Return the tokens that a request holds at its end."""
    return ask.prompt_tokens + ask.answer_tokens


def free_tokens(state: EngineState, figures: EngineFigures) -> int:
    """Return the tokens of an engine's memory that are promised to nobody."""
    return usable_tokens(figures) - state.load.committed_tokens


def usable_tokens(figures: EngineFigures) -> int:
    """Return the tokens that an engine may promise in all."""
    return int(figures.memory_tokens * USABLE_MEMORY_SHARE)


def needs_reservations(ask: PlacementRequest, figures: EngineFigures) -> bool:
    """Return whether a request is larger than one engine's memory."""
    return total_tokens(ask) > usable_tokens(figures)


def split_reservations(
    ask: PlacementRequest, gang: Sequence[EngineState], figures: EngineFigures
) -> tuple[Reservation, ...]:
    """Spread a request's tokens over as few engines as hold it without being full.

    Each reservation costs orders and may be refused, so they are few; but an engine
    that is filled by one prompt admits nothing else, so each holds a part only.

    Parameters
    ----------
    gang : sequence of EngineState
        The host first; together they have room enough.
    """
    total = total_tokens(ask)
    part = int(figures.memory_tokens * MAX_PROMPT_MEMORY_SHARE)
    holders = by_free_memory(gang, figures)
    rooms = [max(0, free_tokens(state, figures)) for state in holders]
    count = min(len(holders), -(-total // part))
    while count < len(holders) and sum(rooms[:count]) < total:
        count += 1
    taken = split_evenly(total, rooms[:count])
    tokens = {
        state.view.endpoint: share for state, share in zip(holders, taken, strict=False)
    }
    return tuple(
        Reservation(
            state.view.endpoint, state.view.address, tokens[state.view.endpoint]
        )
        for state in gang
        if tokens.get(state.view.endpoint, 0) > 0
    )


def by_free_memory(
    gang: Sequence[EngineState], figures: EngineFigures
) -> list[EngineState]:
    """Return a gang's engines with the most room first; the host first on ties."""
    return sorted(gang, key=lambda state: -free_tokens(state, figures))


def split_evenly(total: int, rooms: Sequence[int]) -> list[int]:
    """Share out tokens evenly, as far as each has room.

    Each step of a holder costs the context that it holds, so even shares write
    fastest. Those with little room are filled first, the others take the rest.
    """
    left = total
    taken = [0] * len(rooms)
    by_room = sorted(range(len(rooms)), key=lambda index: rooms[index])
    for position, index in enumerate(by_room):
        even = -(-left // (len(rooms) - position))
        taken[index] = min(even, rooms[index])
        left -= taken[index]
    return taken

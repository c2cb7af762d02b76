"""Allocation of KV cache memory to prompts."""

from collections.abc import Sequence

from ..routing.engine import EngineFigures
from .choice import PlacementRequest, Reservation
from .forecast import EngineState

USABLE_MEMORY_SHARE = 0.97
"""Share of an engine's memory that is assigned; block sizes round each request up."""

MAX_PROMPT_MEMORY_SHARE = 0.5
"""Largest share of an engine's memory for one prompt, if other engines have room."""


def total_tokens(request: PlacementRequest) -> int:
    """Return the tokens that a request holds at its end."""
    return request.prompt_tokens + request.answer_tokens


def free_tokens(state: EngineState, figures: EngineFigures) -> int:
    """Return the tokens of an engine's memory that aren't committed to any request."""
    return usable_tokens(figures) - state.load.committed_tokens


def usable_tokens(figures: EngineFigures) -> int:
    """Return the tokens that an engine may commit in all."""
    return int(figures.memory_tokens * USABLE_MEMORY_SHARE)


def needs_reservations(request: PlacementRequest, figures: EngineFigures) -> bool:
    """Return whether a request is larger than one engine's memory."""
    return total_tokens(request) > usable_tokens(figures)


def split_reservations(
    request: PlacementRequest, gang: Sequence[EngineState], figures: EngineFigures
) -> tuple[Reservation, ...]:
    """Split a request's tokens over few engines without filling any of them.

    Each reservation costs calls to its engine and may be refused, so there should be
    few; but an engine filled by one prompt admits nothing else, so each holds only a
    part.

    Parameters
    ----------
    gang : sequence of EngineState
        The host first; together they have enough free memory.
    """
    total = total_tokens(request)
    max_per_engine = int(figures.memory_tokens * MAX_PROMPT_MEMORY_SHARE)
    holders = by_free_memory(gang, figures)
    free = [max(0, free_tokens(state, figures)) for state in holders]
    count = min(len(holders), -(-total // max_per_engine))
    while count < len(holders) and sum(free[:count]) < total:
        count += 1
    shares = split_evenly(total, free[:count])
    tokens = {
        state.view.endpoint: share
        for state, share in zip(holders, shares, strict=False)
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
    """Return a gang's engines, the most free memory first; the host first on ties."""
    return sorted(gang, key=lambda state: -free_tokens(state, figures))


def split_evenly(total: int, free: Sequence[int]) -> list[int]:
    """Split tokens evenly, as far as each engine has free memory.

    Each decode step of a holder costs time for the context that it holds, so even
    shares decode fastest. Engines with little free memory are filled first; the others
    take the rest.
    """
    remaining = total
    shares = [0] * len(free)
    by_free = sorted(range(len(free)), key=lambda index: free[index])
    for position, index in enumerate(by_free):
        even_share = -(-remaining // (len(free) - position))
        shares[index] = min(even_share, free[index])
        remaining -= shares[index]
    return shares

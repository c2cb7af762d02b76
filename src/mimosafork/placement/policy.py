"""Which engine hosts a request, and which others help to read its prompt."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from ..routing.engine import EngineFigures
from .admission import finish_ms, too_late
from .choice import (
    Choice,
    EngineView,
    Helper,
    NoRoom,
    Place,
    PlacementAsk,
    Shortage,
    WaitForRoom,
)
from .forecast import EngineState, state_of
from .memory import needs_tickets, shares, total_tokens
from .plain import choose_plain, preferred
from .plan import Plan, best_plan, is_open_to
from .race import race_costs
from .spread import spread_cost
from .subset import engine_rank
from .turn import waits_its_turn
from .work import LoadBook, Part

__all__ = ["choose", "choose_plain"]

SUSPECT_COST = 50.0
"""Cost of an engine that failed lately."""


def choose(
    ask: PlacementAsk,
    engines: Sequence[EngineView],
    book: LoadBook,
    figures: EngineFigures | None,
    now: timedelta,
    random: Random,
) -> Choice:
    """Return where a request goes now.

    Parameters
    ----------
    engines : sequence of EngineView
        All known endpoints of the service, usable or not.
    figures : EngineFigures or None
        None where the deployment states none: the endpoints are taken as plain ones.
    now : timedelta
        Time of the book.
    """
    if figures is None or ask.prompt_tokens <= 0:
        return choose_plain(ask, engines, book, now, random)
    usable = preferred(ask, engines)
    if not usable:
        return WaitForRoom(Shortage.ENDPOINTS)
    states = states_of(usable, book, figures, now)
    per_s = book.begun.per_s(now)
    races = race_costs(per_s, figures)
    spread = spread_cost(per_s, book.age.mean_s, book.rejected.per_s(now))
    plan = best_plan(ask, states, figures, random, races, spread)
    if plan is None:
        return without_plan(ask, states, figures)
    come_back = too_late(ask, states, plan.done_ms, plan.host, figures)
    if come_back is not None:
        return NoRoom(come_back, Shortage.TIME)
    if waits_its_turn(ask, plan):
        return WaitForRoom(Shortage.TURN)
    return place_of(ask, plan, figures)


def states_of(
    usable: Sequence[EngineView],
    book: LoadBook,
    figures: EngineFigures,
    now: timedelta,
) -> list[EngineState]:
    """Return the engines in the order that all instances share."""
    ordered = sorted(usable, key=lambda view: engine_rank(view.endpoint))
    now_ms = now.total_seconds() * 1e3
    count = len(ordered)
    return [
        state_of(
            view,
            book.sum_of(view.endpoint),
            figures,
            now_ms,
            index / count,
            SUSPECT_COST if view.suspect else 0.0,
            book.full.unheard(view.endpoint, now),
        )
        for index, view in enumerate(ordered)
    ]


def without_plan(
    ask: PlacementAsk, states: list[EngineState], figures: EngineFigures
) -> Choice:
    """Say what a request lacks that has no place."""
    if total_tokens(ask) > figures.memory_tokens * len(states):
        return NoRoom(ask.time_left, Shortage.SIZE)
    least = finish_ms(ask, 0.0, figures.step_ms, figures)
    if least > ask.time_left.total_seconds() * 1e3:
        return NoRoom(timedelta(milliseconds=least), Shortage.TIME)
    if any(is_open_to(ask, state) for state in states):
        return WaitForRoom(Shortage.MEMORY)
    return WaitForRoom(Shortage.SLOTS)


def place_of(ask: PlacementAsk, plan: Plan, figures: EngineFigures) -> Place:
    """Return a plan as it is carried out."""
    gang = (plan.host, *plan.helpers)
    tokens = -(-ask.prompt_tokens // len(gang))
    read_ms = figures.read_ms(tokens, ask.prompt_tokens)
    parts = tuple(
        Part(state.view.endpoint, tokens, read_ms * state.pace) for state in gang
    )
    reservations = shares(ask, gang, figures) if needs_tickets(ask, figures) else ()
    return Place(
        host=plan.host.view.endpoint,
        address=plan.host.view.address,
        helpers=tuple(
            Helper(state.view.endpoint, state.view.address) for state in plan.helpers
        ),
        reservations=reservations,
        predicted_first_token=timedelta(milliseconds=plan.done_ms),
        parts=parts,
    )

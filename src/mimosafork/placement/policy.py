"""Which engine hosts a request, and which others help to read its prompt."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from ..routing.engine import EngineFigures
from .admission import finish_ms, retry_after_if_late
from .choice import (
    Assignment,
    EngineView,
    Helper,
    PlacementDecision,
    PlacementRequest,
    RejectRequest,
    Shortage,
    WaitForCapacity,
)
from .forecast import EngineState, engine_state
from .load_tracker import LoadTracker, PrefillPart
from .memory import needs_reservations, split_reservations, total_tokens
from .plain import choose_plain, preferred
from .plan import Plan, best_plan, can_host
from .prefill_order import should_wait_for_older_prefill
from .race import race_costs
from .spread import spread_cost
from .subset import engine_rank

__all__ = ["choose", "choose_plain"]

SUSPECT_COST = 50.0
"""Cost of an engine that failed lately."""


def choose(
    ask: PlacementRequest,
    engines: Sequence[EngineView],
    book: LoadTracker,
    figures: EngineFigures | None,
    now: timedelta,
    random: Random,
) -> PlacementDecision:
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
        return WaitForCapacity(Shortage.ENDPOINTS)
    states = engine_states(usable, book, figures, now)
    per_s = book.start_rate.per_s(now)
    races = race_costs(per_s, figures)
    spread = spread_cost(
        per_s, book.report_delay.mean_s, book.rejection_rate.per_s(now)
    )
    plan = best_plan(ask, states, figures, random, races, spread)
    if plan is None:
        return decision_without_plan(ask, states, figures)
    come_back = retry_after_if_late(ask, states, plan.done_ms, plan.host, figures)
    if come_back is not None:
        return RejectRequest(come_back, Shortage.TIME)
    if should_wait_for_older_prefill(ask, plan):
        return WaitForCapacity(Shortage.TURN)
    return assignment_of(ask, plan, figures)


def engine_states(
    usable: Sequence[EngineView],
    book: LoadTracker,
    figures: EngineFigures,
    now: timedelta,
) -> list[EngineState]:
    """Return the engines in the order that all instances share."""
    ordered = sorted(usable, key=lambda view: engine_rank(view.endpoint))
    now_ms = now.total_seconds() * 1e3
    count = len(ordered)
    return [
        engine_state(
            view,
            book.summary_of(view.endpoint),
            figures,
            now_ms,
            index / count,
            SUSPECT_COST if view.suspect else 0.0,
            book.overloads.unreported(view.endpoint, now),
        )
        for index, view in enumerate(ordered)
    ]


def decision_without_plan(
    ask: PlacementRequest, states: list[EngineState], figures: EngineFigures
) -> PlacementDecision:
    """Say what a request lacks that has no place."""
    if total_tokens(ask) > figures.memory_tokens * len(states):
        return RejectRequest(ask.time_left, Shortage.SIZE)
    least = finish_ms(ask, 0.0, figures.step_ms, figures)
    if least > ask.time_left.total_seconds() * 1e3:
        return RejectRequest(timedelta(milliseconds=least), Shortage.TIME)
    if any(can_host(ask, state) for state in states):
        return WaitForCapacity(Shortage.MEMORY)
    return WaitForCapacity(Shortage.SLOTS)


def assignment_of(
    ask: PlacementRequest, plan: Plan, figures: EngineFigures
) -> Assignment:
    """Return a plan as it is carried out."""
    gang = (plan.host, *plan.helpers)
    tokens = -(-ask.prompt_tokens // len(gang))
    read_ms = figures.prefill_ms(tokens, ask.prompt_tokens)
    parts = tuple(
        PrefillPart(state.view.endpoint, tokens, read_ms * state.slowdown)
        for state in gang
    )
    reservations = (
        split_reservations(ask, gang, figures)
        if needs_reservations(ask, figures)
        else ()
    )
    return Assignment(
        host=plan.host.view.endpoint,
        address=plan.host.view.address,
        helpers=tuple(
            Helper(state.view.endpoint, state.view.address) for state in plan.helpers
        ),
        reservations=reservations,
        predicted_first_token=timedelta(milliseconds=plan.done_ms),
        parts=parts,
    )

"""Choice of the host of a request and of the helpers that prefill its prompt."""

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
"""Cost of an engine that failed recently."""


def choose(
    request: PlacementRequest,
    engines: Sequence[EngineView],
    tracker: LoadTracker,
    figures: EngineFigures | None,
    now: timedelta,
    random: Random,
) -> PlacementDecision:
    """Return the placement decision for a request.

    Parameters
    ----------
    engines : sequence of EngineView
        All known endpoints of the service, usable or not.
    figures : EngineFigures or None
        None where the deployment states none: the endpoints are used as plain ones.
    now : timedelta
        Time on the load tracker's clock.
    """
    if figures is None or request.prompt_tokens <= 0:
        return choose_plain(request, engines, tracker, now, random)
    usable = preferred(request, engines)
    if not usable:
        return WaitForCapacity(Shortage.ENDPOINTS)
    states = engine_states(usable, tracker, figures, now)
    per_s = tracker.start_rate.per_s(now)
    races = race_costs(per_s, figures)
    spread_by = spread_cost(
        per_s, tracker.report_delay.mean_s, tracker.rejection_rate.per_s(now)
    )
    plan = best_plan(request, states, figures, random, races, spread_by)
    if plan is None:
        return decision_without_plan(request, states, figures)
    retry_after = retry_after_if_late(request, states, plan.done_ms, plan.host, figures)
    if retry_after is not None:
        return RejectRequest(retry_after, Shortage.TIME)
    if should_wait_for_older_prefill(request, plan):
        return WaitForCapacity(Shortage.TURN)
    return assignment_of(request, plan, figures)


def engine_states(
    usable: Sequence[EngineView],
    tracker: LoadTracker,
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
            tracker.summary_of(view.endpoint),
            figures,
            now_ms,
            index / count,
            SUSPECT_COST if view.suspect else 0.0,
            tracker.overloads.unreported(view.endpoint, now),
        )
        for index, view in enumerate(ordered)
    ]


def decision_without_plan(
    request: PlacementRequest, states: list[EngineState], figures: EngineFigures
) -> PlacementDecision:
    """Return why a request without a plan has to wait or is rejected."""
    if total_tokens(request) > figures.memory_tokens * len(states):
        return RejectRequest(request.time_left, Shortage.SIZE)
    least = finish_ms(request, 0.0, figures.step_ms, figures)
    if least > request.time_left.total_seconds() * 1e3:
        return RejectRequest(timedelta(milliseconds=least), Shortage.TIME)
    if any(can_host(request, state) for state in states):
        return WaitForCapacity(Shortage.MEMORY)
    return WaitForCapacity(Shortage.SLOTS)


def assignment_of(
    request: PlacementRequest, plan: Plan, figures: EngineFigures
) -> Assignment:
    """Return the assignment that carries out a plan."""
    gang = (plan.host, *plan.helpers)
    tokens = -(-request.prompt_tokens // len(gang))
    prefill_ms = figures.prefill_ms(tokens, request.prompt_tokens)
    parts = tuple(
        PrefillPart(state.view.endpoint, tokens, prefill_ms * state.slowdown)
        for state in gang
    )
    reservations = (
        split_reservations(request, gang, figures)
        if needs_reservations(request, figures)
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

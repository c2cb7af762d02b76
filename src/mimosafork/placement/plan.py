"""The cheapest host and helpers for a request.

Each number of engines is tried; for each, the engines are taken on which a part of
that size costs least. The costs are what the request itself may lose by a late first
event, what the writers on those engines may lose by a longer pause, and what short
requests to come may lose at the front: the first engines of an order that all
instances share, as many as the short requests now running need. So the border between
short and long moves by itself with the mix.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..routing.engine import EngineFigures
from .choice import PlacementAsk
from .forecast import delay_loss, harm, lateness
from .front import Front, front_of, is_short
from .memory import free_tokens, needs_tickets, total_tokens
from .state import EngineState

GANG_SIZES = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
"""Numbers of engines that are tried; a request may name 16 beside its host."""
MOST_WITH_MEMORY = 16
"""Engines of a prompt whose memory is reserved: its host may be named too then."""
HELPER_COST = 0.02
"""Cost of each helper, as one that is gone fails the whole request."""
NOISE_COST = 0.05
"""Instances that don't know of one another's last requests spread by this much."""
DELAY_COST_PER_MS = 0.0002
"""Cost of each millisecond until the first event."""
CROWD_COST = 0.3
"""Cost of taking an engine's last free slot, as a peer may just have done so."""
CROWD_FALL = 0.15
"""By how much that falls with each further free slot."""
LEAST_PART_MS = 15.0
"""Prompts are not cut into parts that are read faster."""


@dataclass(frozen=True, slots=True)
class Plan:
    """A host, its helpers, and what that costs."""

    host: EngineState
    helpers: tuple[EngineState, ...]
    done_ms: float
    cost: float


@dataclass(frozen=True, slots=True)
class Seat:
    """One engine with the part that it would read.

    Attributes
    ----------
    done_ms : float
        When it will have read the part.
    cost : float
        To others, and by its place in the order.
    rank : float
        The cost with what the request itself would lose by this engine.
    """

    state: EngineState
    done_ms: float
    cost: float
    rank: float


@dataclass(frozen=True, slots=True)
class Search:
    """One request and the engines that it may use.

    Attributes
    ----------
    noise : tuple of float
        One cost for each engine.
    """

    ask: PlacementAsk
    states: Sequence[EngineState]
    figures: EngineFigures
    noise: tuple[float, ...]
    front: Front

    def own_loss(self, done_ms: float) -> float:
        """Return what the request loses by a time until its first token."""
        objective_ms = self.ask.objective.total_seconds() * 1e3
        limit_ms = self.ask.time_left.total_seconds() * 1e3
        loss = lateness(done_ms, objective_ms, limit_ms, self.ask.prompt_tokens)
        return loss + DELAY_COST_PER_MS * done_ms

    def seats(self, read_ms: float, helping: bool) -> list[Seat]:
        """Return each engine with one part, as a helper or as the host."""
        seats = []
        short = is_short(self.ask.prompt_tokens, self.figures)
        for state, extra in zip(self.states, self.noise, strict=True):
            done_ms = state.done_ms(read_ms, helping)
            cost = harm(state, read_ms) + extra + state.penalty
            cost += self.front.blocking(state, read_ms)
            if helping:
                cost += delay_loss(state, read_ms)
            else:
                cost += self.front.hosting(state, short) + crowding(state)
            seats.append(Seat(state, done_ms, cost, cost + self.own_loss(done_ms)))
        return seats

    def host(self, seats: Sequence[Seat]) -> Seat | None:
        """Return the cheapest engine with a free slot and memory, or None."""
        split = needs_tickets(self.ask, self.figures)
        needed = 0 if split else total_tokens(self.ask)
        fitting = [
            seat
            for seat in seats
            if seat.state.has_slot and free_tokens(seat.state, self.figures) >= needed
        ]
        return min(fitting, key=lambda seat: seat.rank, default=None)

    def plan(self, size: int) -> Plan | None:
        """Return the cheapest plan with some number of engines, or None."""
        tokens = -(-self.ask.prompt_tokens // size)
        read_ms = self.figures.read_ms(tokens, self.ask.prompt_tokens)
        host = self.host(self.seats(read_ms, helping=False))
        if host is None:
            return None
        helpers = self.helpers(host, read_ms, size - 1) if size > 1 else []
        gang = [host, *helpers]
        if len(gang) < size or not self.fits(gang):
            return None
        done_ms = max(seat.done_ms for seat in gang)
        cost = self.own_loss(done_ms) + sum(seat.cost for seat in gang)
        cost += HELPER_COST * len(helpers)
        return Plan(host.state, tuple(s.state for s in helpers), done_ms, cost)

    def helpers(self, host: Seat, read_ms: float, count: int) -> list[Seat]:
        """Return the cheapest helpers of a host."""
        seats = self.seats(read_ms, helping=True)
        able = [s for s in seats if s.state is not host.state and s.state.can_help]
        return sorted(able, key=lambda seat: seat.rank)[:count]

    def fits(self, gang: Sequence[Seat]) -> bool:
        """Return whether a prompt larger than one engine's memory fits into all."""
        if not needs_tickets(self.ask, self.figures):
            return True
        free = sum(max(0, free_tokens(seat.state, self.figures)) for seat in gang)
        return free >= total_tokens(self.ask)


def crowding(state: EngineState) -> float:
    """Return the expected cost of finding all slots taken by requests unheard of."""
    left = state.view.slots - 1 - state.load.running
    return CROWD_COST * CROWD_FALL**left


def best_plan(
    ask: PlacementAsk,
    states: Sequence[EngineState],
    figures: EngineFigures,
    random: Random,
) -> Plan | None:
    """Return the plan that costs least, or None if no engine has room."""
    noise = tuple(random.random() * NOISE_COST for _ in states)
    search = Search(ask, states, figures, noise, front_of(states, figures))
    plans = [plan for size in sizes_for(search) if (plan := search.plan(size))]
    return min(plans, key=lambda plan: plan.cost, default=None)


def sizes_for(search: Search) -> list[int]:
    """Return the numbers of engines that are worth a try, the least first."""
    tokens = search.ask.prompt_tokens
    most = max(1.0, search.figures.read_ms(tokens, tokens) / LEAST_PART_MS)
    limit = len(search.states)
    if needs_tickets(search.ask, search.figures):
        limit = min(limit, MOST_WITH_MEMORY)
    return sorted({min(size, limit) for size in GANG_SIZES if size <= most})

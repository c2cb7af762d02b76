"""The cheapest host and helpers for a request.

Each number of engines is tried; for each, the engines are taken on which a part of
that size costs least. The costs are what the request itself may lose by a late first
event, what the writers on those engines may lose by a longer pause, and what is lost
of the room for long reads when a request with a short pause opens one more engine.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from ..routing.engine import EngineFigures
from .choice import PlacementAsk
from .forecast import EngineState, harm, lateness, read_done, worth_of
from .memory import free_tokens, needs_tickets, total_tokens

GANG_SIZES = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
"""Numbers of engines that are tried; a request may name 16 beside its host."""
MOST_WITH_MEMORY = 16
"""Engines of a prompt whose memory is reserved: its host may be named too then."""
HELPER_COST = 0.02
"""Cost of each helper, as one that is gone fails the whole request."""
OPENING_COST = 0.3
"""Cost of taking a second of longest pause away from an engine's requests."""
LONGEST_PAUSE_MS = 1_500.0
"""Longest pause that an engine without requests counts as having."""
ORDER_COST = 0.1
"""Cost of an engine at the far end of the order."""
NOISE_COST = 0.05
"""Instances that don't know of one another's last requests spread by this much."""
DELAY_COST_PER_MS = 0.0002
"""Cost of each millisecond until the first token, for each request's worth."""
SMALL_PROMPT_MS = 200.0
"""Prompts that are read within this go to the front of the order, others behind."""


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

    def own_loss(self, done_ms: float) -> float:
        """Return what the request loses by a time until its first token."""
        objective_ms = self.ask.objective.total_seconds() * 1e3
        prompt = self.ask.prompt_tokens
        delay = DELAY_COST_PER_MS * done_ms * worth_of(prompt)
        return lateness(done_ms, objective_ms, prompt) + delay

    def is_small(self) -> bool:
        """Whether the prompt is read so fast that it goes to the front."""
        tokens = self.ask.prompt_tokens
        return self.figures.read_ms(tokens, tokens) < SMALL_PROMPT_MS

    def seats(self, size: int) -> list[Seat]:
        """Return each engine with one of `size` even parts."""
        tokens = -(-self.ask.prompt_tokens // size)
        read_ms = self.figures.read_ms(tokens, self.ask.prompt_tokens)
        small = self.is_small()
        seats = []
        for state, extra in zip(self.states, self.noise, strict=True):
            done_ms = read_done(state, read_ms)
            cost = harm(state, read_ms) + extra + state.penalty
            cost += ORDER_COST * (state.order if small else 1.0 - state.order)
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
        return min(
            fitting,
            key=lambda seat: seat.rank + opening(self.ask, seat.state),
            default=None,
        )

    def plan(self, size: int) -> Plan | None:
        """Return the cheapest plan with some number of engines, or None."""
        seats = self.seats(size)
        host = self.host(seats)
        if host is None:
            return None
        able = [s for s in seats if s is not host and s.state.can_help]
        helpers = sorted(able, key=lambda seat: seat.rank)[: size - 1]
        if len(helpers) < size - 1 or not self.fits([host, *helpers]):
            return None
        done_ms = max(seat.done_ms for seat in (host, *helpers))
        cost = self.own_loss(done_ms) + opening(self.ask, host.state) + host.cost
        cost += sum(seat.cost + HELPER_COST for seat in helpers)
        return Plan(host.state, tuple(s.state for s in helpers), done_ms, cost)

    def fits(self, gang: Sequence[Seat]) -> bool:
        """Return whether a prompt larger than one engine's memory fits into all."""
        if not needs_tickets(self.ask, self.figures):
            return True
        free = sum(max(0, free_tokens(seat.state, self.figures)) for seat in gang)
        return free >= total_tokens(self.ask)


def best_plan(
    ask: PlacementAsk,
    states: Sequence[EngineState],
    figures: EngineFigures,
    random: Random,
) -> Plan | None:
    """Return the plan that costs least, or None if no engine has room."""
    noise = tuple(random.random() * NOISE_COST for _ in states)
    search = Search(ask, states, figures, noise)
    most = MOST_WITH_MEMORY if needs_tickets(ask, figures) else GANG_SIZES[-1]
    sizes = sorted({min(size, len(states), most) for size in GANG_SIZES})
    plans = [plan for size in sizes if (plan := search.plan(size)) is not None]
    return min(plans, key=lambda plan: plan.cost, default=None)


def opening(ask: PlacementAsk, state: EngineState) -> float:
    """Return the cost of shortening the pause that an engine's requests bear."""
    if ask.longest_pause is None:
        return 0.0
    own = ask.longest_pause.total_seconds() * 1e3
    borne = min((pace.pause_ms for pace in state.load.paces), default=LONGEST_PAUSE_MS)
    return OPENING_COST * max(0.0, borne - own) / 1e3

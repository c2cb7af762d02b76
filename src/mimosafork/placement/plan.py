"""The cheapest host and helpers for a request.

Each number of engines is tried; for each, the engines are taken on which a part of
that size costs least. The costs are what the request itself may lose by a late first
event, what the writers on those engines may lose by a longer pause, and what is lost
of the room for long reads when a request with a short pause opens one more engine.
"""

from collections.abc import Sequence
from math import inf
from random import Random

import msgspec

from ..routing.engine import EngineFigures
from .choice import PlacementRequest
from .forecast import (
    EngineState,
    expected_late_loss,
    interference_cost,
    objective_slack_ms,
    value_of,
)
from .memory import free_tokens, needs_reservations, total_tokens, usable_tokens
from .race import race_cost

GANG_SIZES = (1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17)
"""Numbers of engines that are tried; a request may name 16 beside its host."""
MAX_GANG_WITH_RESERVATIONS = 16
"""Engines of a prompt whose memory is reserved: its host may be named too then."""
HELPER_COST = 0.02
"""Cost of each helper, as one that is gone fails the whole request."""
PAUSE_LOSS_COST_PER_S = 0.3
"""Cost of taking a second of longest pause away from an engine's requests."""
IDLE_ENGINE_PAUSE_MS = 1_500.0
"""Longest pause that an engine without requests counts as having."""
ORDER_COST = 0.1
"""Cost of an engine at the far end of the order."""
NOISE_COST = 0.05
"""Instances that don't know of one another's last requests spread by this much."""
DELAY_COST_PER_MS = 0.0002
"""Cost of each millisecond until the first token, for each request's worth."""
SHORT_PREFILL_MS = 200.0
"""Prompts that are read within this go to the front of the order, others behind."""
ROUNDING = 1e-9
"""A bound may lie so far above the cost that it bounds, as sums are rounded."""


class Plan(msgspec.Struct, frozen=True):
    """A host, its helpers, and what that costs."""

    host: EngineState
    helpers: tuple[EngineState, ...]
    done_ms: float
    cost: float

    def is_cheaper_than(self, other: "Plan") -> bool:
        """Whether it costs less, or as much with fewer helpers."""
        mine = (self.cost, len(self.helpers))
        return mine < (other.cost, len(other.helpers))


class EngineCosts(msgspec.Struct):
    """All engines with one size of part, each list in their order.

    Attributes
    ----------
    done_ms : list of float
        When each will have read the part.
    costs : list of float
        To others, and by its place in the order.
    ranks : list of float
        The costs with what the request itself would lose by the engine.
    """

    done_ms: list[float]
    costs: list[float]
    ranks: list[float]


class PlanSearch:
    """One request and the engines that it may use.

    Engines are named by their index. What doesn't depend on the size of the parts is
    calculated once.

    Parameters
    ----------
    ask : PlacementAsk
    states : sequence of EngineState
    figures : EngineFigures
    noise : sequence of float
        One cost for each engine.
    hosts : sequence of int
        Engines with a slot and memory for it, at least one.
    races : tuple of float
        Cost of a host by its free slots, as others may take them.

    Attributes
    ----------
    fixed : list of float
        Costs of each engine whatever it reads.
    openings : list of float
        What each costs besides as a host.
    helpers : list of int
        Those that may read for others.
    """

    def __init__(
        self,
        ask: PlacementRequest,
        states: Sequence[EngineState],
        figures: EngineFigures,
        noise: Sequence[float],
        hosts: Sequence[int],
        races: tuple[float, ...] = (),
    ) -> None:
        self.ask = ask
        self.states = states
        self.figures = figures
        self.split = needs_reservations(ask, figures)
        self.worth = value_of(ask.prompt_tokens)
        self.objective_ms = ask.objective.total_seconds() * 1e3
        self.slack_ms = objective_slack_ms(self.objective_ms)
        self.sure_ms = self.objective_ms - self.slack_ms
        self.hosts = hosts
        self.helpers = [i for i, state in enumerate(states) if state.can_help]
        small = (
            figures.prefill_ms(ask.prompt_tokens, ask.prompt_tokens) < SHORT_PREFILL_MS
        )
        self.fixed = [
            extra
            + state.penalty
            + ORDER_COST * (state.order if small else 1.0 - state.order)
            for state, extra in zip(states, noise, strict=True)
        ]
        openings = pause_loss_costs(ask, states)
        self.openings = [
            opening + race_cost(state, races)
            for state, opening in zip(states, openings, strict=True)
        ]

    def own_loss(self, done_ms: float) -> float:
        """Return what the request loses by a time until its first token."""
        delay = DELAY_COST_PER_MS * done_ms * self.worth
        if done_ms <= self.sure_ms:
            return delay
        late = expected_late_loss(done_ms, self.objective_ms, self.slack_ms, self.worth)
        return late + delay

    def read_ms(self, size: int) -> float:
        """Return how long one of `size` even parts is read."""
        prompt = self.ask.prompt_tokens
        return self.figures.prefill_ms(-(-prompt // size), prompt)

    def weights(self, read_ms: float) -> EngineCosts:
        """Return what a part that is read within some time costs on each engine."""
        own_loss = self.own_loss
        done_ms = [
            state.prefill_start_ms + read_ms * state.slowdown for state in self.states
        ]
        costs = [
            fixed
            if state.busy_ms + read_ms * state.slowdown <= state.safe_ms
            else fixed + interference_cost(state, read_ms)
            for state, fixed in zip(self.states, self.fixed, strict=True)
        ]
        pairs = zip(costs, done_ms, strict=True)
        ranks = [cost + own_loss(done) for cost, done in pairs]
        return EngineCosts(done_ms, costs, ranks)

    def plan(self, size: int) -> Plan | None:
        """Return the cheapest plan with some number of engines, or None."""
        if len(self.helpers) < size - 1:
            return None
        weights = self.weights(self.read_ms(size))
        ranks, openings = weights.ranks, self.openings
        host = min(self.hosts, key=lambda index: ranks[index] + openings[index])
        others = [index for index in self.helpers if index != host]
        helpers = sorted(others, key=ranks.__getitem__)[: size - 1]
        if len(helpers) < size - 1 or not self.fits([host, *helpers]):
            return None
        done_ms = max(weights.done_ms[index] for index in (host, *helpers))
        cost = self.own_loss(done_ms) + openings[host] + weights.costs[host]
        cost += sum(weights.costs[index] + HELPER_COST for index in helpers)
        gang = tuple(self.states[index] for index in helpers)
        return Plan(self.states[host], gang, done_ms, cost)

    def fits(self, gang: Sequence[int]) -> bool:
        """Return whether a prompt larger than one engine's memory fits into all."""
        if not self.split:
            return True
        rooms = (free_tokens(self.states[index], self.figures) for index in gang)
        return sum(max(0, room) for room in rooms) >= total_tokens(self.ask)

    def sizes(self) -> list[int]:
        """Return the numbers of engines that may have room together."""
        most = MAX_GANG_WITH_RESERVATIONS if self.split else GANG_SIZES[-1]
        sizes = sorted({min(size, len(self.states), most) for size in GANG_SIZES})
        if not self.split:
            return sizes
        rooms = [max(0, free_tokens(each, self.figures)) for each in self.states]
        rooms.sort(reverse=True)
        return [each for each in sizes if sum(rooms[:each]) >= total_tokens(self.ask)]

    def cheapest(self) -> Plan | None:
        """Return the plan that costs least, or None if no gang has room."""
        bounds = CostBounds(self)
        least = {size: bounds.least_cost(size) for size in self.sizes()}
        best: Plan | None = None
        # From the most promising size on, as most need not be weighed then.
        for size in sorted(least, key=least.__getitem__):
            if best is not None and least[size] > best.cost + ROUNDING:
                break
            plan = self.plan(size)
            if plan is not None and (best is None or plan.is_cheaper_than(best)):
                best = plan
        return best


class CostBounds:
    """What plans cost at least, told without weighing each engine.

    As if the cheapest engines were those that are free first, and none had requests
    of its own that a part could harm.

    Parameters
    ----------
    search : Search
    """

    def __init__(self, search: PlanSearch) -> None:
        self.search = search
        self.begins_ms = sorted(state.prefill_start_ms for state in search.states)
        self.costs = sorted(search.fixed)
        self.host_cost = min(
            search.fixed[index] + search.openings[index] for index in search.hosts
        )

    def least_cost(self, size: int) -> float:
        """Return what a plan with some number of engines costs at least."""
        done_ms = self.begins_ms[size - 1] + self.search.read_ms(size)
        helpers = sum(self.costs[: size - 1]) + HELPER_COST * (size - 1)
        return self.search.own_loss(done_ms) + self.host_cost + helpers


def best_plan(
    ask: PlacementRequest,
    states: Sequence[EngineState],
    figures: EngineFigures,
    random: Random,
    races: tuple[float, ...] = (),
    spread: float = NOISE_COST,
) -> Plan | None:
    """Return the plan that costs least, or None if no engine has room.

    Parameters
    ----------
    spread : float
        Cost by which engines differ by chance at most.
    """
    # Chance is used alike whether there is a host or not.
    noise = [random.random() * spread for _ in states]
    hosts = hosts_of(ask, states, figures)
    if not hosts:
        return None
    return PlanSearch(ask, states, figures, noise, hosts, races).cheapest()


def hosts_of(
    ask: PlacementRequest, states: Sequence[EngineState], figures: EngineFigures
) -> list[int]:
    """Return the engines that have a slot and memory for a request."""
    room = usable_tokens(figures)
    if not needs_reservations(ask, figures):
        room -= total_tokens(ask)
    return [
        index
        for index, state in enumerate(states)
        if can_host(ask, state) and state.summary.base_load.committed_tokens <= room
    ]


def can_host(ask: PlacementRequest, state: EngineState) -> bool:
    """Return whether an engine has a slot, and is not too crowded for a request."""
    return state.has_slot and (
        ask.running_ceiling is None or state.running < ask.running_ceiling
    )


def pause_loss_costs(
    ask: PlacementRequest, states: Sequence[EngineState]
) -> list[float]:
    """Return the cost of shortening the pause that each engine's requests bear."""
    if ask.longest_pause is None:
        return [0.0] * len(states)
    own = ask.longest_pause.total_seconds() * 1e3
    tightest = (state.summary.shortest_pause_ms for state in states)
    borne = (IDLE_ENGINE_PAUSE_MS if pause == inf else pause for pause in tightest)
    return [PAUSE_LOSS_COST_PER_S * max(0.0, pause - own) / 1e3 for pause in borne]

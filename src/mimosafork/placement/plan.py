"""Search for the cheapest host and helpers of a request.

Several gang sizes are tried; for each, the search takes the engines on which a part of
that size costs least. The cost consists of the request's own expected loss by a late
first event, the expected loss of requests that are decoding on those engines by a
longer pause, and the capacity for long prefills that is lost when a request with a
short pause limit is placed on a further engine.
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
"""Engines of a prompt with memory reservations, as its host may then be named too."""
HELPER_COST = 0.02
"""Cost of each helper, as the failure of one fails the whole request."""
PAUSE_LOSS_COST_PER_S = 0.3
"""Cost of shortening the longest pause of an engine's requests by a second."""
IDLE_ENGINE_PAUSE_MS = 1_500.0
"""Longest pause that is assumed for an engine without requests."""
ORDER_COST = 0.1
"""Cost of an engine at the far end of the order."""
NOISE_COST = 0.05
"""Maximum random cost, so that instances without each other's latest requests choose
different engines."""
UNPERMITTED_COST = 0.1
"""Cost of a host without a free permit: more than the noise, and far less than the loss
of a late answer, so that no answer is late for it."""
DELAY_COST_PER_MS = 0.0002
"""Cost of each millisecond until the first token, per unit of the request's value."""
SHORT_PREFILL_MS = 200.0
"""Prompts with a shorter prefill go to the front of the order, others to the back."""
ROUNDING = 1e-9
"""Tolerance for rounding errors when a cost is compared with its lower bound."""


class Plan(msgspec.Struct, frozen=True):
    """A host, its helpers and their cost."""

    host: EngineState
    helpers: tuple[EngineState, ...]
    done_ms: float
    cost: float

    def is_cheaper_than(self, other: "Plan") -> bool:
        """Whether it costs less, or the same with fewer helpers."""
        own_order = (self.cost, len(self.helpers))
        return own_order < (other.cost, len(other.helpers))


class EngineCosts(msgspec.Struct):
    """Costs of all engines for one part size; each list has the order of the engines.

    Attributes
    ----------
    done_ms : list of float
        When each would have prefilled the part.
    costs : list of float
        Loss of other requests, and the fixed costs of the engine.
    ranks : list of float
        The costs plus the request's own loss on the engine.
    """

    done_ms: list[float]
    costs: list[float]
    ranks: list[float]


class PlanSearch:
    """Search over the engines that one request may use.

    Engines are identified by their index. What doesn't depend on the part size is
    calculated once.

    Parameters
    ----------
    request : PlacementRequest
    states : sequence of EngineState
    figures : EngineFigures
    noise : sequence of float
        One cost for each engine.
    hosts : sequence of int
        Engines with a free slot and memory for the request, at least one.
    races : tuple of float
        Cost of a host by its free slots, as other instances may take them.

    Attributes
    ----------
    fixed : list of float
        Costs of each engine independent of the part size.
    host_costs : list of float
        Additional cost of each engine as the host.
    helpers : list of int
        Engines that can prefill parts for others.
    """

    def __init__(
        self,
        request: PlacementRequest,
        states: Sequence[EngineState],
        figures: EngineFigures,
        noise: Sequence[float],
        hosts: Sequence[int],
        races: tuple[float, ...] = (),
    ) -> None:
        self.request = request
        self.states = states
        self.figures = figures
        self.is_split = needs_reservations(request, figures)
        self.value = value_of(request.prompt_tokens)
        self.objective_ms = request.objective.total_seconds() * 1e3
        self.slack_ms = objective_slack_ms(self.objective_ms)
        self.safe_first_token_ms = self.objective_ms - self.slack_ms
        self.hosts = hosts
        self.helpers = [i for i, state in enumerate(states) if state.can_help]
        is_short = (
            figures.prefill_ms(request.prompt_tokens, request.prompt_tokens)
            < SHORT_PREFILL_MS
        )
        self.fixed = [
            extra
            + state.penalty
            + ORDER_COST * (state.order if is_short else 1.0 - state.order)
            for state, extra in zip(states, noise, strict=True)
        ]
        host_costs = pause_loss_costs(request, states)
        self.host_costs = [
            pause_cost
            + race_cost(state, races)
            + (0.0 if state.view.permitted else UNPERMITTED_COST)
            for state, pause_cost in zip(states, host_costs, strict=True)
        ]

    def request_loss(self, done_ms: float) -> float:
        """Return the request's own loss for a given time to its first token."""
        delay = DELAY_COST_PER_MS * done_ms * self.value
        if done_ms <= self.safe_first_token_ms:
            return delay
        late = expected_late_loss(done_ms, self.objective_ms, self.slack_ms, self.value)
        return late + delay

    def prefill_ms(self, size: int) -> float:
        """Return the prefill time of one of `size` even parts."""
        prompt = self.request.prompt_tokens
        return self.figures.prefill_ms(-(-prompt // size), prompt)

    def costs_by_engine(self, prefill_ms: float) -> EngineCosts:
        """Return the costs on each engine of a part with a given prefill time."""
        request_loss = self.request_loss
        done_ms = [
            state.prefill_start_ms + prefill_ms * state.slowdown
            for state in self.states
        ]
        costs = [
            fixed
            if state.busy_ms + prefill_ms * state.slowdown <= state.safe_ms
            else fixed + interference_cost(state, prefill_ms)
            for state, fixed in zip(self.states, self.fixed, strict=True)
        ]
        pairs = zip(costs, done_ms, strict=True)
        ranks = [cost + request_loss(done) for cost, done in pairs]
        return EngineCosts(done_ms, costs, ranks)

    def plan(self, size: int) -> Plan | None:
        """Return a plan for a given number of engines, or None.

        Only the engines that cost least are tried: None if there are too few helpers,
        or if the prompt doesn't fit into the memory of these engines.
        """
        if len(self.helpers) < size - 1:
            return None
        costs_by_engine = self.costs_by_engine(self.prefill_ms(size))
        ranks, host_costs = costs_by_engine.ranks, self.host_costs
        host = min(self.hosts, key=lambda index: ranks[index] + host_costs[index])
        others = [index for index in self.helpers if index != host]
        helpers = sorted(others, key=ranks.__getitem__)[: size - 1]
        if len(helpers) < size - 1 or not self.fits([host, *helpers]):
            return None
        done_ms = max(costs_by_engine.done_ms[index] for index in (host, *helpers))
        cost = (
            self.request_loss(done_ms) + host_costs[host] + costs_by_engine.costs[host]
        )
        cost += sum(costs_by_engine.costs[index] + HELPER_COST for index in helpers)
        gang = tuple(self.states[index] for index in helpers)
        return Plan(self.states[host], gang, done_ms, cost)

    def fits(self, gang: Sequence[int]) -> bool:
        """Return whether a prompt larger than one engine's memory fits into a gang."""
        if not self.is_split:
            return True
        free = (free_tokens(self.states[index], self.figures) for index in gang)
        return sum(max(0, each) for each in free) >= total_tokens(self.request)

    def sizes(self) -> list[int]:
        """Return the gang sizes that may have enough memory together."""
        max_size = MAX_GANG_WITH_RESERVATIONS if self.is_split else GANG_SIZES[-1]
        sizes = sorted({min(size, len(self.states), max_size) for size in GANG_SIZES})
        if not self.is_split:
            return sizes
        free = [max(0, free_tokens(each, self.figures)) for each in self.states]
        free.sort(reverse=True)
        return [
            each for each in sizes if sum(free[:each]) >= total_tokens(self.request)
        ]

    def cheapest(self) -> Plan | None:
        """Return the cheapest of the plans of all sizes; None if no size has one."""
        bounds = CostBounds(self)
        lower_bounds = {size: bounds.least_cost(size) for size in self.sizes()}
        best: Plan | None = None
        # Sizes in the order of their bounds, as most need not be evaluated then.
        for size in sorted(lower_bounds, key=lower_bounds.__getitem__):
            if best is not None and lower_bounds[size] > best.cost + ROUNDING:
                break
            plan = self.plan(size)
            if plan is not None and (best is None or plan.is_cheaper_than(best)):
                best = plan
        return best


class CostBounds:
    """Lower bounds of the costs of plans, without evaluating each engine.

    They assume that the cheapest engines are also the first to be free, and that a part
    delays no other request.

    Parameters
    ----------
    search : PlanSearch
    """

    def __init__(self, search: PlanSearch) -> None:
        self.search = search
        self.prefill_starts_ms = sorted(
            state.prefill_start_ms for state in search.states
        )
        self.costs = sorted(search.fixed)
        self.host_cost = min(
            search.fixed[index] + search.host_costs[index] for index in search.hosts
        )

    def least_cost(self, size: int) -> float:
        """Return a lower bound of the cost of a plan for a given number of engines."""
        done_ms = self.prefill_starts_ms[size - 1] + self.search.prefill_ms(size)
        helpers = sum(self.costs[: size - 1]) + HELPER_COST * (size - 1)
        return self.search.request_loss(done_ms) + self.host_cost + helpers


def best_plan(
    request: PlacementRequest,
    states: Sequence[EngineState],
    figures: EngineFigures,
    random: Random,
    races: tuple[float, ...] = (),
    spread: float = NOISE_COST,
) -> Plan | None:
    """Return the cheapest plan found, or None if there is none.

    Parameters
    ----------
    spread : float
        Maximum random cost of an engine.
    """
    # Draws the same random numbers whether there is a host or not.
    noise = [random.random() * spread for _ in states]
    hosts = hosts_of(request, states, figures)
    if not hosts:
        return None
    return PlanSearch(request, states, figures, noise, hosts, races).cheapest()


def hosts_of(
    request: PlacementRequest, states: Sequence[EngineState], figures: EngineFigures
) -> list[int]:
    """Return the engines that have a slot and memory for a request."""
    free_limit = usable_tokens(figures)
    is_split = needs_reservations(request, figures)
    if not is_split:
        free_limit -= total_tokens(request)
    return [
        index
        for index, state in enumerate(states)
        if can_host(request, state)
        and not (is_split and state.view.rate_limited)
        and state.summary.base_load.committed_tokens <= free_limit
    ]


def can_host(request: PlacementRequest, state: EngineState) -> bool:
    """Return whether an engine has a free slot and is below the load ceiling."""
    return state.has_slot and (
        request.running_ceiling is None or state.running < request.running_ceiling
    )


def pause_loss_costs(
    request: PlacementRequest, states: Sequence[EngineState]
) -> list[float]:
    """Return the cost of shortening the longest pause of each engine's requests."""
    if request.longest_pause is None:
        return [0.0] * len(states)
    own = request.longest_pause.total_seconds() * 1e3
    shortest = (state.summary.shortest_pause_ms for state in states)
    tolerated = (IDLE_ENGINE_PAUSE_MS if pause == inf else pause for pause in shortest)
    return [PAUSE_LOSS_COST_PER_S * max(0.0, pause - own) / 1e3 for pause in tolerated]

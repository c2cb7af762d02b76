"""Plain implementation of the plan search, which `placement.policy` must agree with.

It sums each load anew, tries all gang sizes and evaluates each engine with each part
size. It is slow, and defines what the fast search must decide.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import inf
from random import Random
from zlib import crc32

from mimosafork.ids import EndpointId
from mimosafork.placement.choice import EngineView, PlacementRequest
from mimosafork.placement.forecast import (
    COLD_SLOWDOWN,
    FIRST_EVENT_SLACK,
    LATE_LOSS,
    PAUSE_SLACK_MS,
    TOKENS_PER_REQUEST_VALUE,
)
from mimosafork.placement.load_tracker import (
    EngineLoad,
    InFlightRequest,
    LoadTracker,
    PauseLimit,
)
from mimosafork.placement.memory import USABLE_MEMORY_SHARE
from mimosafork.placement.plain import preferred
from mimosafork.placement.plan import (
    DELAY_COST_PER_MS,
    GANG_SIZES,
    HELPER_COST,
    IDLE_ENGINE_PAUSE_MS,
    MAX_GANG_WITH_RESERVATIONS,
    NOISE_COST,
    ORDER_COST,
    PAUSE_LOSS_COST_PER_S,
    SHORT_PREFILL_MS,
)
from mimosafork.placement.policy import SUSPECT_COST
from mimosafork.routing.engine import EngineFigures


@dataclass(frozen=True)
class PlainState:
    """One engine as a placement sees it."""

    view: EngineView
    load: EngineLoad
    slowdown: float
    pass_ms: float
    order: float
    penalty: float


@dataclass(frozen=True)
class PlainCandidate:
    """One engine with a part to prefill."""

    state: PlainState
    done_ms: float
    cost: float
    rank: float


@dataclass(frozen=True)
class PlainPlan:
    """A host, its helpers and their cost."""

    host: EndpointId
    helpers: tuple[EndpointId, ...]
    done_ms: float
    cost: float


def plain_load(
    endpoint: EndpointId, requests: Iterable[InFlightRequest], now: timedelta
) -> EngineLoad:
    """Summarize the requests on one engine."""
    running = decoding = helping = committed_tokens = context_tokens = 0
    pause_limits: list[PauseLimit] = []
    prefills: list[tuple[float, float]] = []
    for in_flight in requests:
        committed_tokens += plain_held_tokens(in_flight, endpoint)
        is_prefilling = in_flight.first_token_at is None
        if in_flight.host == endpoint:
            running += 1
            decoding += not is_prefilling
            context_tokens += 0 if is_prefilling else in_flight.prompt_tokens
            if in_flight.longest_pause is not None:
                pause_ms = in_flight.longest_pause.total_seconds() * 1e3
                pause_limits.append(PauseLimit(pause_ms, in_flight.prompt_tokens))
        if is_prefilling:
            helping += in_flight.host != endpoint
            own_prefill_ms = [
                part.prefill_ms for part in in_flight.parts if part.endpoint == endpoint
            ]
            prefills.append(
                (in_flight.started_at.total_seconds() * 1e3, sum(own_prefill_ms))
            )
    left_ms = plain_backlog_ms(prefills, now.total_seconds() * 1e3)
    return EngineLoad(
        running,
        decoding,
        helping,
        left_ms,
        committed_tokens,
        context_tokens,
        tuple(pause_limits),
    )


def plain_held_tokens(in_flight: InFlightRequest, endpoint: EndpointId) -> int:
    """Return the tokens of a request that an engine holds."""
    if not in_flight.held:
        return (
            in_flight.prompt_tokens + in_flight.answer_tokens
            if in_flight.host == endpoint
            else 0
        )
    return sum(held.tokens for held in in_flight.held if held.endpoint == endpoint)


def plain_backlog_ms(prefills: list[tuple[float, float]], now_ms: float) -> float:
    """Return the milliseconds left of prefills that run one after the other."""
    free_at = -inf
    for start_ms, length_ms in sorted(prefills):
        free_at = max(free_at, start_ms) + length_ms
    return max(0.0, free_at - now_ms)


def plain_states(
    usable: Sequence[EngineView],
    tracker: LoadTracker,
    figures: EngineFigures,
    now: timedelta,
) -> list[PlainState]:
    """Return the engines in the order that all instances share."""
    ordered = sorted(usable, key=lambda view: crc32(view.endpoint.encode()))
    states = []
    for index, view in enumerate(ordered):
        requests = tracker.by_engine.get(view.endpoint, {})
        load = plain_load(view.endpoint, requests.values(), now)
        slowdown = max(1.0, view.slowdown) * (COLD_SLOWDOWN if view.cold else 1.0)
        step = figures.step_ms
        if load.running:
            step += figures.per_sequence_ms * load.running
            step += figures.context_ms_per_k * load.context_tokens / 1e3
            step *= max(1, figures.stride)
        order = index / len(ordered)
        penalty = SUSPECT_COST if view.suspect else 0.0
        states.append(PlainState(view, load, slowdown, step * slowdown, order, penalty))
    return states


def plain_value(prompt_tokens: int) -> float:
    """Return the value of an answer that is on time."""
    return 1.0 + prompt_tokens / TOKENS_PER_REQUEST_VALUE


def plain_miss_probability(value_ms: float, limit_ms: float, slack_ms: float) -> float:
    """Return the probability that a limit is exceeded."""
    if slack_ms <= 0.0:
        return 1.0 if value_ms > limit_ms else 0.0
    return min(1.0, max(0.0, (value_ms - limit_ms + slack_ms) / slack_ms))


def plain_interference_cost(state: PlainState, prefill_ms: float) -> float:
    """Return the added expected loss of the engine's own requests from a part."""
    before = state.pass_ms + state.load.prefill_backlog_ms
    after = before + prefill_ms * state.slowdown
    losses = []
    for limit in state.load.pause_limits:
        more = plain_miss_probability(after, limit.pause_ms, PAUSE_SLACK_MS)
        more -= plain_miss_probability(before, limit.pause_ms, PAUSE_SLACK_MS)
        losses.append(more * LATE_LOSS * plain_value(limit.prompt_tokens))
    return sum(losses)


def plain_pause_cost(request: PlacementRequest, state: PlainState) -> float:
    """Return the cost of shortening the longest pause of an engine's requests."""
    if request.longest_pause is None:
        return 0.0
    own = request.longest_pause.total_seconds() * 1e3
    tolerated = min(
        (limit.pause_ms for limit in state.load.pause_limits),
        default=IDLE_ENGINE_PAUSE_MS,
    )
    return PAUSE_LOSS_COST_PER_S * max(0.0, tolerated - own) / 1e3


@dataclass(frozen=True)
class PlainSearch:
    """One request and the engines that it may use."""

    request: PlacementRequest
    states: Sequence[PlainState]
    figures: EngineFigures
    noise: Sequence[float]

    @property
    def total(self) -> int:
        """Tokens that the request holds at its end."""
        return self.request.prompt_tokens + self.request.answer_tokens

    @property
    def is_split(self) -> bool:
        """Whether it is larger than one engine's memory."""
        return self.total > int(self.figures.memory_tokens * USABLE_MEMORY_SHARE)

    def free(self, state: PlainState) -> int:
        """Return the tokens of an engine's memory that aren't committed."""
        given_out = int(self.figures.memory_tokens * USABLE_MEMORY_SHARE)
        return given_out - state.load.committed_tokens

    def own_loss(self, done_ms: float) -> float:
        """Return the request's own loss for a given time to its first token."""
        objective_ms = self.request.objective.total_seconds() * 1e3
        value = plain_value(self.request.prompt_tokens)
        slack_ms = FIRST_EVENT_SLACK * max(0.0, objective_ms)
        late = (
            plain_miss_probability(done_ms, objective_ms, slack_ms) * LATE_LOSS * value
        )
        return late + DELAY_COST_PER_MS * done_ms * value

    def candidates(self, size: int) -> list[PlainCandidate]:
        """Return each engine with one of `size` even parts."""
        prompt = self.request.prompt_tokens
        prefill_ms = self.figures.prefill_ms(-(-prompt // size), prompt)
        is_short = self.figures.prefill_ms(prompt, prompt) < SHORT_PREFILL_MS
        candidates = []
        for state, extra in zip(self.states, self.noise, strict=True):
            done_ms = 1.5 * state.pass_ms + state.load.prefill_backlog_ms
            done_ms += prefill_ms * state.slowdown
            cost = plain_interference_cost(state, prefill_ms) + extra + state.penalty
            cost += ORDER_COST * (state.order if is_short else 1.0 - state.order)
            rank = cost + self.own_loss(done_ms)
            candidates.append(PlainCandidate(state, done_ms, cost, rank))
        return candidates

    def host(self, candidates: Sequence[PlainCandidate]) -> PlainCandidate | None:
        """Return the cheapest engine with a free slot and memory, or None."""
        needed = 0 if self.is_split else self.total
        fitting = [
            candidate
            for candidate in candidates
            if candidate.state.load.running < candidate.state.view.slots
            and self.free(candidate.state) >= needed
        ]

        def price(candidate: PlainCandidate) -> float:
            return candidate.rank + plain_pause_cost(self.request, candidate.state)

        return min(fitting, key=price, default=None)

    def plan(self, size: int) -> PlainPlan | None:
        """Return the cheapest plan for a given number of engines, or None."""
        candidates = self.candidates(size)
        host = self.host(candidates)
        if host is None:
            return None
        helper_candidates = [
            candidate
            for candidate in candidates
            if candidate is not host
            and candidate.state.load.helping < candidate.state.view.slots
        ]
        helpers = sorted(helper_candidates, key=lambda candidate: candidate.rank)[
            : size - 1
        ]
        gang = [host, *helpers]
        if len(gang) < size or not self.fits(gang):
            return None
        done_ms = max(candidate.done_ms for candidate in gang)
        cost = self.own_loss(done_ms) + plain_pause_cost(self.request, host.state)
        cost += sum(candidate.cost for candidate in gang) + HELPER_COST * len(helpers)
        names = tuple(candidate.state.view.endpoint for candidate in helpers)
        return PlainPlan(host.state.view.endpoint, names, done_ms, cost)

    def fits(self, gang: Sequence[PlainCandidate]) -> bool:
        """Return whether a prompt larger than one engine's memory fits into a gang."""
        free = sum(max(0, self.free(candidate.state)) for candidate in gang)
        return not self.is_split or free >= self.total


def plain_plan(
    request: PlacementRequest,
    engines: Sequence[EngineView],
    tracker: LoadTracker,
    figures: EngineFigures,
    now: timedelta,
    random: Random,
) -> PlainPlan | None:
    """Return the cheapest plan, or None if no engine has room."""
    states = plain_states(preferred(request, engines), tracker, figures, now)
    noise = [random.random() * NOISE_COST for _ in states]
    search = PlainSearch(request, states, figures, noise)
    max_size = MAX_GANG_WITH_RESERVATIONS if search.is_split else GANG_SIZES[-1]
    sizes = sorted({min(size, len(states), max_size) for size in GANG_SIZES})
    plans = [plan for size in sizes if (plan := search.plan(size)) is not None]
    return min(plans, key=lambda plan: plan.cost, default=None)

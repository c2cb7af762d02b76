"""The search for a place written out plainly, as what `placement.policy` is held to.

Every load is summed anew, every number of engines is tried, and each engine is weighed
with each size of part. It is slow, and says what the quick search must decide.
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
    pace: float
    pass_ms: float
    order: float
    penalty: float


@dataclass(frozen=True)
class PlainSeat:
    """One engine with the part that it would read."""

    state: PlainState
    done_ms: float
    cost: float
    rank: float


@dataclass(frozen=True)
class PlainPlan:
    """A host and its helpers, and what that costs."""

    host: EndpointId
    helpers: tuple[EndpointId, ...]
    done_ms: float
    cost: float


def plain_load(
    endpoint: EndpointId, works: Iterable[InFlightRequest], now: timedelta
) -> EngineLoad:
    """Sum up the works on one engine."""
    running = writers = helping = promised = context = 0
    paces: list[PauseLimit] = []
    reads: list[tuple[float, float]] = []
    for work in works:
        promised += plainly_held(work, endpoint)
        reading = work.first_token_at is None
        if work.host == endpoint:
            running += 1
            writers += not reading
            context += 0 if reading else work.prompt_tokens
            if work.longest_pause is not None:
                pause_ms = work.longest_pause.total_seconds() * 1e3
                paces.append(PauseLimit(pause_ms, work.prompt_tokens))
        if reading:
            helping += work.host != endpoint
            mine = [part.prefill_ms for part in work.parts if part.endpoint == endpoint]
            reads.append((work.started_at.total_seconds() * 1e3, sum(mine)))
    left_ms = plainly_left(reads, now.total_seconds() * 1e3)
    return EngineLoad(
        running, writers, helping, left_ms, promised, context, tuple(paces)
    )


def plainly_held(work: InFlightRequest, endpoint: EndpointId) -> int:
    """Return the tokens of a work that an engine holds."""
    if not work.held:
        return work.prompt_tokens + work.answer_tokens if work.host == endpoint else 0
    return sum(held.tokens for held in work.held if held.endpoint == endpoint)


def plainly_left(reads: list[tuple[float, float]], now_ms: float) -> float:
    """Return the milliseconds left of reads that are done one after the other."""
    free_at = -inf
    for start_ms, length_ms in sorted(reads):
        free_at = max(free_at, start_ms) + length_ms
    return max(0.0, free_at - now_ms)


def plain_states(
    usable: Sequence[EngineView],
    book: LoadTracker,
    figures: EngineFigures,
    now: timedelta,
) -> list[PlainState]:
    """Return the engines in the order that all instances share."""
    ordered = sorted(usable, key=lambda view: crc32(view.endpoint.encode()))
    states = []
    for index, view in enumerate(ordered):
        works = book.by_engine.get(view.endpoint, {})
        load = plain_load(view.endpoint, works.values(), now)
        pace = max(1.0, view.slowdown) * (COLD_SLOWDOWN if view.cold else 1.0)
        step = figures.step_ms
        if load.running:
            step += figures.per_sequence_ms * load.running
            step += figures.context_ms_per_k * load.context_tokens / 1e3
            step *= max(1, figures.stride)
        order = index / len(ordered)
        penalty = SUSPECT_COST if view.suspect else 0.0
        states.append(PlainState(view, load, pace, step * pace, order, penalty))
    return states


def plain_worth(prompt_tokens: int) -> float:
    """Return what an answer that is on time is worth."""
    return 1.0 + prompt_tokens / TOKENS_PER_REQUEST_VALUE


def plain_risk(value_ms: float, limit_ms: float, slack_ms: float) -> float:
    """Return the chance that a limit is broken."""
    if slack_ms <= 0.0:
        return 1.0 if value_ms > limit_ms else 0.0
    return min(1.0, max(0.0, (value_ms - limit_ms + slack_ms) / slack_ms))


def plain_harm(state: PlainState, read_ms: float) -> float:
    """Return what a part costs the engine's own requests."""
    before = state.pass_ms + state.load.prefill_backlog_ms
    after = before + read_ms * state.pace
    losses = []
    for pace in state.load.pause_limits:
        more = plain_risk(after, pace.pause_ms, PAUSE_SLACK_MS)
        more -= plain_risk(before, pace.pause_ms, PAUSE_SLACK_MS)
        losses.append(more * LATE_LOSS * plain_worth(pace.prompt_tokens))
    return sum(losses)


def plain_opening(ask: PlacementRequest, state: PlainState) -> float:
    """Return the cost of shortening the pause that an engine's requests bear."""
    if ask.longest_pause is None:
        return 0.0
    own = ask.longest_pause.total_seconds() * 1e3
    borne = min(
        (pace.pause_ms for pace in state.load.pause_limits),
        default=IDLE_ENGINE_PAUSE_MS,
    )
    return PAUSE_LOSS_COST_PER_S * max(0.0, borne - own) / 1e3


@dataclass(frozen=True)
class PlainSearch:
    """One request and the engines that it may use."""

    ask: PlacementRequest
    states: Sequence[PlainState]
    figures: EngineFigures
    noise: Sequence[float]

    @property
    def total(self) -> int:
        """Tokens that the request holds at its end."""
        return self.ask.prompt_tokens + self.ask.answer_tokens

    @property
    def split(self) -> bool:
        """Whether it is larger than one engine's memory."""
        return self.total > int(self.figures.memory_tokens * USABLE_MEMORY_SHARE)

    def free(self, state: PlainState) -> int:
        """Return the tokens of an engine's memory that are promised to nobody."""
        given_out = int(self.figures.memory_tokens * USABLE_MEMORY_SHARE)
        return given_out - state.load.committed_tokens

    def own_loss(self, done_ms: float) -> float:
        """Return what the request loses by a time until its first token."""
        objective_ms = self.ask.objective.total_seconds() * 1e3
        worth = plain_worth(self.ask.prompt_tokens)
        slack_ms = FIRST_EVENT_SLACK * max(0.0, objective_ms)
        late = plain_risk(done_ms, objective_ms, slack_ms) * LATE_LOSS * worth
        return late + DELAY_COST_PER_MS * done_ms * worth

    def seats(self, size: int) -> list[PlainSeat]:
        """Return each engine with one of `size` even parts."""
        prompt = self.ask.prompt_tokens
        read_ms = self.figures.prefill_ms(-(-prompt // size), prompt)
        small = self.figures.prefill_ms(prompt, prompt) < SHORT_PREFILL_MS
        seats = []
        for state, extra in zip(self.states, self.noise, strict=True):
            done_ms = 1.5 * state.pass_ms + state.load.prefill_backlog_ms
            done_ms += read_ms * state.pace
            cost = plain_harm(state, read_ms) + extra + state.penalty
            cost += ORDER_COST * (state.order if small else 1.0 - state.order)
            rank = cost + self.own_loss(done_ms)
            seats.append(PlainSeat(state, done_ms, cost, rank))
        return seats

    def host(self, seats: Sequence[PlainSeat]) -> PlainSeat | None:
        """Return the cheapest engine with a free slot and memory, or None."""
        needed = 0 if self.split else self.total
        fitting = [
            seat
            for seat in seats
            if seat.state.load.running < seat.state.view.slots
            and self.free(seat.state) >= needed
        ]

        def price(seat: PlainSeat) -> float:
            return seat.rank + plain_opening(self.ask, seat.state)

        return min(fitting, key=price, default=None)

    def plan(self, size: int) -> PlainPlan | None:
        """Return the cheapest plan with some number of engines, or None."""
        seats = self.seats(size)
        host = self.host(seats)
        if host is None:
            return None
        able = [
            seat
            for seat in seats
            if seat is not host and seat.state.load.helping < seat.state.view.slots
        ]
        helpers = sorted(able, key=lambda seat: seat.rank)[: size - 1]
        gang = [host, *helpers]
        if len(gang) < size or not self.fits(gang):
            return None
        done_ms = max(seat.done_ms for seat in gang)
        cost = self.own_loss(done_ms) + plain_opening(self.ask, host.state)
        cost += sum(seat.cost for seat in gang) + HELPER_COST * len(helpers)
        names = tuple(seat.state.view.endpoint for seat in helpers)
        return PlainPlan(host.state.view.endpoint, names, done_ms, cost)

    def fits(self, gang: Sequence[PlainSeat]) -> bool:
        """Return whether a prompt larger than one engine's memory fits into all."""
        free = sum(max(0, self.free(seat.state)) for seat in gang)
        return not self.split or free >= self.total


def plain_plan(
    ask: PlacementRequest,
    engines: Sequence[EngineView],
    book: LoadTracker,
    figures: EngineFigures,
    now: timedelta,
    random: Random,
) -> PlainPlan | None:
    """Return the plan that costs least, or None if no engine has room."""
    states = plain_states(preferred(ask, engines), book, figures, now)
    noise = [random.random() * NOISE_COST for _ in states]
    search = PlainSearch(ask, states, figures, noise)
    most = MAX_GANG_WITH_RESERVATIONS if search.split else GANG_SIZES[-1]
    sizes = sorted({min(size, len(states), most) for size in GANG_SIZES})
    plans = [plan for size in sizes if (plan := search.plan(size)) is not None]
    return min(plans, key=lambda plan: plan.cost, default=None)

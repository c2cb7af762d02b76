"""Queue discipline that shares scarce capacity among client accounts.

Waiting calls go in this order: those of accounts within their fair share of the recent
work, the more urgent priority, those that can still be on time, the earliest objective.
Some turns are those of calls that have waited for long; first of accounts and kinds
that are placed far less often than others.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import timedelta
from functools import singledispatchmethod
from math import inf
from random import Random

import msgspec
from msgspec.structs import replace

from ...ids import AccountId, EndpointId, RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.core import TICK
from ...kernel.messages.attempts import AttemptFailed, Exposure
from ...kernel.messages.base import Message
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.problems import Problem
from ...kernel.plugins import (
    PlacementFailed,
    PluginFinder,
    RequestConcluded,
    Surplus,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...placement.choice import EngineView, Shortage
from .account_usage import ServiceUsage
from .call_work import CallWork, predict, priority_of
from .capacity_waits import CapacityWaits
from .fleet_view import FleetView
from .lane_drain import MAX_GAP, SECOND, LaneDrain
from .ordering import SUSPECTED, UrgentFirst
from .placement_requests import RETRY_AFTER, overloaded_problem
from .rate_limit_waits import MIN_RETRY_AFTER
from .served_shares import CallKind, ServedShares
from .share_log import ShareLog

OVERDUE_TURN = 3
"""Each of so many placements goes to the first overdue call. With a quarter, accounts
and kinds that are otherwise never placed would be served just a quarter as often as
all calls; if all overdue calls went first, an account that floods would take all."""

YIELD_TIME = TICK + timedelta(milliseconds=30)
"""Time until other instances know that a place is free, and have tried to use it."""

RETRY_SPREAD = 0.5
"""Retry delays are lengthened by a random part of up to this share."""

MAX_SERVICES = 64
"""Services whose usage is kept; a further one replaces the least recently used."""


LaneCalls = list[tuple[RequestRecord, CallWork]]
"""Waiting calls of a lane, in order."""


class ChargedWork(msgspec.Struct, frozen=True):
    """Work of a placed attempt, which is taken back if the attempt has not run."""

    service: ServiceId
    account: AccountId
    work: float


class ServiceQueue(msgspec.Struct):
    """Waiting calls of a service, as last looked at.

    Attributes
    ----------
    placed : int
        Placements since the latest one of an overdue call.
    served : ServedShares
    levels : dict of AccountId to int
        How far each waiting account is beyond its fair share.
    arranged_at : timedelta
        When the levels were calculated: each tick while several calls wait.
    released : dict of EndpointId to timedelta
        When a call of this instance last ended at each endpoint.
    lanes : dict of str to LaneDrain
    """

    usage: ServiceUsage
    placed: int = 0
    served: ServedShares = msgspec.field(default_factory=ServedShares)
    levels: dict[AccountId, int] = msgspec.field(default_factory=dict)
    arranged_at: timedelta = timedelta(0)
    released: dict[EndpointId, timedelta] = msgspec.field(default_factory=dict)
    lanes: defaultdict[str, LaneDrain] = msgspec.field(
        default_factory=lambda: defaultdict(LaneDrain)
    )


@register("account-shares")
class AccountShares(UrgentFirst):
    """Ranks waiting calls by fair share, then priority, then objective.

    Nothing changes while at most one call waits, or calls of one account and priority.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet: FleetView | None = None
        self.queues: dict[ServiceId, ServiceQueue] = {}
        self.predictions: dict[RequestId, CallWork] = {}
        self.charged: dict[tuple[RequestId, int], ChargedWork] = {}
        """Work of the attempts of open calls, by number."""
        self.log = ShareLog()
        self.waits = CapacityWaits()
        """Of the placer, which sets it."""

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        super().resolve_dependencies(find)
        self.fleet = find(FleetView)

    def arrange(
        self, ranked: list[RequestRecord], now: timedelta
    ) -> list[RequestRecord]:
        """Return the calls in order; some turns are those of overdue calls."""
        service = ServiceId(ranked[0].request.target)
        queue = self._queue(service, now)
        now_s = now.total_seconds()
        calls = {record.request_id: self.prediction(record) for record in ranked}
        for call in calls.values():
            call.note_waiting(now_s)
        accounts = {record.request.account for record in ranked}
        queue.arranged_at = now
        queue.levels = levels = queue.usage.levels(accounts, now)
        self.log.ranked(service, levels, now)
        usual = sorted(
            ranked,
            key=lambda record: (
                levels[record.request.account],
                priority_of(record),
                now_s > calls[record.request_id].on_time_start_s,
            ),
        )
        overdue = [
            record
            for record in ranked
            if now_s >= calls[record.request_id].overdue_at_s
        ]
        if not overdue:
            return usual
        overdue.sort(
            key=lambda record: (
                queue.served.starvation(record.request.account, self._kind_of(record)),
                priority_of(record),
            )
        )
        return with_turns(usual, overdue, queue.placed)

    def surplus(
        self, waiting: list[RequestRecord], now: timedelta
    ) -> Sequence[Surplus]:
        """Return the calls that those before them in their lane leave no time.

        A call that was tried before is not refused: engines may have worked for it.
        Neither are the calls of a lane in which some wait for their turn or a known
        instant: these don't wait for those before them.
        """
        if not waiting:
            return ()
        queue = self._queue(ServiceId(waiting[0].request.target), now)
        lanes: defaultdict[str, LaneCalls] = defaultdict(list)
        for record in waiting:
            call = self.prediction(record)
            call.note_waiting(now.total_seconds())
            lanes[self.lane(record)].append((record, call))
        scheduled = self.waits.scheduled
        found: list[Surplus] = []
        for name, calls in lanes.items():
            drain = queue.lanes[name]
            drain.observe(sum(call.work for _, call in calls), len(calls), now)
            if name == SUSPECTED:
                continue
            if not scheduled or not any(r.request_id in scheduled for r, _ in calls):
                found += surplus_of_lane(calls, drain, queue.levels, now)
        return found

    def final_problem(self, problem: Problem, random: Random) -> Problem:
        """Lengthen the retry delay at random: callers must not return all at once."""
        if problem.retry_after is None:
            return problem
        factor = 1.0 + RETRY_SPREAD * random.random()
        return replace(problem, retry_after=problem.retry_after * factor)

    def without_released(
        self, record: RequestRecord, engines: Sequence[EngineView], now: timedelta
    ) -> Sequence[EngineView]:
        """Return the engines that a call may be placed on now.

        An instance sees at once that a place of its own call is free, and others some
        time later. So calls of an account beyond its share leave it to them for as
        long.
        """
        queue = self.queues.get(ServiceId(record.request.target))
        if queue is None or not queue.levels.get(record.request.account):
            return engines
        if now - queue.arranged_at > MAX_GAP:
            return engines
        since = now - YIELD_TIME
        return [
            view
            for view in engines
            if queue.released.get(view.endpoint, since) <= since
        ]

    def latest_wait(
        self, record: RequestRecord, since: timedelta, reason: Shortage
    ) -> timedelta:
        """Return until when a call that is tried again and again may wait.

        A call of a rare kind is tried from its arrival on, others only once those
        before them have gone. With a limit since the first try, rare kinds would be
        refused first.
        """
        call = self.prediction(record)
        latest_s = since.total_seconds() + call.longest_wait_s
        if reason in (Shortage.SLOTS, Shortage.MEMORY):
            latest_s = max(latest_s, call.latest_start_s)
        return latest_s * SECOND

    def retry_after(self, record: RequestRecord) -> timedelta:
        """Return when the calls that wait now in the lane of a call have gone."""
        queue = self.queues.get(ServiceId(record.request.target))
        drain = None if queue is None else queue.lanes.get(self.lane(record))
        if drain is None:
            return RETRY_AFTER
        wait_s = drain.wait_s(drain.queued, drain.calls, 0.0)
        return max(RETRY_AFTER, retry_delay(wait_s, record))

    def placed(self, record: RequestRecord, now: timedelta) -> None:
        """Charge the work of a call that was placed to its account."""
        request = record.request
        service, call = ServiceId(request.target), self.prediction(record)
        queue = self._queue(service, now)
        queue.usage.add(request.account, call.work, now)
        attempt = (record.request_id, len(record.attempts) + 1)
        self.charged[attempt] = ChargedWork(service, request.account, call.work)
        queue.lanes[self.lane(record)].place(call.work, now)
        overdue = now.total_seconds() >= call.overdue_at_s
        queue.placed = 0 if overdue else queue.placed + 1
        call.overdue_at_s = inf
        if not record.attempts:
            queue.served.count(request.account, self._kind_of(record), placed=True)

    def _kind_of(self, record: RequestRecord) -> CallKind:
        return CallKind(priority_of(record), self.lane(record))

    def prediction(self, record: RequestRecord) -> CallWork:
        """Return what is predicted of a call."""
        known = self.predictions.get(record.request_id)
        if known is None:
            service = ServiceId(record.request.target)
            figures = None if self.fleet is None else self.fleet.figures_of(service)
            known = self.predictions[record.request_id] = predict(record, figures)
        return known

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Take back the work of attempts that have not run, and forget ended calls."""

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        if message.exposure is not Exposure.POSSIBLE:
            self._take_back((message.request_id, message.attempt), context.now)

    @handle.register
    def _(self, message: PlacementFailed, context: Context) -> None:
        record = context.state.requests.get(RequestId(message.request_id))
        if record is not None:
            pending = len(record.attempts) + 1
            self._take_back((record.request_id, pending), context.now)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        record = message.record
        request_id = record.request_id
        for number in range(1, len(record.attempts) + 2):
            if message.conclusion.outcome is Outcome.NOT_RUN:
                self._take_back((request_id, number), context.now)
            self.charged.pop((request_id, number), None)
        waited = self.predictions.pop(request_id, None) is not None
        queue = self.queues.get(ServiceId(record.request.target))
        if queue is None:
            return
        if record.current is not None:
            self._note_released(queue, record.current.endpoint, context.now)
        if waited and not record.attempts:
            kind = self._kind_of(record)
            queue.served.count(record.request.account, kind, placed=False)

    def _note_released(
        self, queue: ServiceQueue, endpoint: EndpointId, now: timedelta
    ) -> None:
        queue.released.pop(endpoint, None)
        queue.released[endpoint] = now
        # The oldest come first.
        while queue.released and now - next(iter(queue.released.values())) > YIELD_TIME:
            del queue.released[next(iter(queue.released))]

    def _take_back(self, attempt: tuple[RequestId, int], now: timedelta) -> None:
        charged = self.charged.pop(attempt, None)
        if charged is not None:
            queue = self._queue(charged.service, now)
            queue.usage.add(charged.account, -charged.work, now)

    def _queue(self, service: ServiceId, now: timedelta) -> ServiceQueue:
        queue = self.queues.get(service)
        if queue is None:
            if len(self.queues) >= MAX_SERVICES:
                oldest = min(self.queues, key=lambda s: self.queues[s].usage.used_at)
                del self.queues[oldest]
            queue = self.queues[service] = ServiceQueue(ServiceUsage(now))
        return queue


def surplus_of_lane(
    calls: LaneCalls,
    drain: LaneDrain,
    levels: Mapping[AccountId, int],
    now: timedelta,
) -> list[Surplus]:
    """Return the calls of a lane that those before them leave no time."""
    found = []
    now_s = now.total_seconds()
    ahead, count = 0.0, 0
    for record, call in calls:
        wait_s = drain.wait_s(ahead, count, call.longest_wait_s)
        if wait_s > call.latest_start_s - now_s and not record.attempts:
            level = levels.get(record.request.account, 0)
            detail = (
                f"{Shortage.SHARE.value}: {count} calls, {wait_s:.1f} s; the account "
                f"is {level} steps beyond its share"
            )
            delay = retry_delay(wait_s, record)
            found.append(Surplus(record, overloaded_problem(detail, delay)))
            continue
        ahead += call.work
        count += 1
    return found


def retry_delay(wait_s: float, record: RequestRecord) -> timedelta:
    """Return a retry delay by a predicted wait, at most the time of the call."""
    longest = record.request.deadline - record.submitted_at
    return min(longest, max(MIN_RETRY_AFTER, wait_s * SECOND))


def with_turns(
    usual: list[RequestRecord], overdue: list[RequestRecord], placed: int
) -> list[RequestRecord]:
    """Return calls in their usual order, with overdue ones at each `OVERDUE_TURN`.

    Parameters
    ----------
    placed : int
        Placements since the latest one of an overdue call.
    """
    found: dict[RequestId, RequestRecord] = {}
    rest = iter(usual)
    for first in overdue:
        if first.request_id in found:
            continue
        while placed < OVERDUE_TURN - 1:
            following = next(rest, None)
            if following is None:
                break
            if following.request_id not in found:
                found[following.request_id] = following
                placed += 1
        found.setdefault(first.request_id, first)
        placed = 0
    for record in rest:
        found.setdefault(record.request_id, record)
    return list(found.values())

"""Whether a failed attempt is followed by another."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod

from ...ids import RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from ...kernel.messages.base import Message
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.requests import Repeatability, Request, Submit
from ...kernel.messages.sharing import FleetSpending, SpendingGrown
from ...kernel.plugins import Concluded, GiveUp, RetryDecision, RetryLater, RetryPolicy
from ...kernel.records import RequestRecord
from ...kernel.registry import register

RATIO = 0.2
SLACK = 100.0
WINDOW = timedelta(seconds=10)
SPENT_SHARE = 0.7
"""Share of the slack that is spent at most: instances that all see the last repeats
of a window free at the same moment would together send more than there are."""

UNHEARD_FOR = timedelta(milliseconds=300)
"""Repeats are told to peers together, every 200 ms: until they hear of one, it counts
for its own instance alone."""

SHORTEST_TIME = timedelta(milliseconds=60)
MOST_SENDS = 6
"""Arrivals of one call that no endpoint ran are bounded too."""

PAID_FOR = timedelta(milliseconds=200)
"""A repeat that is sent later than this after it was counted is counted again: it
falls into another window than the one that had room for it."""

AT_ONCE = timedelta(milliseconds=1)
AFTER_REFUSAL = timedelta(milliseconds=20)
COME_BACK = timedelta(milliseconds=500)
FIRST_SERVER_ERROR = 500
BUDGET_USED = "the budget of repeats is used"


@dataclass(slots=True)
class Counters:
    """Requests and repeats of one service in this life.

    Attributes
    ----------
    again : deque of timedelta
        When repeats were counted that had been counted before, in the last window.
    unheard : deque of timedelta
        When the latest repeats were counted, of which peers may not have heard yet.
    """

    requests: int = 0
    repeats: int = 0
    again: deque[timedelta] = field(default_factory=deque)
    unheard: deque[timedelta] = field(default_factory=deque)

    def count_repeat(self, now: timedelta) -> None:
        """Count a repeat."""
        self.repeats += 1
        self.unheard.append(now)

    def unheard_repeats(self, now: timedelta) -> int:
        """Return how many repeats peers may not have heard of."""
        while self.unheard and now - self.unheard[0] >= UNHEARD_FOR:
            self.unheard.popleft()
        return len(self.unheard)


FleetView = Callable[[ServiceId], FleetSpending]


def nothing_known(service: ServiceId) -> FleetSpending:
    """Return what is known of the fleet's spending before anybody says."""
    return FleetSpending(0, 0)


@register("budgeted-retry")
class BudgetedRetry(RetryPolicy):
    """Sends again what may run again, within attempts, time and a shared budget.

    Attributes
    ----------
    ratio, slack : float
        A window's repeats of all instances together are at most the ratio of its
        requests and the slack.
    window : timedelta
        Length of a window.
    spent : callable
        Returns what all instances, this one included, have spent in the window.
    """

    def __init__(self) -> None:
        self.ratio = RATIO
        self.slack = SLACK
        self.window = WINDOW
        self.counters: dict[ServiceId, Counters] = {}
        self.spent: FleetView = nothing_known
        self.paid_at: dict[RequestId, timedelta] = {}

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Count requests."""

    @handle.register
    def _(self, message: Submit, context: Context) -> None:
        service = ServiceId(message.request.target)
        self.counters.setdefault(service, Counters()).requests += 1
        self._tell(service, context)

    @handle.register
    def _(self, message: Concluded, context: Context) -> None:
        self.paid_at.pop(message.record.request_id, None)

    def _tell(self, service: ServiceId, context: Context) -> None:
        counters = self.counters[service]
        context.emit(SpendingGrown(service, counters.requests, counters.repeats))

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Return whether and when to try again."""
        why_not = self.objection(record, failure, context.now)
        if why_not is not None:
            return GiveUp(problem_of(failure, why_not))
        if failure.exposure is not Exposure.NEVER_SENT:
            self._pay(record.request, context)
        refused = failure.exposure is Exposure.REFUSED
        return RetryLater(AFTER_REFUSAL if refused else AT_ONCE)

    def _pay(self, request: Request, context: Context) -> None:
        service = ServiceId(request.target)
        self.counters.setdefault(service, Counters()).count_repeat(context.now)
        self.paid_at[request.request_id] = context.now
        self._tell(service, context)

    def still_paid(self, request: Request, context: Context) -> bool:
        """Return whether a call that is about to be sent is within the budget.

        A repeat may have waited for room, or for an endpoint that can be reached.
        Those that all waited would arrive together with what a later window has room
        for; so the budget is asked again.
        """
        paid_at = self.paid_at.get(request.request_id)
        if paid_at is None or context.now - paid_at <= PAID_FOR:
            return True
        service = ServiceId(request.target)
        is_counted = context.now - paid_at < self.window
        room = self.room(service) + self._counted_twice(service, context.now)
        if room < (0 if is_counted else 1):
            return False
        if is_counted:
            self.counters[service].again.append(context.now)
        self._pay(request, context)
        return True

    def _counted_twice(self, service: ServiceId, now: timedelta) -> int:
        """Return how many repeats of this instance the window holds twice."""
        again = self.counters[service].again
        while again and now - again[0] >= self.window:
            again.popleft()
        return len(again)

    def objection(
        self, record: RequestRecord, failure: AttemptFailed, now: timedelta
    ) -> str | None:
        """Return why there is no further attempt; None if there may be one."""
        terms = record.request.terms
        if failure.exposure is Exposure.POSSIBLE:
            if record.request.repeatability is Repeatability.NON_IDEMPOTENT:
                return "it may have run and may not run again"
            if failure.status is not None and failure.status < FIRST_SERVER_ERROR:
                return "the endpoint's answer is final"
        if record.request.deadline - now < SHORTEST_TIME:
            return "too little time is left"
        ran = sum(a.exposure is Exposure.POSSIBLE for a in record.attempts)
        if terms is not None and ran >= terms.max_attempts:
            return "all attempts are used"
        sent = sum(a.exposure is not Exposure.NEVER_SENT for a in record.attempts)
        if sent >= MOST_SENDS or len(record.attempts) >= 2 * MOST_SENDS:
            return "it was refused too often"
        if not self.affords(ServiceId(record.request.target), failure, now):
            return BUDGET_USED
        return None

    def affords(
        self, service: ServiceId, failure: AttemptFailed, now: timedelta
    ) -> bool:
        """Return whether the budget has room for one more repeat.

        An instance that is cut off sees only a part of the fleet's spending; it takes
        only that part of the allowance, so that the parts together keep the whole.
        """
        if failure.exposure is Exposure.NEVER_SENT:
            return True
        room = self.room(service)
        return room >= 1 and self._is_own_part(service, room, now)

    def _is_own_part(self, service: ServiceId, room: float, now: timedelta) -> bool:
        """Return whether a repeat stays within this instance's part of the room.

        Guard: all instances see the same room until they hear of each other's
        repeats. Were each to take all of it, 64 instances that fail at the same moment
        would send several times what there is. Each takes its part until it is heard,
        and at least one repeat; the part of the slack that is never spent pays these.
        """
        own = self.counters.get(service)
        if own is None:
            return True
        unheard = own.unheard_repeats(now)
        # They are taken off this instance's room already, and not off that of others.
        part = (room + unheard) / max(1, self.spent(service).instances)
        return unheard < max(1.0, part)

    def room(self, service: ServiceId) -> float:
        """Return for how many repeats the budget has room, as far as is known."""
        fleet = self.spent(service)
        slack = self.slack * SPENT_SHARE * fleet.share
        return self.ratio * fleet.requests + slack - fleet.repeats

    def sent(self, service: ServiceId) -> int:
        """Return how many repeats this instance has counted in its life."""
        own = self.counters.get(service)
        return 0 if own is None else own.repeats

    def sharers(self, service: ServiceId) -> int:
        """Return among how many instances the budget's room is divided."""
        return self.spent(service).instances


def problem_of(failure: AttemptFailed, detail: str) -> Problem:
    """Return what the caller is told of."""
    if failure.kind is FailureKind.DEADLINE:
        return Problem(ProblemCode.DEADLINE_PASSED, detail)
    if failure.exposure is Exposure.POSSIBLE:
        return Problem(ProblemCode.ENDPOINT_FAILED, detail)
    return Problem(ProblemCode.NO_ENDPOINT, detail, COME_BACK)

"""Whether a failed attempt is followed by another."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod

from ...ids import ServiceId
from ...kernel.context import Context
from ...kernel.messages.base import Message
from ...kernel.messages.requests import (
    AttemptFailed,
    Exposure,
    FailureKind,
    Problem,
    ProblemCode,
    Repeatability,
    Submit,
)
from ...kernel.plugins import GiveUp, RetryDecision, RetryLater, RetryPolicy
from ...kernel.records import RequestRecord
from ...kernel.registry import register

WINDOW = timedelta(seconds=10)
RATIO = 0.2
SLACK = 20.0
"""Repeats that one instance may send in a window beside its share of requests."""

SHORTEST_TIME = timedelta(milliseconds=60)
MOST_SENDS = 6
"""Arrivals of one call that no endpoint ran are bounded too."""

AT_ONCE = timedelta(milliseconds=1)
AFTER_REFUSAL = timedelta(milliseconds=20)
COME_BACK = timedelta(milliseconds=500)
FIRST_SERVER_ERROR = 500


@dataclass(slots=True)
class Spending:
    """Requests and repeats of one service within the window."""

    requests: deque[timedelta] = field(default_factory=deque)
    repeats: deque[timedelta] = field(default_factory=deque)

    def forget(self, now: timedelta) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.repeats):
            while times and now - times[0] > WINDOW:
                times.popleft()


@register("budgeted-retry")
class BudgetedRetry(RetryPolicy):
    """Sends again what may run again, within attempts, time and a shared budget.

    Attributes
    ----------
    ratio, slack : float
        A window's repeats are at most the ratio of its requests and the slack.
    """

    def __init__(self) -> None:
        self.ratio = RATIO
        self.slack = SLACK
        self.spending: dict[ServiceId, Spending] = {}

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Count requests."""

    @handle.register
    def _(self, message: Submit, context: Context) -> None:
        spending = self.spending_of(ServiceId(message.request.target), context.now)
        spending.requests.append(context.now)

    def spending_of(self, service: ServiceId, now: timedelta) -> Spending:
        """Return what a service's calls have spent in the window."""
        spending = self.spending.setdefault(service, Spending())
        spending.forget(now)
        return spending

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Return whether and when to try again."""
        why_not = self.objection(record, failure, context.now)
        if why_not is not None:
            return GiveUp(problem_of(failure, why_not))
        if failure.exposure is not Exposure.NEVER_SENT:
            service = ServiceId(record.request.target)
            self.spending_of(service, context.now).repeats.append(context.now)
        refused = failure.exposure is Exposure.REFUSED
        return RetryLater(AFTER_REFUSAL if refused else AT_ONCE)

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
            return "the budget of repeats is used"
        return None

    def affords(
        self, service: ServiceId, failure: AttemptFailed, now: timedelta
    ) -> bool:
        """Return whether the budget has room for one more repeat."""
        if failure.exposure is Exposure.NEVER_SENT:
            return True
        spending = self.spending_of(service, now)
        allowed = self.ratio * len(spending.requests) + self.slack
        return len(spending.repeats) + 1 <= allowed


def problem_of(failure: AttemptFailed, detail: str) -> Problem:
    """Return what the caller is told of."""
    if failure.kind is FailureKind.DEADLINE:
        return Problem(ProblemCode.DEADLINE_PASSED, detail)
    if failure.exposure is Exposure.POSSIBLE:
        return Problem(ProblemCode.ENDPOINT_FAILED, detail)
    return Problem(ProblemCode.NO_ENDPOINT, detail, COME_BACK)

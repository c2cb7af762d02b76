"""Retry policy of the gateway, limited by attempts, time and a budget."""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from ...ids import ServiceId
from ...kernel.context import Context
from ...kernel.messages.attempts import (
    AttemptFailed,
    AttemptRestored,
    Exposure,
    FailureKind,
)
from ...kernel.messages.base import Message
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.requests import Repeatability, Request, Submit
from ...kernel.plugins import (
    GiveUp,
    RequestConcluded,
    RetryDecision,
    RetryLater,
    RetryPolicy,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from .retry_budget import RetryLimits, ServiceRetryBudget, SlackShare

RETRY_RATIO = 0.2
RETRY_SLACK = 100.0
RETRY_WINDOW = timedelta(seconds=10)

MIN_TIME_LEFT = timedelta(milliseconds=60)
MAX_SENDS = 6
"""Maximum sends of one call, including those that endpoints rejected unexecuted."""

CHARGE_TTL = timedelta(milliseconds=200)
"""A retry that is not sent within this time after it was counted is counted again, as
it falls into another window than the one whose budget allowed it."""

MIN_RETRY_DELAY = timedelta(milliseconds=1)
REJECTION_RETRY_DELAY = timedelta(milliseconds=20)
RETRY_AFTER = timedelta(milliseconds=500)
FIRST_SERVER_ERROR = 500
RETRY_BUDGET_EXHAUSTED = "the budget of repeats is used"


@register("budgeted-retry")
class BudgetedRetry(RetryPolicy):
    """Retries calls that may run again, limited by attempts, time and a budget.

    In each window, the retries of the whole fleet are limited to a ratio of its
    requests plus a slack. Each instance may use the ratio of its own requests and its
    share of the slack.

    A budget computed from fleet-wide sums is exceeded when peer updates are late or
    lost, instances restart, or instances count different peers: with full engines, 68
    busy instances sent 399 retries where 373 were allowed, and after a restart of all
    instances the slack was used a second time. Fixed shares add up to the fleet's
    budget however late or lost any update is.

    Attributes
    ----------
    ratio, slack : float
        Limits of the fleet's retries per window: a share of its requests, and a
        constant number.
    window : timedelta
        Length of a window.
    slack_share : callable
        Returns this instance's share of the slack.
    """

    def __init__(self) -> None:
        self.ratio = RETRY_RATIO
        self.slack = RETRY_SLACK
        self.window = RETRY_WINDOW
        self.budgets: dict[ServiceId, ServiceRetryBudget] = {}
        self.slack_share: Callable[[], SlackShare] = SlackShare

    def budget(self, service: ServiceId) -> ServiceRetryBudget:
        """Return the retry budget of a service."""
        known = self.budgets.get(service)
        if known is None:
            known = self.budgets[service] = ServiceRetryBudget(self.window)
        known.window = self.window
        return known

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Update the retry budgets."""

    @handle.register
    def _(self, message: Submit, context: Context) -> None:
        # The instance that received the call from its caller has counted it.
        if message.request.forwarded_by is None:
            service = ServiceId(message.request.target)
            self.budget(service).count_request(context.now)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        service = ServiceId(message.record.request.target)
        self.budget(service).forget_call(message.record.request_id)

    @handle.register
    def _(self, message: AttemptRestored, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is not None:
            self.budget(ServiceId(record.request.target)).forget_call(
                message.request_id
            )

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Return whether and when to retry."""
        why_not = self.give_up_reason(record, failure, context.now)
        if why_not is not None:
            return GiveUp(give_up_problem(failure, why_not))
        self._reserve_retry(record, failure)
        refused = failure.exposure is Exposure.REFUSED
        return RetryLater(REJECTION_RETRY_DELAY if refused else MIN_RETRY_DELAY)

    def _reserve_retry(self, record: RequestRecord, failure: AttemptFailed) -> None:
        """Reserve budget for a retry; attempts that reached no endpoint are free."""
        allowance = self.budget(ServiceId(record.request.target))
        if failure.exposure is not Exposure.NEVER_SENT:
            allowance.reserve(record.request_id)
        elif allowance.is_retry(record.request_id):
            allowance.refund(record.request_id)
            allowance.reserve(record.request_id)

    def charge_retry(self, request: Request, context: Context) -> bool:
        """Count a call that is about to be sent if it is a retry.

        Returns whether it may be sent: False if it is a retry beyond the budget.

        A retry may have waited for capacity or for a reachable endpoint, and the
        requests that earned it may have left the window. It is counted at this time.
        """
        service = ServiceId(request.target)
        allowance = self.budget(service)
        if not allowance.is_retry(request.request_id):
            return True
        sent_at = allowance.sent_at.get(request.request_id)
        if sent_at is not None and context.now - sent_at <= CHARGE_TTL:
            return True
        allowance.refund(request.request_id)
        if allowance.available(self.limits(), context.now) < 1:
            return False
        allowance.count_retry(request.request_id, context.now)
        return True

    def give_up_reason(
        self, record: RequestRecord, failure: AttemptFailed, now: timedelta
    ) -> str | None:
        """Return why there is no retry; None if there may be one."""
        terms = record.request.terms
        if not failure.resumable:
            return "the position behind the delivered part is uncertain"
        if failure.exposure is Exposure.POSSIBLE:
            if record.request.repeatability is Repeatability.NON_IDEMPOTENT:
                return "it may have run and may not run again"
            if failure.status is not None and failure.status < FIRST_SERVER_ERROR:
                return "the endpoint's answer is final"
        if record.request.deadline - now < MIN_TIME_LEFT:
            return "too little time is left"
        ran = sum(a.exposure is Exposure.POSSIBLE for a in record.attempts)
        if terms is not None and ran >= terms.max_attempts:
            return "all attempts are used"
        sent = sum(a.exposure is not Exposure.NEVER_SENT for a in record.attempts)
        if sent >= MAX_SENDS or len(record.attempts) >= 2 * MAX_SENDS:
            return "it was refused too often"
        if not self.within_budget(ServiceId(record.request.target), failure, now):
            return RETRY_BUDGET_EXHAUSTED
        return None

    def within_budget(
        self, service: ServiceId, failure: AttemptFailed, now: timedelta
    ) -> bool:
        """Return whether the budget allows one more retry."""
        return (
            failure.exposure is Exposure.NEVER_SENT
            or self.available_retries(service, now) >= 1
        )

    def limits(self) -> RetryLimits:
        """Return this instance's retry limits, the same for each service."""
        share = self.slack_share()
        return RetryLimits(self.ratio, share.portion_of(self.slack), share.restarted_at)

    def available_retries(self, service: ServiceId, now: timedelta) -> float:
        """Return how many more retries the budget allows."""
        allowance = self.budget(service)
        return allowance.available(self.limits(), now) - len(allowance.reserved)

    def retries_sent(self, service: ServiceId) -> int:
        """Return the number of retries that this incarnation has counted."""
        return self.budget(service).total_retries

    def slack_sharers(self) -> int:
        """Return the number of instances sharing the slack; 0 without a share."""
        share = self.slack_share()
        has_part = share.known and share.restarted_at is None
        return share.instances if has_part else 0


def give_up_problem(failure: AttemptFailed, detail: str) -> Problem:
    """Return the problem that is reported to the caller."""
    if failure.kind is FailureKind.DEADLINE:
        return Problem(ProblemCode.DEADLINE_PASSED, detail)
    if failure.exposure is Exposure.POSSIBLE:
        return Problem(ProblemCode.ENDPOINT_FAILED, detail)
    return Problem(ProblemCode.NO_ENDPOINT, detail, RETRY_AFTER)

"""Decides whether and when a failed attempt is retried."""

from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod

from ..ids import ModelId, ServiceId
from ..kernel.configuration import FleetPolicy
from ..kernel.context import Context
from ..kernel.messages.attempts import AttemptFailed, Exposure, FailureKind, FirstToken
from ..kernel.messages.base import Message
from ..kernel.messages.problems import Problem, ProblemCode
from ..kernel.messages.requests import Repeatability
from ..kernel.plugins import (
    GiveUp,
    PluginFinder,
    RetryDecision,
    RetryLater,
    RetryPolicy,
)
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .claims.attach import AttachToRun

BASE_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=2)
MIN_BACKOFF = timedelta(milliseconds=1)
"""Above zero, so that plug-ins process the failure before the next attempt."""

RETRY_AFTER = timedelta(seconds=2)
RESERVE = 20.0
"""Retries that a target may have in a burst: one endpoint's in-flight requests."""

REFILL_PER_S = 0.2
"""Refill over time, so that a target with few requests still has some budget."""

ATTEMPTS_PER_RUN = 3
"""Bounds attempts that only attach to a running stream. They start no run and so do
not count as runs."""

REDIRECTING = frozenset({"draining", "role", "unknown-model"})
"""Refusals that redirect to another endpoint rather than report overload; they cost no
engine work."""


@dataclass(slots=True)
class RetryBudget:
    """Token bucket of retries for one target.

    Answered requests deposit, retries withdraw. A target that answers nothing
    deposits nothing, so a retry storm can't sustain itself.
    """

    tokens: float = RESERVE
    reserve: float = RESERVE
    refilled_at: timedelta = timedelta(0)

    def deposit(self, share: float) -> None:
        """Deposit for one request that has received its first token."""
        self.tokens = min(self.reserve, self.tokens + share)

    def withdraw(self, now: timedelta) -> bool:
        """Withdraw one retry; return whether the budget allowed it."""
        waited_s = (now - self.refilled_at).total_seconds()
        self.tokens = min(self.reserve, self.tokens + waited_s * REFILL_PER_S)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@register("bounded-retry")
class BoundedRetry(RetryPolicy):
    """Retries requests that may safely run again, within a budget and the deadline.

    Without the budget, a zone that is slow for half a minute stays down: each
    request is sent three times, queue wait stays above the stall timeout, and the
    work done is discarded. The symptom is timeouts at full load long after the cause
    has ended. The budget prevents this because retries are mainly funded by answers.
    """

    def __init__(self) -> None:
        self.budgets: dict[ModelId | ServiceId, RetryBudget] = {}
        self.attach: AttachToRun | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the placer that knows whether an attempt would only attach."""
        self.attach = find(AttachToRun)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Deposit into the budget for requests that are being answered."""

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is None or message.attempt != len(record.attempts):
            return
        share = _fleet_policy(context).retry_budget
        self._budget_of(record, context).deposit(share)

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Return a retry after a jittered backoff, or the final problem."""
        if not self._may_run_again(record, failure, context):
            return GiveUp(Problem(ProblemCode.ENDPOINT_FAILED, failure.kind.value))
        reason = failure.refusal or failure.kind.value
        runs = len({attempt.stream_id for attempt in record.attempts})
        most = _fleet_policy(context).max_attempts
        if runs >= most or len(record.attempts) >= most * ATTEMPTS_PER_RUN:
            return _give_up(f"{runs} attempts failed, the last: {reason}")
        pause = _backoff_after(len(record.attempts), context)
        if context.now + pause >= record.request.deadline:
            return _give_up(f"no time is left for another attempt: {reason}")
        if self._adds_no_load(record, failure, context):
            return RetryLater(pause)
        if not self._budget_of(record, context).withdraw(context.now):
            return _give_up(f"too many attempts fail just now, the last: {reason}")
        return RetryLater(pause)

    def _may_run_again(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> bool:
        if failure.kind is FailureKind.DEADLINE:
            return False
        if failure.exposure is not Exposure.POSSIBLE:
            return True
        if self._can_reattach(record, context):
            return True
        return record.request.repeatability is Repeatability.IDEMPOTENT

    def _adds_no_load(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> bool:
        """Return whether a retry adds no load to working endpoints.

        The budget limits repeated work. An endpoint that redirects a request or can't
        be reached has done none. If such retries were charged, all but the first twenty
        of the requests that find an endpoint crashed would fail.
        """
        if failure.kind is FailureKind.UNREACHED or failure.refusal in REDIRECTING:
            return True
        return self._can_reattach(record, context)

    def _can_reattach(self, record: RequestRecord, context: Context) -> bool:
        """Return whether the next attempt would only attach to a running stream.

        Attaching repeats no engine work. When the connections of hundreds of streams
        break at once, charging the budget would fail most of their requests.
        """
        return self.attach is not None and self.attach.can_reattach(record, context)

    def _budget_of(self, record: RequestRecord, context: Context) -> RetryBudget:
        target = record.request.target
        if target not in self.budgets:
            self.budgets[target] = RetryBudget(refilled_at=context.now)
        return self.budgets[target]


def _fleet_policy(context: Context) -> FleetPolicy:
    configuration = context.state.configuration
    return configuration.fleet if configuration is not None else FleetPolicy()


def _backoff_after(attempts: int, context: Context) -> timedelta:
    """Return exponential backoff with full jitter.

    The jitter spreads requests that failed together; a fixed delay would retry all
    of them at the same moment.
    """
    bound = min(BASE_BACKOFF * 2 ** (attempts - 1), MAX_BACKOFF)
    return max(MIN_BACKOFF, bound * context.random.random())


def _give_up(detail: str) -> GiveUp:
    return GiveUp(Problem(ProblemCode.ENDPOINT_FAILED, detail, RETRY_AFTER))

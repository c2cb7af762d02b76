"""Enforces each client account's tokens per second over all entry instances."""

from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod

from ...ids import AccountId, RequestId
from ...kernel.configuration import AccountPolicy
from ...kernel.context import Context
from ...kernel.fleet import DISTANT_PAST
from ...kernel.messages.attempts import AttemptFinished, Usage
from ...kernel.messages.base import Message, Tick
from ...kernel.messages.configuration import ConfigurationReceived
from ...kernel.messages.limits import AccountDemandReceived, account_key
from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.peers import MembersChanged
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.requests import RequestKind
from ...kernel.messages.watch import PublishForZone
from ...kernel.plugins import Proceed, Refuse, RequestConcluded, ReviewDecision, Stage
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from .bucket import AccountBucket, DemandMeter
from .demand_publisher import DemandPublisher, LocalDemand
from .shares import Shares

REFRESH = timedelta(seconds=1)

MIN_RETRY_AFTER_S = 0.1


@dataclass(slots=True)
class Charge:
    """Tokens that a request in progress has been charged."""

    account: AccountId
    tokens: int
    usage: Usage | None = None


@dataclass(slots=True)
class LimitedAccount:
    """An account with recent traffic at this instance."""

    bucket: AccountBucket
    demand: DemandMeter


@register("account-limits")
class AccountLimits(Stage):
    """Refuses requests beyond this instance's part of an account's limit.

    It runs after the claims stage: refused before it, the resend of a call that has
    run would be answered "not run", and its caller would submit the call again.
    Requests that join a run or its kept answer skip this stage and are not charged
    again.
    """

    order = 40

    def __init__(self) -> None:
        self.shares = Shares()
        self.publisher = DemandPublisher(self.shares)
        self.accounts: dict[AccountId, LimitedAccount] = {}
        self.charges: dict[RequestId, Charge] = {}
        self.refreshed_at = DISTANT_PAST

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Charge the request's tokens, or refuse with the time until the refill."""
        request = record.request
        policy = _policy_of(request.account, context)
        if request.kind is RequestKind.SERVICE or policy is None:
            return Proceed()
        now_s = context.now.total_seconds()
        tokens = request.prompt_tokens + request.max_tokens
        account = self._account(policy, context)
        account.demand.note(tokens, now_s)
        if account.bucket.take(tokens, now_s):
            self.charges[request.request_id] = Charge(request.account, tokens)
            return Proceed()
        wait_s = max(MIN_RETRY_AFTER_S, account.bucket.wait_s(tokens))
        detail = f"the account's {policy.tokens_per_second:g} tokens a second are used"
        wait = timedelta(seconds=round(wait_s, 1))
        return Refuse(Problem(ProblemCode.RATE_LIMITED, detail, wait))

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Track demand, usage and peers."""

    @handle.register
    def _(self, message: AttemptFinished, context: Context) -> None:
        charge = self.charges.get(message.request_id)
        if charge is not None:
            charge.usage = message.usage

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        charge = self.charges.pop(message.record.request_id, None)
        account = self.accounts.get(charge.account) if charge is not None else None
        if charge is not None and account is not None:
            unused = charge.tokens - _cost(message, charge)
            account.bucket.refund(unused, context.now.total_seconds())

    @handle.register
    def _(self, message: AccountDemandReceived, context: Context) -> None:
        self.shares.receive(message, context)

    @handle.register
    def _(self, message: MembersChanged, context: Context) -> None:
        self.shares.silent_zones = frozenset(message.silent_zones)

    @handle.register
    def _(self, message: PublishForZone, context: Context) -> None:
        self.publisher.publish_zone(context)

    @handle.register
    def _(self, message: ConfigurationReceived, context: Context) -> None:
        self.refreshed_at = DISTANT_PAST

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if context.now - self.refreshed_at >= REFRESH:
            self._refresh(context)

    def _refresh(self, context: Context) -> None:
        """Publish the demand here, and resize the buckets by all published demand."""
        self.refreshed_at = context.now
        self.publisher.publish_own(self._local_demands(context), context)
        self.shares.refresh(context)
        now_s = context.now.total_seconds()
        for name, account in list(self.accounts.items()):
            policy = _policy_of(name, context)
            idle = account.bucket.is_full and account.demand.rate(now_s) < 1
            if policy is None or idle:
                del self.accounts[name]
                continue
            part = self._part(policy, context)
            size = policy.burst_tokens * part
            account.bucket.resize(size, policy.tokens_per_second * part, now_s)

    def _local_demands(self, context: Context) -> list[LocalDemand]:
        now_s = context.now.total_seconds()
        found = []
        for name, account in self.accounts.items():
            policy = _policy_of(name, context)
            if policy is not None:
                demand = account.demand.rate(now_s)
                limit = policy.tokens_per_second
                found.append(LocalDemand(account_key(name), demand, limit))
        return found

    def _account(self, policy: AccountPolicy, context: Context) -> LimitedAccount:
        known = self.accounts.get(policy.account)
        if known is None:
            if self.refreshed_at == DISTANT_PAST:
                self._refresh(context)
            part = self._part(policy, context)
            size = policy.burst_tokens * part
            rate = policy.tokens_per_second * part
            bucket = AccountBucket(size, rate, context.now.total_seconds())
            known = self.accounts[policy.account] = LimitedAccount(
                bucket, DemandMeter()
            )
        return known

    def _part(self, policy: AccountPolicy, context: Context) -> float:
        key = account_key(policy.account)
        return self.shares.part(key, policy.tokens_per_second, context)


def _policy_of(account: AccountId, context: Context) -> AccountPolicy | None:
    configuration = context.state.configuration
    return None if configuration is None else configuration.accounts.get(account)


def _cost(message: RequestConcluded, charge: Charge) -> int:
    """Return the tokens that a request has actually used.

    A request that was answered by another call's run is charged to that call. The
    usage of a broken run is unknown, so its prompt and the delivered tokens count.
    """
    record = message.record
    if message.conclusion.outcome is Outcome.NOT_RUN or record.attached_run is not None:
        return 0
    if not record.attempts:
        return 0
    if charge.usage is not None:
        return charge.usage.prompt_tokens + charge.usage.completion_tokens
    if message.conclusion.outcome is Outcome.COMPLETED:
        return charge.tokens
    return record.request.prompt_tokens + record.delivered_tokens

"""Keeps a few large client accounts from starving small ones in the queue."""

from collections import defaultdict
from dataclasses import dataclass
from functools import singledispatchmethod

from ..ids import AccountId, RequestId
from ..kernel.context import Context
from ..kernel.messages.base import Message
from ..kernel.messages.requests import RequestKind
from ..kernel.plugins import (
    PluginFinder,
    Proceed,
    RequestConcluded,
    ReviewDecision,
    Stage,
)
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from ..placement.fair_share import unpenalized_work
from .engine_load import DEFAULT_PREFILL_RATE
from .prediction import Prediction

MAX_PENALTY_S = 5.0
"""Upper bound of the penalty: a large account's requests still age, and none of them
starves."""

DEFAULT_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class AccountWorkload:
    """An account's long prompts, or its short ones.

    They are counted separately: otherwise an account's short requests would be
    penalized for its one long prompt, which takes nothing from short requests of
    other accounts.
    """

    account: AccountId
    is_long: bool


@dataclass(frozen=True, slots=True)
class HeldWork:
    """The work that a request in progress counts towards its account's share."""

    holder: AccountWorkload
    work_s: float


@register("fair-shares")
class FairShares(Stage):
    """Penalizes the rank of requests of accounts that exceed their fair share.

    The fair share of an account is its weight's part of all work that is queued or
    running on this instance; long and short prompts are counted separately. A sole
    account has no penalty, and neither has an account's only long or only short prompt
    here, however long it is.
    """

    order = 41

    def __init__(self) -> None:
        self.prediction: Prediction | None = None
        self.held: dict[RequestId, HeldWork] = {}
        self.work_s: defaultdict[AccountWorkload, float] = defaultdict(float)
        self.counts: defaultdict[AccountWorkload, int] = defaultdict(int)
        self.weights: dict[AccountWorkload, float] = {}
        self.excess_s: dict[AccountWorkload, float] | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the prediction."""
        self.prediction = find(Prediction)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Count the request's work; never refuse."""
        request = record.request
        if request.kind is RequestKind.SERVICE or self.prediction is None:
            return Proceed()
        work_s = self.prediction.alone_s(request, DEFAULT_PREFILL_RATE)
        holder = AccountWorkload(request.account, self.prediction.is_long(request))
        self.work_s[holder] += work_s
        self.counts[holder] += 1
        self.weights[holder] = _weight_of(request.account, context)
        self.held[request.request_id] = HeldWork(holder, work_s)
        self.excess_s = None
        return Proceed()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Remove the work of ended requests."""

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        held = self.held.pop(message.record.request_id, None)
        if held is None:
            return
        self.work_s[held.holder] -= held.work_s
        self.counts[held.holder] -= 1
        if not self.counts[held.holder]:
            del self.work_s[held.holder]
            del self.counts[held.holder]
            del self.weights[held.holder]
        self.excess_s = None

    def penalty_s(self, record: RequestRecord) -> float:
        """Return the seconds by which the request ranks later than by its age."""
        held = self.held.get(record.request_id)
        if held is None:
            return 0.0
        if self.excess_s is None:
            self.excess_s = self._excess_by_workload()
        beyond_s = max(0.0, self.excess_s[held.holder] - held.work_s)
        return min(MAX_PENALTY_S, beyond_s)

    def _excess_by_workload(self) -> dict[AccountWorkload, float]:
        """Return each workload's work in excess of its unpenalized shares."""
        excess_s = {}
        for is_long in (False, True):
            group = [each for each in self.work_s if each.is_long is is_long]
            total_s = sum(self.work_s[each] for each in group)
            weights = sum(self.weights[each] for each in group)
            for each in group:
                part = self.weights[each] / weights
                free_s = unpenalized_work(total_s, len(group), part)
                excess_s[each] = self.work_s[each] - free_s
        return excess_s


def _weight_of(account: AccountId, context: Context) -> float:
    configuration = context.state.configuration
    if configuration is None or account not in configuration.accounts:
        return DEFAULT_WEIGHT
    return configuration.accounts[account].weight

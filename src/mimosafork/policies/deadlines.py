"""Rejects requests that can't meet their deadline, on arrival and while queued."""

from collections import defaultdict
from datetime import timedelta

from ..kernel.context import Context
from ..kernel.messages.problems import Problem, ProblemCode
from ..kernel.messages.requests import RequestKind
from ..kernel.plugins import (
    PluginFinder,
    Proceed,
    QueueDiscipline,
    Refuse,
    ReviewDecision,
    Stage,
)
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .drain import DrainRate
from .prediction import Prediction
from .scoring import FirstTokenScores

GIVE_UP_MARGIN = 1.25
"""A queued request is given up when its predicted time exceeds its remaining time by
this factor: predictions are not exact, and it has waited already."""

MIN_DRAIN_SHARE = 0.35
"""Lower bound of a lane's drain rate, as part of its even share of the fleet; few
recent dispatches may only mean that few requests arrived."""

NO_ENDPOINT_TIMEOUT = timedelta(seconds=5)
"""How long a request waits for an endpoint that serves its target."""

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 300.0
RETRY_AFTER_JITTER = 0.3
"""Spreads the retries of callers that are refused together."""


@register("deadline-admission")
class DeadlineCheck(Stage):
    """Refuses requests that can't meet their deadline."""

    order = 60

    def __init__(self) -> None:
        self.prediction = Prediction()
        self.scores = FirstTokenScores()
        self.discipline: QueueDiscipline | None = None
        self.drains: defaultdict[str, DrainRate] = defaultdict(DrainRate)

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this check queries."""
        self.prediction = find(Prediction) or self.prediction
        self.scores = find(FirstTokenScores) or self.scores
        self.discipline = find(QueueDiscipline)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Refuse with the predicted time until a retry can succeed, or proceed."""
        request = record.request
        if request.kind is RequestKind.SERVICE:
            return Proceed()
        candidates = self.scores.find(record, context)
        scored = self.scores.score(record, candidates, context)
        if not scored:
            return Proceed()
        first_token_s = self._queue_s(record, context) + scored[0].score_s
        record.predicted_first_token = timedelta(seconds=first_token_s)
        needed_s = first_token_s + self.prediction.answer_s(request)
        left_s = (request.deadline - context.now).total_seconds()
        if needed_s <= left_s:
            return Proceed()
        return self._refuse(record, needed_s, left_s, context)

    def late(
        self, record: RequestRecord, first_token_s: float, context: Context
    ) -> Refuse | None:
        """Return the refusal of a queued request that can no longer finish in time."""
        request = record.request
        rate = self.scores.fleet_rate(request.target, context)
        alone_s = self.prediction.alone_s(request, rate.tokens_per_s / rate.endpoints)
        first_token_s = max(first_token_s, alone_s)
        needed_s = first_token_s + self.prediction.answer_s(request)
        left_s = (request.deadline - context.now).total_seconds()
        if needed_s <= GIVE_UP_MARGIN * left_s:
            return None
        return self._refuse(record, needed_s, left_s, context)

    def without_endpoint(
        self, record: RequestRecord, context: Context
    ) -> Refuse | None:
        """Return the refusal of a request that has had no endpoint for too long."""
        if context.now - record.submitted_at < NO_ENDPOINT_TIMEOUT:
            return None
        detail = f"no endpoint serves {record.request.target!r} now"
        return refusal(ProblemCode.NO_ENDPOINT, detail, NO_ENDPOINT_TIMEOUT)

    def _queue_s(self, record: RequestRecord, context: Context) -> float:
        """Return the queue wait that the request has at this instance.

        Each entry instance drains its part of the fleet; the other instances are
        assumed to have queues like this one's.
        """
        waiting = context.state.waiting.waiting_for(record.request.target)
        if not waiting or self.discipline is None:
            return 0.0
        rank = self.discipline.rank(record, context.now)
        lane = self.discipline.lane(record)
        ahead = sum(
            each.request.prompt_tokens
            for each in waiting
            if self.discipline.lane(each) == lane
            and self.discipline.rank(each, context.now) <= rank
        )
        return ahead / self._drain_rate(record, lane, context)

    def _drain_rate(self, record: RequestRecord, lane: str, context: Context) -> float:
        """Return the tokens per second that are dispatched from a lane here."""
        rate = self.scores.fleet_rate(record.request.target, context)
        instances = max(1, len(context.state.fleet.instances))
        least = MIN_DRAIN_SHARE * rate.tokens_per_s / instances
        drained = self.drains[lane].rate(context.now.total_seconds())
        return max(least, drained)

    def record_dispatch(self, record: RequestRecord, context: Context) -> None:
        """Record that a request was dispatched to an endpoint."""
        if self.discipline is not None:
            drain = self.drains[self.discipline.lane(record)]
            drain.note(context.now.total_seconds(), record.request.prompt_tokens)

    def _refuse(
        self, record: RequestRecord, needed_s: float, left_s: float, context: Context
    ) -> Refuse:
        request = record.request
        rate = self.scores.fleet_rate(request.target, context)
        each_rate = rate.tokens_per_s / rate.endpoints
        alone_s = self.prediction.alone_s(request, each_rate)
        alone_s += self.prediction.answer_s(request)
        detail = f"it would take {needed_s:.0f} s and has {max(0.0, left_s):.0f} s left"
        if alone_s > left_s:
            return refusal(ProblemCode.DEADLINE_UNREACHABLE, detail, None)
        pause_s = (needed_s - left_s) * (
            1 + RETRY_AFTER_JITTER * context.random.random()
        )
        pause_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, pause_s))
        pause = timedelta(seconds=round(pause_s, 1))
        return refusal(ProblemCode.DEADLINE_UNREACHABLE, detail, pause)


def refusal(code: ProblemCode, detail: str, retry_after: timedelta | None) -> Refuse:
    """Return a refusal with a reason and a retry delay."""
    return Refuse(Problem(code, detail, retry_after))

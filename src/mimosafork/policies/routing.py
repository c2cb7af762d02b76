"""Routes a request that fits on one engine to an endpoint."""

from ..kernel.context import Context
from ..kernel.messages.requests import RequestKind
from ..kernel.plugins import (
    NotApplicable,
    Placement,
    PlaceOn,
    Placer,
    PluginFinder,
    Refuse,
    Wait,
)
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .baselines import LeastRequests
from .bounds import EngineBounds
from .deadlines import DeadlineCheck
from .priorities import AgeingPriorities
from .scoring import Candidate, FirstTokenScores, Scored, score_of

__all__ = ["LeastRequests", "PredictedFirstToken"]

TIE_SHARE = 0.1
TIE_S = 0.02
"""Scores within this distance of the best count as ties, and two of them are sampled.
All instances see the same delayed reports and would else pick the same endpoint."""


@register("predicted-first-token")
class PredictedFirstToken(Placer):
    """Sends a request to the endpoint with the earliest predicted first token."""

    order = 90

    def __init__(self) -> None:
        self.scores = FirstTokenScores()
        self.priorities: AgeingPriorities | None = None
        self.bounds: EngineBounds | None = None
        self.deadlines: DeadlineCheck | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that routing queries."""
        self.scores = find(FirstTokenScores) or self.scores
        self.priorities = find(AgeingPriorities)
        self.bounds = find(EngineBounds)
        self.deadlines = find(DeadlineCheck)

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Return the endpoint, wait for capacity, or refuse."""
        if record.request.kind is RequestKind.SERVICE:
            return NotApplicable()
        candidates = self.scores.find(record, context)
        if not candidates:
            return self._without_endpoint(record, context)
        free = self._with_room(record, candidates, context)
        if not free:
            # Skip scoring: done in vain for each queued request at each tick, it
            # would dominate the cost of decisions under overload.
            return self._late(record, 0.0, context) or Wait("no-room")
        scored = self.scores.score(record, free, context)
        late = self._late(record, scored[0].score_s, context)
        return late or self._send(record, self._draw(scored, context), context)

    def _with_room(
        self, record: RequestRecord, candidates: list[Candidate], context: Context
    ) -> list[Candidate]:
        if self.bounds is None:
            return candidates
        return self.bounds.with_room(record, candidates, context)

    def _late(
        self, record: RequestRecord, first_token_s: float, context: Context
    ) -> Refuse | None:
        if self.deadlines is None:
            return None
        return self.deadlines.late(record, first_token_s, context)

    def _draw(self, scored: list[Scored], context: Context) -> Scored:
        """Return the better of two endpoints sampled among near-ties."""
        limit_s = scored[0].score_s * (1 + TIE_SHARE) + TIE_S
        close = [each for each in scored if each.score_s <= limit_s]
        if len(close) <= 1:
            return scored[0]
        drawn = context.random.sample(close, 2)
        return min(drawn, key=score_of)

    def _send(
        self, record: RequestRecord, chosen: Scored, context: Context
    ) -> Placement:
        endpoint = chosen.endpoint
        priority = 0
        if self.priorities is not None:
            priority = self.priorities.engine_priority(record, endpoint, context.now)
        if self.deadlines is not None:
            self.deadlines.record_dispatch(record, context)
        self.scores.prediction.record_sent(
            record.request, endpoint, chosen.cached, context.now
        )
        return PlaceOn(
            endpoint.endpoint_id,
            endpoint.entry.incarnation,
            endpoint.entry.address,
            priority,
        )

    def _without_endpoint(self, record: RequestRecord, context: Context) -> Placement:
        refuse = None
        if self.deadlines is not None:
            refuse = self.deadlines.without_endpoint(record, context)
        return refuse or Wait("no-endpoint")

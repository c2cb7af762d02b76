"""Priority order of queued requests, at this instance and at an engine."""

from datetime import timedelta
from functools import singledispatchmethod

from ..ids import RequestId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.base import Message
from ..kernel.messages.configuration import ConfigurationReceived
from ..kernel.plugins import PluginFinder, QueueDiscipline, RequestConcluded
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .engine_load import DEFAULT_PREFILL_RATE
from .fair_shares import FairShares
from .prediction import Prediction, fleet_policy

WORK_WEIGHT = 8.0
"""Seconds of queue wait that offset a second of predicted work, when long and short
prompts share an endpoint evenly (``long_share`` 0.5)."""

SHORT_LANE = "short"
LONG_LANE = "long"
GANG_LANE = "gang"

MAX_WORK_S = 2.0
"""Work beyond this does not lower a request's rank further. The longest prompts would
otherwise wait for all long ones that arrive in the next minutes; among themselves they
are better served in order of arrival."""


@register("first-come")
class FirstCome(QueueDiscipline):
    """Ranks requests by submission time."""

    def rank(self, record: RequestRecord, now: timedelta) -> float:
        """Return the instant of submission in seconds."""
        return record.submitted_at.total_seconds()


@register("ageing-priorities")
class AgeingPriorities(QueueDiscipline):
    """Shortest job first with ageing: queue wait offsets predicted work.

    A request with `w` seconds of work that arrived at `t` ranks by ``t + weight * w``,
    with `w` up to `MAX_WORK_S`. A shorter one overtakes it only if it arrives within
    ``weight`` times the difference of their work: short prompts overtake a long one
    only if they arrive soon after it. Neither class can starve the other.
    """

    def __init__(self) -> None:
        self.prediction: Prediction | None = None
        self.fair_shares: FairShares | None = None
        self.weight = WORK_WEIGHT
        self.work_s: dict[RequestId, float] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that the ranking queries."""
        self.prediction = find(Prediction)
        self.fair_shares = find(FairShares)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Apply changed settings and drop ended requests."""

    @handle.register
    def _(self, message: ConfigurationReceived, context: Context) -> None:
        share = fleet_policy(context).long_share
        self.weight = WORK_WEIGHT * (1 - share) / share

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self.work_s.pop(message.record.request_id, None)

    def predicted_work_s(self, record: RequestRecord) -> float:
        """Return the request's work as first predicted, up to `MAX_WORK_S`."""
        known = self.work_s.get(record.request_id)
        if known is None:
            known = 0.0
            if self.prediction is not None:
                known = self.prediction.alone_s(record.request, DEFAULT_PREFILL_RATE)
            known = min(known, MAX_WORK_S)
            self.work_s[record.request_id] = known
        return known

    def rank(self, record: RequestRecord, now: timedelta) -> float:
        """Return the request's rank; lower goes first."""
        submitted_s = record.submitted_at.total_seconds()
        if self.fair_shares is not None:
            submitted_s += self.fair_shares.penalty_s(record)
        return submitted_s + self.weight * self.predicted_work_s(record)

    def lane(self, record: RequestRecord) -> str:
        """Return the lane, which selects the bounds that apply to the request."""
        if self.prediction is None or not self.prediction.is_long(record.request):
            return SHORT_LANE
        if self.prediction.exceeds_one_engine(record.request):
            return GANG_LANE
        return LONG_LANE

    def engine_priority(
        self,
        record: RequestRecord,
        endpoint: Endpoint,
        now: timedelta,
        begun_at: timedelta | None = None,
    ) -> int:
        """Return the rank in the engine's time, in thousandths of a report interval.

        A long prompt ages there from its dispatch on: under overload long prompts
        queue here so long that each would go before all short ones at its engine.

        Parameters
        ----------
        begun_at : timedelta, optional
            Instant at which an engine began with an earlier part of the request,
            which short prompts have already overtaken there.
        """
        if self.prediction is None:
            return 0
        load = self.prediction.load_of(endpoint)
        passed_s = self.weight * self.predicted_work_s(record)
        if self.lane(record) == SHORT_LANE:
            passed_s -= (now - record.submitted_at).total_seconds()
        elif begun_at is not None:
            passed_s -= (now - begun_at).total_seconds()
        return int(1000 * (load.clock_ticks(now) + passed_s / load.tick_s))

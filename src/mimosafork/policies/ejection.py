"""Ejects endpoints that answer, but far more slowly than their peers.

Each instance judges by its own requests. Probes do not detect such an endpoint: it
answers them in time, and its load report does not show a failing link or card.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod
from statistics import median

from ..ids import EndpointId, Incarnation, ModelId, RequestId, ServiceId
from ..kernel.context import Context
from ..kernel.fleet import DISTANT_PAST, Endpoint
from ..kernel.messages.attempts import AttemptFinished, FirstToken
from ..kernel.messages.base import Message, Tick
from ..kernel.messages.fleet import InstancesListed
from ..kernel.plugins import Plugin, PluginFinder, RequestConcluded
from ..kernel.registry import register
from .prediction import MIN_FIRST_TOKEN_S, Prediction, fleet_policy

SLOW_RATIO = 5.0
"""An endpoint is slow if it takes this many times the median of its peers. Queues that
are reported late make a factor of two; a failing card or link, of ten and more."""

MAX_OBSERVATIONS = 16
"""Newest observations that are kept of each kind."""

QUARTERS = 4
"""An endpoint's lower quartile is compared with its peers' medians: a faulty endpoint
is slow for all requests, while callers that read slowly and prompts that were queued
make only some of its requests slow."""

MIN_OBSERVATIONS = 6
MIN_PROBATION_OBSERVATIONS = 3
"""Observations before an endpoint is judged, normally and after an ejection."""

MIN_PEERS = 2
"""Peers that need observations of their own; of two endpoints alone it is unknown
which one is the outlier."""

OBSERVATION_TTL = timedelta(minutes=2)
"""Age at which an observation is discarded."""

BASE_EJECTION_TIME = timedelta(seconds=10)
MAX_EJECTION_TIME = timedelta(minutes=5)
"""The ejection time doubles with each ejection, up to the maximum."""

EJECTION_RESET_AFTER = timedelta(minutes=10)
"""The ejection time restarts from the base when an endpoint was not ejected for this
time beyond the maximum ejection time."""

REFERENCE_RATE = 30_000.0
"""Tokens per second that normalize work; only ratios between endpoints matter."""

CHECK_INTERVAL = timedelta(seconds=1)

MIN_ANSWER_TOKENS = 8
"""Shorter answers are too short to measure the time between tokens."""


@dataclass(frozen=True, slots=True)
class Observation:
    """One measured time, normalized to be comparable between requests."""

    at: timedelta
    value: float


@dataclass(slots=True)
class LatencyHistory:
    """Latency observations of one incarnation of an endpoint.

    Attributes
    ----------
    first_tokens : deque of Observation
        Observed time to first token over the time that the work ahead would take at
        `REFERENCE_RATE`. The reported rate is left out, since a slow endpoint may
        report a low one.
    gaps : deque of Observation
        Seconds between two tokens.
    """

    incarnation: Incarnation
    first_tokens: deque[Observation] = field(
        default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS)
    )
    gaps: deque[Observation] = field(
        default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS)
    )
    ejections: int = 0
    ejected_at: timedelta = DISTANT_PAST

    @property
    def on_probation(self) -> bool:
        """Whether it was ejected before."""
        return self.ejections > 0


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """When an attempt's last token arrived, and the number of its tokens."""

    at: timedelta
    tokens: int


@register("slow-endpoint-ejection")
class SlowEndpointEjection(Plugin):
    """Ejects endpoints for a growing time, up to a share of each target's endpoints."""

    def __init__(self) -> None:
        self.prediction: Prediction | None = None
        self.histories: dict[EndpointId, LatencyHistory] = {}
        self.ended: dict[RequestId, FinishedAttempt] = {}
        self.checked_at = DISTANT_PAST

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the prediction."""
        self.prediction = find(Prediction)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Record latencies and evaluate them periodically."""

    @handle.register
    def _(self, message: InstancesListed, context: Context) -> None:
        known = context.state.fleet.endpoints
        for gone in [name for name in self.histories if name not in known]:
            del self.histories[gone]

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is None or record.current is None or self.prediction is None:
            return
        expected = self.prediction.expected.get(message.request_id)
        current = record.current
        if expected is None or current.number != message.attempt:
            return
        endpoint = context.state.fleet.endpoints.get(current.endpoint)
        if endpoint is None or endpoint.entry.incarnation != current.incarnation:
            return
        observed_s = context.now.total_seconds() - expected.at_s
        rate = self.prediction.load_of(endpoint).rate
        # The fixed part keeps requests with almost no work comparable.
        work = max(0.0, expected.plain_s - MIN_FIRST_TOKEN_S) * rate
        usual_s = MIN_FIRST_TOKEN_S + work / REFERENCE_RATE
        value = observed_s / usual_s
        history = self._history_of(endpoint)
        history.first_tokens.append(Observation(context.now, value))

    @handle.register
    def _(self, message: AttemptFinished, context: Context) -> None:
        if message.usage is not None:
            tokens = message.usage.completion_tokens
            self.ended[message.request_id] = FinishedAttempt(context.now, tokens)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        ended = self.ended.pop(message.record.request_id, None)
        current = message.record.current
        if ended is None or current is None or current.first_token_at is None:
            return
        endpoint = context.state.fleet.endpoints.get(current.endpoint)
        if endpoint is None or endpoint.entry.incarnation != current.incarnation:
            return
        if ended.tokens >= MIN_ANSWER_TOKENS:
            taken_s = (ended.at - current.first_token_at).total_seconds()
            gap_s = taken_s / (ended.tokens - 1)
            history = self._history_of(endpoint)
            history.gaps.append(Observation(context.now, gap_s))

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if context.now - self.checked_at < CHECK_INTERVAL:
            return
        self.checked_at = context.now
        self._reset_restarted(context)
        for target, group in context.state.fleet.by_target.items():
            self._check_target(target, list(group.values()), context)

    def _reset_restarted(self, context: Context) -> None:
        """Drop history and ejection of endpoints that have restarted."""
        endpoints = context.state.fleet.endpoints
        for name, history in list(self.histories.items()):
            endpoint = endpoints.get(name)
            if endpoint is None or endpoint.entry.incarnation == history.incarnation:
                continue
            endpoint.ejected_until = None
            del self.histories[name]

    def _history_of(self, endpoint: Endpoint) -> LatencyHistory:
        name = endpoint.endpoint_id
        known = self.histories.get(name)
        if known is None or known.incarnation != endpoint.entry.incarnation:
            known = self.histories[name] = LatencyHistory(endpoint.entry.incarnation)
        return known

    def _check_target(
        self, target: ModelId | ServiceId, group: list[Endpoint], context: Context
    ) -> None:
        """Eject slow endpoints of a target, the slowest first."""
        histories = {
            each.endpoint_id: self.histories[each.endpoint_id]
            for each in group
            if each.endpoint_id in self.histories
            and each.accepts_new_requests(context.now)
        }
        if len(histories) <= MIN_PEERS:
            return
        slowness: dict[EndpointId, float] = {}
        firsts = {name: each.first_tokens for name, each in histories.items()}
        gaps = {name: each.gaps for name, each in histories.items()}
        for series in (firsts, gaps):
            for name, times in self._compare(series, histories, context.now):
                slowness[name] = max(times, slowness.get(name, 0.0))
        for name in sorted(slowness, key=lambda each: slowness[each], reverse=True):
            endpoint = context.state.fleet.endpoints[name]
            if slowness[name] >= SLOW_RATIO and _may_eject(endpoint, context):
                self._eject(endpoint, context)

    def _compare(
        self,
        series: dict[EndpointId, deque[Observation]],
        histories: dict[EndpointId, LatencyHistory],
        now: timedelta,
    ) -> Iterable[tuple[EndpointId, float]]:
        """Return each endpoint's latency as a multiple of the median of its peers."""
        medians = {}
        quartiles = {}
        for name, kept in series.items():
            while kept and now - kept[0].at > OBSERVATION_TTL:
                kept.popleft()
            enough = (
                MIN_PROBATION_OBSERVATIONS
                if histories[name].on_probation
                else MIN_OBSERVATIONS
            )
            if len(kept) >= enough:
                values = sorted(each.value for each in kept)
                medians[name] = median(values)
                quartiles[name] = values[len(values) // QUARTERS]
        if len(medians) <= MIN_PEERS:
            return
        ordered = sorted(medians.values())
        for name, own in medians.items():
            peers = list(ordered)
            peers.remove(own)
            peer_median = median(peers)
            if peer_median > 0:
                yield name, quartiles[name] / peer_median

    def _eject(self, endpoint: Endpoint, context: Context) -> None:
        history = self._history_of(endpoint)
        if context.now - history.ejected_at > EJECTION_RESET_AFTER + MAX_EJECTION_TIME:
            history.ejections = 0
        pause = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2**history.ejections)
        history.ejections = min(history.ejections + 1, 10)
        history.ejected_at = context.now
        history.first_tokens.clear()
        history.gaps.clear()
        endpoint.ejected_until = context.now + pause


def _may_eject(endpoint: Endpoint, context: Context) -> bool:
    """Return whether all targets of an endpoint keep enough others without it.

    A load that makes many endpoints slow must not eject many of them: the others
    would get their load and become slow in turn.
    """
    share = fleet_policy(context).ejected_share
    for group in context.state.fleet.by_target.values():
        if endpoint.endpoint_id not in group:
            continue
        now = context.now
        ejected = sum(_is_ejected(each, now) for each in group.values())
        usable = sum(each.accepts_new_requests(now) for each in group.values())
        is_last = usable <= 1
        if is_last or ejected + 1 > share * len(group):
            return False
    return True


def _is_ejected(endpoint: Endpoint, now: timedelta) -> bool:
    return endpoint.ejected_until is not None and endpoint.ejected_until > now

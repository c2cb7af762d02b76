"""Predicts times to first token and answer times, corrected by observations.

A prediction is computed from the work ahead at the endpoint and the request's own
prefill. Observed first tokens correct it: by a factor for each model and prompt
length, which covers what the plain sum leaves out (context cost, steps shared with
decoding, the network), and by a factor for each endpoint, which detects one that is
slow but alive.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod
from math import exp, log

from ..ids import EndpointId, ModelId, RequestId, ServiceId
from ..kernel.configuration import FleetPolicy
from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.attempts import AttemptFailed, FirstToken
from ..kernel.messages.base import Message
from ..kernel.messages.fleet import EndpointKind, InstancesListed, LoadReported
from ..kernel.messages.requests import Request
from ..kernel.plugins import Plugin, RequestConcluded
from ..kernel.registry import register
from .engine_load import EngineLoad, SentRequest

LENGTH_EWMA_WEIGHT = 0.05
ENDPOINT_EWMA_WEIGHT = 0.1
"""Weights of a new observation in moving averages of logarithms."""

MAX_RATIO = 20.0
"""Observed ratios are clamped to this factor in both directions."""

MIN_FIRST_TOKEN_S = 0.02
"""Minimum predicted time to first token: the network and one engine step."""

DEFAULT_TOKEN_S = 0.01
"""Initial value of answer time over `max_tokens`: 40 ms per token, with a quarter of
`max_tokens` generated."""

DEFAULT_ANSWER_S = 5.0
"""Initial value of the mean answer time."""

MAX_ANSWER_RATIO = 2.0
"""Predicted answer times are capped at this multiple of the mean: callers set
`max_tokens` to thousands as a precaution and get a hundred tokens."""

DEFAULT_BLOCKING = 0.3
"""Initial estimate of the part of a long prefill that a short prompt waits for."""

MIN_LONG_AHEAD_S = 0.5
"""Long work ahead from which an observation updates the blocking estimate."""


@dataclass(slots=True)
class AttemptPrediction:
    """The prediction that was made when an attempt was sent.

    Attributes
    ----------
    plain_s : float
        Predicted time to first token without the learned factors.
    long_ahead_s : float
        Work of long prompts ahead of a short one.
    """

    endpoint: EndpointId
    at_s: float
    plain_s: float
    long_ahead_s: float
    band: int


@dataclass(slots=True)
class ModelEstimates:
    """Learned estimates of one model.

    Attributes
    ----------
    factors : dict of int to float
        Logarithm of observed over plainly predicted time, by `band_of`.
    blocking : float
        Part of the long work ahead that a short prompt waits for: near 0 for
        engines that interrupt a prefill, near 1 for others.
    token_s : float
        Answer time over the `max_tokens` of the request.
    answer_s : float
        Mean answer time.
    """

    factors: dict[int, float] = field(default_factory=dict)
    blocking: float = DEFAULT_BLOCKING
    token_s: float = DEFAULT_TOKEN_S
    answer_s: float = DEFAULT_ANSWER_S


@dataclass(frozen=True, slots=True)
class Quote:
    """The part of a request's prediction that is the same at all endpoints.

    Attributes
    ----------
    long_part : float
        Part of the long work ahead that it waits for.
    factor : float
        Learned correction for its model and length.
    """

    prompt_tokens: int
    long_part: float
    factor: float
    now_s: float

    def plain_s(self, load: EngineLoad, cached: int) -> float:
        """Return the time to first token from work ahead and prefill alone."""
        short, long = load.levels(self.now_s)
        work = short + long * self.long_part + self.prompt_tokens - cached
        return MIN_FIRST_TOKEN_S + work / load.rate


def band_of(prompt_tokens: int) -> int:
    """Return the power-of-two band of a prompt's length."""
    return max(1, prompt_tokens).bit_length()


def fleet_policy(context: Context) -> FleetPolicy:
    """Return the fleet's settings; the defaults before a configuration is known."""
    configuration = context.state.configuration
    return configuration.fleet if configuration is not None else FleetPolicy()


@register("prediction")
class Prediction(Plugin):
    """Keeps the estimates of all endpoints and models."""

    def __init__(self) -> None:
        self.loads: dict[EndpointId, EngineLoad] = {}
        self.slowness: dict[EndpointId, float] = {}
        """Observed over predicted time, relative to other endpoints; 1 is normal."""
        self.models: dict[ModelId | ServiceId, ModelEstimates] = {}
        self.expected: dict[RequestId, AttemptPrediction] = {}
        self.long_prompt_tokens = FleetPolicy().long_prompt_tokens
        self.largest: dict[ModelId | ServiceId, int] = {}
        """Memory of the largest engine that serves each model, in tokens."""
        self.shapes: dict[EndpointId, tuple[int, tuple[ModelId, ...]]] = {}

    def load_of(self, endpoint: Endpoint) -> EngineLoad:
        """Return the load of an endpoint's current incarnation."""
        load = self.loads.get(endpoint.entry.endpoint)
        incarnation = endpoint.entry.incarnation
        if load is None or load.incarnation != incarnation:
            load = EngineLoad(incarnation)
            load.report(endpoint)
            self.loads[endpoint.entry.endpoint] = load
            self.slowness.pop(endpoint.entry.endpoint, None)
        return load

    def learned(self, target: ModelId | ServiceId) -> ModelEstimates:
        """Return the learned estimates of a model."""
        known = self.models.get(target)
        if known is None:
            known = self.models[target] = ModelEstimates()
        return known

    def is_long(self, request: Request) -> bool:
        """Return whether a request counts as long."""
        return request.prompt_tokens >= self.long_prompt_tokens

    def exceeds_one_engine(self, request: Request) -> bool:
        """Return whether a request needs more memory than any single engine has."""
        needed = request.prompt_tokens + request.max_tokens
        return needed > self.largest.get(request.target, needed)

    def quote(self, request: Request, now_s: float) -> "Quote":
        """Return the endpoint-independent part of a request's prediction."""
        return Quote(
            prompt_tokens=request.prompt_tokens,
            long_part=1.0 if self.is_long(request) else self.blocking(request),
            factor=exp(self._factor(request)),
            now_s=now_s,
        )

    def blocking(self, request: Request) -> float:
        """Return the part of the long work ahead that blocks a short request."""
        return self.learned(request.target).blocking

    def first_token_s(self, quote: "Quote", endpoint: Endpoint, cached: int) -> float:
        """Return the predicted time to first token at an endpoint."""
        slowness = self.slowness.get(endpoint.entry.endpoint, 1.0)
        plain_s = quote.plain_s(self.load_of(endpoint), cached)
        return plain_s * quote.factor * slowness

    def alone_s(self, request: Request, rate: float) -> float:
        """Return the predicted time to first token on an idle endpoint."""
        plain_s = MIN_FIRST_TOKEN_S + request.prompt_tokens / rate
        return plain_s * exp(self._factor(request))

    def answer_s(self, request: Request) -> float:
        """Return the expected time from the first token to the last."""
        known = self.learned(request.target)
        most_s = MAX_ANSWER_RATIO * known.answer_s
        return min(most_s, request.max_tokens * known.token_s)

    def _factor(self, request: Request) -> float:
        """Return the logarithm of the learned factor of a prompt length.

        Without one, it is that of the next shorter length, or 0.
        """
        factors = self.learned(request.target).factors
        band = band_of(request.prompt_tokens)
        found = factors.get(band)
        if found is None:
            shorter = [known for known in factors if known < band]
            found = factors[max(shorter)] if shorter else 0.0
        return found

    def record_sent(
        self, request: Request, endpoint: Endpoint, cached: int, now: timedelta
    ) -> None:
        """Record a dispatch and its prediction."""
        now_s = now.total_seconds()
        load = self.load_of(endpoint)
        is_long = self.is_long(request)
        long_ahead_s = 0.0 if is_long else load.levels(now_s)[1] / load.rate
        self.expected[request.request_id] = AttemptPrediction(
            endpoint=endpoint.entry.endpoint,
            at_s=now_s,
            plain_s=self.quote(request, now_s).plain_s(load, cached),
            long_ahead_s=long_ahead_s,
            band=band_of(request.prompt_tokens),
        )
        memory = request.prompt_tokens + request.max_tokens
        work = request.prompt_tokens - cached
        load.send(request.request_id, SentRequest(now_s, work, memory, is_long))

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Update loads and estimates."""

    @handle.register
    def _(self, message: InstancesListed, context: Context) -> None:
        known = context.state.fleet.endpoints
        for gone in [name for name in self.loads if name not in known]:
            del self.loads[gone]
            self.shapes.pop(gone, None)
            self.slowness.pop(gone, None)
        self._note_sizes(context)

    def _note_sizes(self, context: Context) -> None:
        """Find the largest engine of each model; called only when one has changed."""
        self.largest.clear()
        for endpoint in context.state.fleet.endpoints.values():
            report = endpoint.report
            if report is None:
                continue
            for model in report.models:
                most = max(self.largest.get(model, 0), report.kv_capacity)
                self.largest[model] = most

    @handle.register
    def _(self, message: LoadReported, context: Context) -> None:
        self.long_prompt_tokens = fleet_policy(context).long_prompt_tokens
        endpoint = context.state.fleet.endpoints.get(message.report.endpoint)
        # An outdated report was not stored; replaying it would count requests twice.
        if endpoint is None or endpoint.report is not message.report:
            return
        if endpoint.entry.kind is EndpointKind.MODEL_ENGINE:
            self.load_of(endpoint).report(endpoint)
            shape = (message.report.kv_capacity, message.report.models)
            if self.shapes.get(endpoint.entry.endpoint) != shape:
                self.shapes[endpoint.entry.endpoint] = shape
                self._note_sizes(context)

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        expected = self.expected.get(message.request_id)
        if record is None or expected is None:
            return
        if record.current is None or record.current.number != message.attempt:
            return
        load = self.loads.get(expected.endpoint)
        if load is None or load.first_token(message.request_id) is None:
            return
        observed_s = context.now.total_seconds() - expected.at_s
        self._learn(record.request, expected, observed_s, load.rate)

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        self._forget(message.request_id)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self._learn_answer(message, context)
        self._forget(message.record.request_id)

    def _forget(self, request_id: RequestId) -> None:
        expected = self.expected.pop(request_id, None)
        if expected is not None and expected.endpoint in self.loads:
            self.loads[expected.endpoint].finish(request_id)

    def _learn(
        self,
        request: Request,
        expected: AttemptPrediction,
        observed_s: float,
        rate: float,
    ) -> None:
        known = self.learned(request.target)
        ratio = observed_s / max(expected.plain_s, MIN_FIRST_TOKEN_S)
        seen = log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio)))
        factor = known.factors.get(expected.band, seen)
        surprise = seen - factor
        known.factors[expected.band] = factor + LENGTH_EWMA_WEIGHT * surprise
        slowness = log(self.slowness.get(expected.endpoint, 1.0))
        slowness += ENDPOINT_EWMA_WEIGHT * (surprise - slowness)
        self.slowness[expected.endpoint] = exp(slowness)
        if expected.long_ahead_s > MIN_LONG_AHEAD_S:
            alone_s = MIN_FIRST_TOKEN_S + request.prompt_tokens / rate
            seen_part = (observed_s - alone_s) / expected.long_ahead_s
            part = min(1.0, max(0.0, seen_part))
            known.blocking += ENDPOINT_EWMA_WEIGHT * (part - known.blocking)

    def _learn_answer(self, message: RequestConcluded, context: Context) -> None:
        current = message.record.current
        if message.conclusion.problem is not None or current is None:
            return
        if current.first_token_at is None:
            return
        request = message.record.request
        known = self.learned(request.target)
        taken_s = (context.now - current.first_token_at).total_seconds()
        wanted = max(1, request.max_tokens)
        known.token_s += LENGTH_EWMA_WEIGHT * (taken_s / wanted - known.token_s)
        known.answer_s += LENGTH_EWMA_WEIGHT * (taken_s - known.answer_s)

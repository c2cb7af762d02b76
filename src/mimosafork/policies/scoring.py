"""Scores candidate endpoints by predicted time to first token."""

from dataclasses import dataclass
from datetime import timedelta

from ..ids import EndpointId, ModelId, ServiceId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.plugins import Plugin, PluginFinder
from ..kernel.records import RequestRecord
from ..kernel.registry import register
from .affinity import PrefixAffinity
from .candidates import Candidates
from .prediction import Prediction

CROSS_ZONE_PENALTY_S = 0.005
"""Penalty for endpoints outside this instance's availability zone."""

FLEET_RATE_TTL = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that a request may be sent to.

    Attributes
    ----------
    cached : int
        Prompt tokens that are probably in its cache.
    """

    endpoint: Endpoint
    cached: int


@dataclass(frozen=True, slots=True)
class Scored:
    """An endpoint and its predicted time to first token.

    Attributes
    ----------
    cached : int
        Prompt tokens that are probably in its cache.
    """

    endpoint: Endpoint
    score_s: float
    cached: int


@dataclass(frozen=True, slots=True)
class FleetRate:
    """Prompt tokens per second of all endpoints that serve a target."""

    tokens_per_s: float
    endpoints: int
    at: timedelta


@register("first-token-scores")
class FirstTokenScores(Plugin):
    """Scores endpoints for routing and for admission."""

    def __init__(self) -> None:
        self.prediction = Prediction()
        self.affinity: PrefixAffinity | None = None
        self.candidates = Candidates()
        self.rates: dict[ModelId | ServiceId, FleetRate] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that scoring queries."""
        self.prediction = find(Prediction) or self.prediction
        self.affinity = find(PrefixAffinity)

    def find(self, record: RequestRecord, context: Context) -> list[Candidate]:
        """Return available endpoints, if possible none that failed the request."""
        request = record.request
        holders: dict[EndpointId, int] = {}
        if self.affinity is not None:
            holders = self.affinity.holders(request, context.now)
        found = self.candidates.select(request.target, holders, context)
        fresh = [each for each in found if each.entry.endpoint not in record.avoid]
        return [
            Candidate(endpoint, holders.get(endpoint.entry.endpoint, 0))
            for endpoint in fresh or found
        ]

    def score(
        self, record: RequestRecord, candidates: list[Candidate], context: Context
    ) -> list[Scored]:
        """Return candidates with their scores, the earliest first token first."""
        prediction = self.prediction
        quote = prediction.quote(record.request, context.now.total_seconds())
        own_zone = context.state.identity.availability_zone
        scored = []
        for candidate in candidates:
            endpoint = candidate.endpoint
            score_s = prediction.first_token_s(quote, endpoint, candidate.cached)
            if endpoint.entry.availability_zone != own_zone:
                score_s += CROSS_ZONE_PENALTY_S
            scored.append(Scored(endpoint, score_s, candidate.cached))
        scored.sort(key=score_of)
        return scored

    def fleet_rate(self, target: ModelId | ServiceId, context: Context) -> FleetRate:
        """Return the total prefill rate of a target's endpoints, cached briefly."""
        known = self.rates.get(target)
        if known is None or context.now - known.at > FLEET_RATE_TTL:
            serving = list(context.state.fleet.serving(target))
            rate = sum(self.prediction.load_of(each).rate for each in serving)
            known = FleetRate(max(1.0, rate), max(1, len(serving)), context.now)
            self.rates[target] = known
        return known


def score_of(scored: Scored) -> float:
    """Return the key by which endpoints are sorted."""
    return scored.score_s

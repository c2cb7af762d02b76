"""Simple policies, kept as baselines for the policy benchmark."""

from typing import ClassVar

from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.plugins import Placement, PlaceOn, Placer, Wait
from ..kernel.records import RequestRecord
from ..kernel.registry import register

BACKLOG_TOKENS = 60_000
"""Prompt tokens that may wait at an endpoint under `OneQueue`: about two seconds,
enough to bridge the lag of load reports."""


class BaselinePlacer(Placer):
    """Chooses among all endpoints that accept new requests."""

    order: ClassVar[int] = 90

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Return the chosen endpoint, or wait if none is available."""
        usable = [
            endpoint
            for endpoint in context.state.fleet.serving(record.request.target)
            if endpoint.accepts_new_requests(context.now)
        ]
        fresh = [
            endpoint for endpoint in usable if endpoint.endpoint_id not in record.avoid
        ]
        candidates = fresh or usable
        if not candidates:
            return Wait("no-endpoint")
        best = self.choose(candidates, context)
        if best is None:
            return Wait("backlog")
        return PlaceOn(best.endpoint_id, best.entry.incarnation, best.entry.address)

    def choose(self, candidates: list[Endpoint], context: Context) -> Endpoint | None:
        """Return one of the candidates, or None to wait."""
        raise NotImplementedError


@register("round-robin")
class RoundRobin(BaselinePlacer):
    """Sends each request to the next endpoint."""

    def __init__(self) -> None:
        self.turn = 0

    def choose(self, candidates: list[Endpoint], context: Context) -> Endpoint | None:
        """Return the next endpoint in order of id."""
        self.turn += 1
        ordered = sorted(candidates, key=lambda each: each.endpoint_id)
        return ordered[self.turn % len(ordered)]


@register("least-requests")
class LeastRequests(BaselinePlacer):
    """Sends each request to the less loaded of two endpoints sampled at random.

    The load is the number of requests in the last report, or this instance's own
    in-flight requests if there are more of these.
    """

    def choose(self, candidates: list[Endpoint], context: Context) -> Endpoint | None:
        """Return the less loaded of two sampled endpoints."""
        drawn = context.random.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=_requests_on)


@register("one-queue")
class OneQueue(BaselinePlacer):
    """First come, first served: requests queue here until an endpoint has capacity."""

    def choose(self, candidates: list[Endpoint], context: Context) -> Endpoint | None:
        """Return the endpoint with the shortest backlog, if it is below the limit."""
        best = min(candidates, key=_backlog_of)
        return best if _backlog_of(best) < BACKLOG_TOKENS else None


def _requests_on(endpoint: Endpoint) -> int:
    """Return the larger of the reported requests and this instance's own."""
    own = len(endpoint.own_requests)
    if endpoint.report is None:
        return own
    return max(own, endpoint.report.running + endpoint.report.waiting)


def _backlog_of(endpoint: Endpoint) -> int:
    """Return the reported waiting tokens plus those sent since the report."""
    since = sum(
        each.prompt_tokens
        for each in endpoint.own_requests.values()
        if each.dispatched_at > endpoint.reported_at and not each.prefilled
    )
    if endpoint.report is None:
        return since
    return since + endpoint.report.waiting_prefill_tokens

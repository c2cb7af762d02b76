"""Retries stalled attempts at another endpoint."""

from datetime import timedelta
from functools import singledispatchmethod

from ...ids import EndpointId
from ...kernel.context import Context
from ...kernel.messages.attempts import (
    AttemptFailed,
    AttemptSilent,
    EndSilentAttempt,
    Exposure,
    FailureKind,
)
from ...kernel.messages.base import Message
from ...kernel.messages.requests import Repeatability
from ...kernel.plugins import Plugin, PluginFinder
from ...kernel.records import RequestRecord, RequestState
from ...kernel.registry import register
from ...placement.load_tracker import InFlightRequest, LoadTracker, engines_of
from ...placement.prefill_time import prefill_time_left
from .endpoint_health import EndpointHealth
from .fleet_view import FleetView
from .home_regions import HomeRegions
from .placing import WorkPlacer
from .retrying import BudgetedRetry
from .stall_timeouts import caller_timeout

MIN_TIME_LEFT = timedelta(milliseconds=300)
"""Minimum time that another endpoint needs to start a response."""

MAX_PREFILL_MS = 250.0
"""Maximum prefill backlog of another endpoint for a move to pay off."""


@register("silence-watch")
class SilenceWatch(Plugin):
    """Retries a stalled attempt at another endpoint.

    An endpoint that lost power, hangs, or runs a prefill so long that its streams stall
    sends nothing; the caller would wait until it disconnects and its request be lost.
    A repeatable request is moved if an endpoint has capacity and the retry policy
    allows it; otherwise the attempt continues. A response that has started is ended
    only if the placer could resume it elsewhere immediately, as the caller would be
    cut off otherwise.

    The attempt also continues if the prefill assigned to the engine explains the stall
    and ends before the caller disconnects, provided that the engine's zone has answered
    meanwhile: behind a network partition all engines are silent. Restarting a long
    prompt elsewhere costs the engines that repeat its prefill seconds; their streams
    stall, are moved in turn, and amplify the overload.
    """

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.retry: BudgetedRetry | None = None
        self.homes = HomeRegions()
        self.placer: WorkPlacer | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.fleet = find(FleetView)
        self.retry = find(BudgetedRetry)
        self.homes = find(HomeRegions) or self.homes
        self.placer = find(WorkPlacer)

    @property
    def load_tracker(self) -> LoadTracker:
        """In-flight requests of all instances."""
        return self.placer.load_tracker if self.placer is not None else LoadTracker()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """End or keep a stalled attempt."""

    @handle.register
    def _(self, message: AttemptSilent, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is None or record.state is not RequestState.RUNNING:
            return
        if record.current is None or record.current.number != message.attempt:
            return
        if self._explained_by_prefill(record, message, context):
            return
        failure = stalled_failure(record, message)
        if self._better_elsewhere(record, failure, context):
            context.emit(EndSilentAttempt(failure))

    def _explained_by_prefill(
        self, record: RequestRecord, message: AttemptSilent, context: Context
    ) -> bool:
        """Return whether pending prefill explains the stall and ends in time."""
        work = self.load_tracker.own.get(record.request_id)
        if work is None or self.fleet is None:
            return False
        if not self.fleet.zone_answered_since(
            work.host, context.now - message.silence / 2
        ):
            return False
        explained = max(
            prefill_time_left(
                engine, self.load_tracker.requests_on(engine), context.now
            )
            for engine in awaited_engines(work)
        )
        left = caller_time_left(record, message, context.now)
        return timedelta(0) < explained < left - MIN_TIME_LEFT

    def _better_elsewhere(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> bool:
        if record.request.repeatability is Repeatability.NON_IDEMPOTENT:
            return False
        if self.fleet is None or self.retry is None:
            return False
        if self.retry.give_up_reason(record, failure, context.now) is not None:
            return False
        if record.has_received_token and not self._would_resume_elsewhere(
            record, context
        ):
            return False
        tried = {attempt.endpoint for attempt in record.attempts}
        return any(
            health.listed.endpoint not in tried
            and self._accepts_now(health, context.now)
            for health in self.homes.endpoints_for(record.request)
        )

    def _would_resume_elsewhere(self, record: RequestRecord, context: Context) -> bool:
        """Return whether a started response could be resumed elsewhere immediately.

        A free slot elsewhere is not sufficient: the request might be rejected by the
        placer or wait behind older calls until its deadline. The stream would then be
        cut although its endpoint is healthy and the stall would have ended by itself.
        """
        return self.placer is None or self.placer.could_place_elsewhere(record, context)

    def _accepts_now(self, health: EndpointHealth, now: timedelta) -> bool:
        """Return whether an endpoint would start another call immediately.

        If all endpoints are full, the call would only wait and lose its progress.
        """
        if not health.usable(now) or health.suspect(now):
            return False
        endpoint = health.listed.endpoint
        if self.load_tracker.estimated_running(endpoint, now) >= health.listed.slots:
            return False
        load = self.load_tracker.load(endpoint, now)
        return load.prefill_backlog_ms <= MAX_PREFILL_MS


def awaited_engines(work: InFlightRequest) -> set[EndpointId]:
    """Return the engines whose prefill delays the next event of a call."""
    return engines_of(work) if work.first_token_at is None else {work.host}


def caller_time_left(
    record: RequestRecord, message: AttemptSilent, now: timedelta
) -> timedelta:
    """Return how much longer the caller waits for the next event."""
    until_deadline = record.request.deadline - now
    terms = record.request.terms
    if terms is None or not terms.streams:
        return until_deadline
    return min(until_deadline, caller_timeout(terms) - message.silence)


def stalled_failure(record: RequestRecord, message: AttemptSilent) -> AttemptFailed:
    """Return the failure message for a stalled attempt."""
    assert record.current is not None
    return AttemptFailed(
        record.request_id,
        message.attempt,
        FailureKind.STALLED,
        Exposure.POSSIBLE,
        endpoint=record.current.endpoint,
        digest=record.request.body_digest,
    )

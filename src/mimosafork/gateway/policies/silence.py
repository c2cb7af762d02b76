"""What follows when an endpoint is silent for long while it runs a call."""

from datetime import timedelta
from functools import singledispatchmethod

from ...ids import EndpointId, ServiceId
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
from .fleet_view import EndpointHealth, FleetView
from .placing import WorkPlacer
from .retrying import BudgetedRetry
from .stall_timeouts import caller_timeout

MIN_TIME_LEFT = timedelta(milliseconds=300)
"""Time that another endpoint needs to begin an answer, at the least."""

MAX_PREFILL_MS = 250.0
"""Reading that another endpoint may have before it, to be worth a move."""


@register("silence-watch")
class SilenceWatch(Plugin):
    """Tries another endpoint when the present one is silent.

    An endpoint that has gone dark, hangs, or is busy with a prompt so long that its
    streams stand still, sends nothing: the caller would wait until it leaves, and
    its request be lost. What may run again goes elsewhere, if there is an endpoint
    with room and the retry policy has no objection; otherwise the attempt goes on. An
    answer that has begun is ended only if the placer would have it go on elsewhere at
    once, as its caller would be cut off without one.

    It goes on too where the reading that instances have promised the engine explains
    its silence, and ends before the caller leaves, if the zone of the engine was heard
    meanwhile: behind a cut all are silent, whatever they read. A long prompt that is
    begun anew elsewhere takes seconds from all engines that read it a second time;
    their streams fall silent by it, are moved in their turn, and feed the overload.
    """

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.retry: BudgetedRetry | None = None
        self.placer: WorkPlacer | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Keep the plug-ins that are asked."""
        self.fleet = find(FleetView)
        self.retry = find(BudgetedRetry)
        self.placer = find(WorkPlacer)

    @property
    def load_tracker(self) -> LoadTracker:
        """The running work of all instances."""
        return self.placer.load_tracker if self.placer is not None else LoadTracker()

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Decide about a silent attempt."""

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
        """Return whether promised reading explains the silence, and ends in time."""
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
        service = ServiceId(record.request.target)
        tried = {attempt.endpoint for attempt in record.attempts}
        return any(
            belief.listed.endpoint not in tried
            and self._accepts_now(belief, context.now)
            for belief in self.fleet.service_endpoints(service)
        )

    def _would_resume_elsewhere(self, record: RequestRecord, context: Context) -> bool:
        """Return whether an answer that has begun would be made again at once.

        Guard: ended for a pause and then refused a place, or left to wait behind older
        calls until its time was over, it was cut in the middle, though its endpoint
        was sound and the pause would have ended by itself. A free slot elsewhere says
        nothing of either, so the placer is asked before the attempt is ended.
        """
        return self.placer is None or self.placer.could_place_elsewhere(record, context)

    def _accepts_now(self, belief: EndpointHealth, now: timedelta) -> bool:
        """Return whether an endpoint would begin with a further call at once.

        Where all are full the call would only wait, and lose what it has.
        """
        if not belief.usable(now) or belief.suspect(now):
            return False
        endpoint = belief.listed.endpoint
        if self.load_tracker.estimated_running(endpoint, now) >= belief.listed.slots:
            return False
        load = self.load_tracker.load(endpoint, now)
        return load.prefill_backlog_ms <= MAX_PREFILL_MS


def awaited_engines(work: InFlightRequest) -> set[EndpointId]:
    """Return the engines whose reading a call's next event waits for."""
    return engines_of(work) if work.first_token_at is None else {work.host}


def caller_time_left(
    record: RequestRecord, message: AttemptSilent, now: timedelta
) -> timedelta:
    """Return how long a call's caller will stay without a further event."""
    until_deadline = record.request.deadline - now
    terms = record.request.terms
    if terms is None or not terms.streams:
        return until_deadline
    return min(until_deadline, caller_timeout(terms) - message.silence)


def stalled_failure(record: RequestRecord, message: AttemptSilent) -> AttemptFailed:
    """Return a silent attempt as a failed one."""
    assert record.current is not None
    return AttemptFailed(
        record.request_id,
        message.attempt,
        FailureKind.STALLED,
        Exposure.POSSIBLE,
        endpoint=record.current.endpoint,
        digest=record.request.body_digest,
    )

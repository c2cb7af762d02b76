"""What follows when an endpoint is silent for long while it runs a call."""

from datetime import timedelta
from functools import singledispatchmethod

from ...ids import ServiceId
from ...kernel.context import Context
from ...kernel.messages.attempts import (
    AttemptFailed,
    AttemptSilent,
    EndSilentAttempt,
    Exposure,
    FailureKind,
)
from ...kernel.messages.base import Message
from ...kernel.messages.dispatch import Patience
from ...kernel.messages.requests import Repeatability, Request
from ...kernel.plugins import Plugin, PluginFinder
from ...kernel.records import RequestRecord, RequestState
from ...kernel.registry import register
from .fleet_view import FleetView
from .retrying import BudgetedRetry

SHORTEST_GIVE_UP = timedelta(seconds=2)
GIVE_UP_OBJECTIVES = 4
GIVE_UP_PAUSES = 8
"""A stream's caller leaves after the longest of the time above, so many objectives
and so many of the longest pauses without an event."""

STREAM_SHARE = 0.45
"""Share of that time after which another endpoint is tried: it leaves as long for
the second answer to begin."""

CALL_OBJECTIVES = 2
"""A plain call is tried elsewhere after so many objectives."""

SHORTEST_CALL = timedelta(milliseconds=200)


@register("silence-watch")
class SilenceWatch(Plugin):
    """Tries another endpoint when the present one is silent.

    An endpoint that has gone dark, hangs, or is busy with a prompt so long that its
    streams stand still, sends nothing: the caller would wait until it leaves, and
    its request be lost. What may run again goes elsewhere, if there is an endpoint
    and the retry policy has no objection; otherwise the attempt simply goes on.
    """

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.retry: BudgetedRetry | None = None

    def join(self, find: PluginFinder) -> None:
        """Keep the plug-ins that are asked."""
        self.fleet = find(FleetView)
        self.retry = find(BudgetedRetry)

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
        failure = failure_of(record, message)
        if self._better_elsewhere(record, failure, context):
            context.emit(EndSilentAttempt(failure))

    def _better_elsewhere(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> bool:
        if record.request.repeatability is Repeatability.NON_IDEMPOTENT:
            return False
        if self.fleet is None or self.retry is None:
            return False
        if self.retry.objection(record, failure, context.now) is not None:
            return False
        service = ServiceId(record.request.target)
        tried = {attempt.endpoint for attempt in record.attempts}
        return any(
            belief.usable(context.now)
            and not belief.suspect(context.now)
            and belief.listed.endpoint not in tried
            for belief in self.fleet.of_service(service)
        )


def failure_of(record: RequestRecord, message: AttemptSilent) -> AttemptFailed:
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


def patience_of(request: Request) -> Patience | None:
    """Return how long an attempt of a request may be silent."""
    terms = request.terms
    if terms is None or request.repeatability is Repeatability.NON_IDEMPOTENT:
        return None
    if terms.streams:
        pause = terms.longest_pause or timedelta(0)
        gives_up = max(
            SHORTEST_GIVE_UP,
            terms.objective * GIVE_UP_OBJECTIVES,
            pause * GIVE_UP_PAUSES,
        )
        return Patience(gives_up * STREAM_SHARE, gives_up * STREAM_SHARE)
    objective = max(SHORTEST_CALL, terms.objective * CALL_OBJECTIVES)
    return Patience(objective, objective)

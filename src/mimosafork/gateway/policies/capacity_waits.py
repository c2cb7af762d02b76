"""Calls that wait for capacity, and those that have waited too long or would."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from ...ids import RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.plugins import Placement, Refuse, Wait
from ...kernel.records import RequestRecord
from ...placement.choice import Shortage, WaitForCapacity
from .backoff_waits import first_backoff_end, refuse_until
from .endpoint_health import EndpointHealth
from .placement_requests import MAX_WAIT_SHARE, RETRY_AFTER, overloaded_problem
from .rate_limit_waits import rate_limit_wait
from .send_permits import SendPermits

SCHEDULED = frozenset(
    each.value for each in (Shortage.TURN, Shortage.BACKOFF, Shortage.RATE)
)
"""Reasons of a wait that ends at a known instant or when others have had their turn."""


def usual_latest_wait(
    record: RequestRecord, since: timedelta, reason: Shortage
) -> timedelta:
    """Return the end of a share of the call's time."""
    allowed = record.request.deadline - record.submitted_at
    return since + allowed * MAX_WAIT_SHARE


def usual_retry_after(record: RequestRecord) -> timedelta:
    """Return the same delay for all calls."""
    return RETRY_AFTER


class CapacityWaits:
    """Decides whether a call that cannot be placed now waits or is refused.

    Attributes
    ----------
    permits : SendPermits
    since : dict of RequestId to timedelta
        Monotonic instant since which each call waits.
    scheduled : set of RequestId
        Calls that wait for their turn or a known instant.
    latest_wait : callable
        Returns until when a call may wait, by the start of its wait and the shortage.
    retry_after : callable
        Returns the retry delay of a call that has waited too long.
    """

    def __init__(self) -> None:
        self.permits = SendPermits()
        self.since: dict[RequestId, timedelta] = {}
        self.scheduled: set[RequestId] = set()
        self.latest_wait: Callable[[RequestRecord, timedelta, Shortage], timedelta] = (
            usual_latest_wait
        )
        self.retry_after: Callable[[RequestRecord], timedelta] = usual_retry_after

    def forget(self, request_id: RequestId) -> None:
        """Forget the wait of a call that was placed or has ended."""
        self.since.pop(request_id, None)
        self.scheduled.discard(request_id)

    def decide(
        self,
        record: RequestRecord,
        choice: WaitForCapacity,
        endpoints: Sequence[EndpointHealth],
        context: Context,
    ) -> Placement:
        """Let a call wait, or refuse it if it has waited too long or would."""
        decision = self._decide(record, choice, endpoints, context)
        if isinstance(decision, Wait) and decision.reason in SCHEDULED:
            self.scheduled.add(record.request_id)
        else:
            self.scheduled.discard(record.request_id)
        return decision

    def _decide(
        self,
        record: RequestRecord,
        choice: WaitForCapacity,
        endpoints: Sequence[EndpointHealth],
        context: Context,
    ) -> Placement:
        """Let a call wait, or refuse it.

        Only time in the queue counts: otherwise a stream that breaks late while all
        engines are full would be rejected at once with time left. A call that yields to
        others in turn is not rejected, as it can start at any moment.
        """
        if choice.reason is Shortage.TURN:
            return Wait(choice.reason.value)
        now = context.now
        since = self.since.setdefault(record.request_id, now)
        latest = self.latest_wait(record, since, choice.reason)
        if now > latest:
            delay = self.retry_after(record)
            return Refuse(overloaded_problem(choice.reason.value, delay))
        end = first_backoff_end(endpoints, now)
        if end is not None:
            if end > latest:
                return refuse_until(end, now)
            return Wait(Shortage.BACKOFF.value)
        if not self.permits.may_hold_back(now):
            return Wait(choice.reason.value)
        return self._wait_for_permit(record, choice, endpoints, latest, context)

    def _wait_for_permit(
        self,
        record: RequestRecord,
        choice: WaitForCapacity,
        endpoints: Sequence[EndpointHealth],
        latest: timedelta,
        context: Context,
    ) -> Placement:
        """Refuse a call at once if no permit is left for it in time."""
        now = context.now
        views = [each.view(now) for each in endpoints]
        queue = context.state.waiting.waiting_for(ServiceId(record.request.target))
        before = [self.since.get(each.request_id) for each in queue]
        since = self.since[record.request_id]
        ahead = sum(at is not None and at < since for at in before)
        wait = rate_limit_wait(views, self.permits.sources(views, now), ahead, now)
        if wait is None:
            return Wait(choice.reason.value)
        if wait.until is None or wait.until > latest:
            reason = self.permits.note_refused(views, now)
            return Refuse(overloaded_problem(reason.value, wait.retry_after))
        return Wait(Shortage.RATE.value)

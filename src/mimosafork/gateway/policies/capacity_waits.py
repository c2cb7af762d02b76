"""Calls that wait for capacity, and those that have waited too long or would."""

from collections.abc import Sequence
from datetime import timedelta

from ...ids import RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.plugins import Placement, Refuse, Wait
from ...kernel.records import RequestRecord
from ...placement.choice import Shortage, WaitForCapacity
from .backoff_waits import first_backoff_end, refuse_until
from .fleet_view import EndpointHealth
from .placement_requests import MAX_WAIT_SHARE, RETRY_AFTER, overloaded_problem
from .rate_limit_waits import rate_limit_wait
from .send_permits import SendPermits


class CapacityWaits:
    """Decides whether a call that cannot be placed now waits or is refused.

    Attributes
    ----------
    permits : SendPermits
    since : dict of RequestId to timedelta
        Monotonic instant since which each call waits.
    """

    def __init__(self) -> None:
        self.permits = SendPermits()
        self.since: dict[RequestId, timedelta] = {}

    def forget(self, request_id: RequestId) -> None:
        """Forget the wait of a call that was placed or has ended."""
        self.since.pop(request_id, None)

    def decide(
        self,
        record: RequestRecord,
        choice: WaitForCapacity,
        endpoints: Sequence[EndpointHealth],
        context: Context,
    ) -> Placement:
        """Let a call wait, or refuse it if it has waited too long or would.

        Only time in the queue counts: otherwise a stream that breaks late while all
        engines are full would be rejected at once with time left. A call that yields to
        others in turn is not rejected, as it can start at any moment.
        """
        if choice.reason is Shortage.TURN:
            return Wait(choice.reason.value)
        now = context.now
        since = self.since.setdefault(record.request_id, now)
        allowed = record.request.deadline - record.submitted_at
        latest = since + allowed * MAX_WAIT_SHARE
        if now > latest:
            return Refuse(overloaded_problem(choice.reason.value, RETRY_AFTER))
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

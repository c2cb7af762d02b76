"""Refusal of calls that would wait too long for a permit."""

from typing import ClassVar

from ...ids import ServiceId
from ...kernel.context import Context
from ...kernel.plugins import PluginFinder, Proceed, Refuse, ReviewDecision, Stage
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from .home_regions import HomeRegions
from .placement_requests import MAX_WAIT_SHARE, overloaded_problem
from .rate_limit_waits import rate_limit_wait
from .send_permits import SendPermits


@register("rate-limit-admission")
class RateLimitAdmission(Stage):
    """Refuses a new call if the calls before it leave it no permit in time.

    Otherwise its caller would wait for nothing.
    """

    order: ClassVar[int] = 60

    def __init__(self) -> None:
        self.homes: HomeRegions | None = None
        self.permits = SendPermits()

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.homes = find(HomeRegions)
        self.permits = SendPermits.of(find)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Return the decision on a new call."""
        now = context.now
        if self.homes is None or not self.permits.may_hold_back(now):
            return Proceed()
        service = ServiceId(record.request.target)
        views = [each.view(now) for each in self.homes.endpoints_for(record.request)]
        ahead = len(context.state.waiting.waiting_for(service))
        wait = rate_limit_wait(views, self.permits.sources(views, now), ahead, now)
        allowed = (record.request.deadline - now) * MAX_WAIT_SHARE
        if wait is None or (wait.until is not None and wait.until <= now + allowed):
            return Proceed()
        reason = self.permits.note_refused(views, now)
        return Refuse(overloaded_problem(reason.value, wait.retry_after))

"""Refusal of calls that would wait too long for a rate limit."""

from typing import ClassVar

from ...ids import ServiceId
from ...kernel.context import Context
from ...kernel.plugins import PluginFinder, Proceed, Refuse, ReviewDecision, Stage
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...placement.choice import Shortage
from .home_regions import HomeRegions
from .placement_requests import MAX_WAIT_SHARE, overloaded_problem
from .rate_limit_waits import rate_limit_wait
from .rate_limits import EndpointRateLimits


@register("rate-limit-admission")
class RateLimitAdmission(Stage):
    """Refuses a new call if the calls before it leave it no permit in time.

    Otherwise its caller would wait for nothing.
    """

    order: ClassVar[int] = 60

    def __init__(self) -> None:
        self.homes: HomeRegions | None = None
        self.limits: EndpointRateLimits | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.homes = find(HomeRegions)
        self.limits = find(EndpointRateLimits)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Return the decision on a new call."""
        if self.homes is None or self.limits is None or not self.limits.limited:
            return Proceed()
        service, now = ServiceId(record.request.target), context.now
        views = [each.view(now) for each in self.homes.endpoints_for(record.request)]
        shares = [self.limits.limit(view.endpoint, now) for view in views]
        ahead = len(context.state.waiting.waiting_for(service))
        wait = rate_limit_wait(views, shares, ahead, now)
        allowed = (record.request.deadline - now) * MAX_WAIT_SHARE
        if wait is None or (wait.until is not None and wait.until <= now + allowed):
            return Proceed()
        return Refuse(overloaded_problem(Shortage.RATE.value, wait.retry_after))

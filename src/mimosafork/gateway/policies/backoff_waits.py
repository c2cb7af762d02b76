"""Calls that wait for the end of backoffs, and those that would wait too long."""

from collections.abc import Sequence
from datetime import timedelta
from typing import ClassVar

from ...kernel.context import Context
from ...kernel.plugins import PluginFinder, Proceed, Refuse, ReviewDecision, Stage
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...placement.choice import Shortage
from .endpoint_health import EndpointHealth
from .home_regions import HomeRegions
from .placement_requests import MAX_WAIT_SHARE, overloaded_problem


def first_backoff_end(
    endpoints: Sequence[EndpointHealth], now: timedelta
) -> timedelta | None:
    """Return when the first backoff ends, None unless all endpoints are in one."""
    if not all(each.backoff.active(now) for each in endpoints):
        return None
    return min((each.backoff.ends_at for each in endpoints), default=None)


def refuse_until(end: timedelta, now: timedelta) -> Refuse:
    """Return the refusal of a call that cannot wait for the end of a backoff."""
    return Refuse(overloaded_problem(Shortage.BACKOFF.value, end - now))


@register("backoff-admission")
class BackoffAdmission(Stage):
    """Refuses a new call if no endpoint leaves its backoff in time.

    Otherwise its caller would wait for nothing.
    """

    order: ClassVar[int] = 61

    def __init__(self) -> None:
        self.homes: HomeRegions | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.homes = find(HomeRegions)

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Return the decision on a new call."""
        if self.homes is None:
            return Proceed()
        now = context.now
        end = first_backoff_end(self.homes.endpoints_for(record.request), now)
        allowed = (record.request.deadline - now) * MAX_WAIT_SHARE
        if end is None or end <= now + allowed:
            return Proceed()
        return refuse_until(end, now)

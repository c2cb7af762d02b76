"""Permits that a request needs to be sent to an endpoint."""

from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta
from typing import Protocol

from ...ids import EndpointId, RequestId
from ...kernel.messages.attempts import FailureKind
from ...kernel.messages.dispatch import Dispatch
from ...kernel.plugins import PluginFinder
from ...placement.choice import EngineView, Shortage
from .cold_endpoints import ColdEndpoints
from .rate_limits import EndpointRateLimits


class PermitSource(Protocol):
    """Permits of this instance for one endpoint."""

    @property
    def per_s(self) -> float:
        """Requests per second that all instances together send in the long run."""

    def next_sends(self, now: timedelta) -> list[timedelta]:
        """Return when the next requests may be placed, in order."""


class BothPermits:
    """Permits for an endpoint that has a rate limit and may be cold."""

    def __init__(self, first: PermitSource, second: PermitSource) -> None:
        self.first = first
        self.second = second

    @property
    def per_s(self) -> float:
        """Requests per second that all instances together send in the long run."""
        return min(self.first.per_s, self.second.per_s)

    def next_sends(self, now: timedelta) -> list[timedelta]:
        """Return when the next requests may be placed, in order."""
        pairs = zip(
            self.first.next_sends(now), self.second.next_sends(now), strict=False
        )
        return [max(pair) for pair in pairs]


class SendPermits:
    """Permits by the rate limits that endpoints state, and by the bound of cold ones.

    A request needs both where both apply.

    Parameters
    ----------
    rate_limits : EndpointRateLimits or None
    cold : ColdEndpoints or None
        Without any of them, one that limits nothing is used.
    """

    def __init__(
        self,
        rate_limits: EndpointRateLimits | None = None,
        cold: ColdEndpoints | None = None,
    ) -> None:
        self.rate_limits = rate_limits or EndpointRateLimits()
        self.cold = cold or ColdEndpoints()

    @classmethod
    def of(cls, find: PluginFinder) -> "SendPermits":
        """Return the permits of a kernel's plug-ins."""
        return cls(find(EndpointRateLimits), find(ColdEndpoints))

    def may_hold_back(self, now: timedelta) -> bool:
        """Return whether any endpoint is used only with a permit."""
        return bool(self.rate_limits.limited) or self.cold.may_hold_back(now)

    def eligible(
        self, views: Sequence[EngineView], now: timedelta
    ) -> Sequence[EngineView]:
        """Return the views, with what the permits allow now."""
        return self.cold.eligible(self.rate_limits.eligible(views, now), now)

    def reserve(self, request_id: RequestId, endpoint: EndpointId) -> None:
        """Keep permits for a call that is placed on an endpoint."""
        self.rate_limits.reserve(request_id, endpoint)
        self.cold.reserve(request_id, endpoint)

    def release(self, request_id: RequestId) -> None:
        """Give up the permits of a call that is not sent."""
        self.rate_limits.release(request_id)
        self.cold.release(request_id)

    def objection(self, dispatch: Dispatch, now: timedelta) -> FailureKind | None:
        """Count a request that is about to be sent; return why it may not be."""
        if not self.cold.allows(dispatch, now):
            self.rate_limits.release(dispatch.request_id)
            return FailureKind.COLD
        if not self.rate_limits.admit(dispatch, now):
            return FailureKind.RATE_LIMITED
        self.cold.admit(dispatch, now)
        return None

    def source(self, endpoint: EndpointId, now: timedelta) -> PermitSource | None:
        """Return the permits without which an endpoint isn't used; None if it is."""
        limited = self.rate_limits.limit(endpoint, now)
        cold = self.cold.permits(endpoint, now)
        if limited is not None and cold is not None:
            return BothPermits(limited, cold)
        return limited or cold

    def sources(
        self, views: Iterable[EngineView], now: timedelta
    ) -> Iterator[PermitSource | None]:
        """Return the permits for each of some endpoints."""
        return (self.source(view.endpoint, now) for view in views)

    def note_refused(self, views: Iterable[EngineView], now: timedelta) -> Shortage:
        """Return why no permit is left in time, and count it if endpoints are cold."""
        usable = (view.endpoint for view in views if view.usable)
        if not any(self.cold.may_be_cold(each, now) for each in usable):
            return Shortage.RATE
        self.cold.refused += 1
        return Shortage.COLD

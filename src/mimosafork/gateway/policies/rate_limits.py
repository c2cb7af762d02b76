"""Rate limits that endpoints state for all instances together."""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from functools import singledispatchmethod

from msgspec.structs import replace

from ...ids import EndpointId, RequestId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed
from ...kernel.messages.base import Message
from ...kernel.messages.dispatch import Dispatch
from ...kernel.messages.rate_limits import (
    LimitStatement,
    PeerRateLimitStated,
    PublishRateLimit,
    RateLimitStated,
    RateLimitUnreadable,
)
from ...kernel.messages.routing import EndpointLeaving, EndpointUsable
from ...kernel.plugins import PlacementFailed, Plugin, RequestConcluded
from ...kernel.registry import register
from ...placement.choice import EngineView
from ...placement.load_tracker import InFlightRequest
from .fleet_allowance import fleet_allowance
from .limited_endpoint import LimitedEndpoint
from .rate_limit_log import RateLimitLog
from .retry_budget import SlackShare

SHARE_REFRESH = timedelta(milliseconds=250)
"""A share changes only as instances join the fleet or are forgotten."""

PUBLISH_INTERVAL = timedelta(seconds=1)
"""Interval at which a confirmed statement is published again."""

END_REPEATED = timedelta(seconds=10)
"""Time for which the end of a limit is published again, for instances that received
the first publication too early to be sure that it is newer than what they know."""


def single_share(endpoint: EndpointId) -> SlackShare:
    """Return the share of an instance that is alone."""
    return SlackShare()


@register("rate-limits")
class EndpointRateLimits(Plugin):
    """Keeps the fleet within the rate limits that endpoints state.

    Each instance has a fixed share of a limit, so that the shares add up to no more
    than the limit however late or lost any update of peers is. Peers learn of limits
    from each other only to apply them earlier and to end them.

    Attributes
    ----------
    statements : dict of EndpointId to LimitStatement
        Latest statement of each endpoint that has stated a limit.
    limited : dict of EndpointId to LimitedEndpoint
        Endpoints whose latest statement is a limit.
    started_ms : dict of EndpointId to int or None
        Start of the incarnation that each statement belongs to.
    share_of : callable
        Returns this instance's share of an endpoint's limit.
    in_flight : mapping of RequestId to InFlightRequest
        Own requests.
    """

    def __init__(self) -> None:
        self.statements: dict[EndpointId, LimitStatement] = {}
        self.limited: dict[EndpointId, LimitedEndpoint] = {}
        self.reservations: dict[RequestId, EndpointId] = {}
        self.shares_due: dict[EndpointId, timedelta] = {}
        self.published_at: dict[EndpointId, timedelta] = {}
        self.ended_at: dict[EndpointId, timedelta] = {}
        self.started_ms: dict[EndpointId, int | None] = {}
        self.share_of: Callable[[EndpointId], SlackShare] = single_share
        self.in_flight: Mapping[RequestId, InFlightRequest] = {}
        self.log = RateLimitLog()

    def tracks(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint has stated a limit."""
        return endpoint in self.statements

    def limit(self, endpoint: EndpointId, now: timedelta) -> LimitedEndpoint | None:
        """Return the share of an endpoint's limit, None if it has no limit."""
        limited = self.limited.get(endpoint)
        if limited is not None and now >= self.shares_due[endpoint]:
            self.shares_due[endpoint] = now + SHARE_REFRESH
            limited.divide(self.share_of(endpoint), now)
        return limited

    def eligible(
        self, views: Sequence[EngineView], now: timedelta
    ) -> Sequence[EngineView]:
        """Return the views, without those that may receive no request now."""
        if not self.limited:
            return views
        return [self._eligible_view(view, now) for view in views]

    def _eligible_view(self, view: EngineView, now: timedelta) -> EngineView:
        limited = self.limit(view.endpoint, now)
        if limited is None:
            return view
        usable = view.usable and limited.available(now)
        return replace(view, usable=usable, rate_limited=True)

    def reserve(self, request_id: RequestId, endpoint: EndpointId) -> None:
        """Keep a place in the share for a call that is placed on an endpoint."""
        self.release(request_id)
        limited = self.limited.get(endpoint)
        if limited is not None:
            limited.reserved.add(request_id)
            self.reservations[request_id] = endpoint

    def release(self, request_id: RequestId) -> None:
        """Give up the place of a call that is not sent."""
        endpoint = self.reservations.pop(request_id, None)
        limited = None if endpoint is None else self.limited.get(endpoint)
        if limited is not None:
            limited.reserved.discard(request_id)

    def admit(self, dispatch: Dispatch, now: timedelta) -> bool:
        """Count an attempt that is about to be sent; return whether it may be.

        A limit may have begun or fallen since the attempt was placed.
        """
        endpoint = dispatch.endpoint
        self.reservations.pop(dispatch.request_id, None)
        limited = self.limit(endpoint, now)
        return limited is None or limited.send(dispatch.request_id, now)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Track statements, incarnations and the ends of calls."""

    @handle.register
    def _(self, message: RateLimitStated, context: Context) -> None:
        endpoint = message.endpoint
        if self._take(endpoint, message.statement, message.request_id, context):
            self._publish(endpoint, message.statement, context)

    @handle.register
    def _(self, message: PeerRateLimitStated, context: Context) -> None:
        self._take(message.endpoint, message.statement, None, context)

    def _take(
        self,
        endpoint: EndpointId,
        new: LimitStatement,
        answered: RequestId | None,
        context: Context,
    ) -> bool:
        """Apply a statement unless a newer one is known; return whether it applies."""
        held = self.statements.get(endpoint)
        if held is None and new.per_s is None:
            return False
        if held is not None and not new.supersedes(held):
            return False
        self.statements[endpoint] = new if held is None else new.merged_with(held)
        if held is None or held.per_s != new.per_s:
            self.published_at.pop(endpoint, None)
            self._apply(endpoint, new.per_s, answered, context)
            self._log_change(endpoint, held, new)
        return True

    def _apply(
        self,
        endpoint: EndpointId,
        per_s: float | None,
        answered: RequestId | None,
        context: Context,
    ) -> None:
        now = context.now
        if per_s is None:
            self.limited.pop(endpoint, None)
            self.ended_at[endpoint] = now
            return
        share = self.share_of(endpoint)
        self.shares_due[endpoint] = now + SHARE_REFRESH
        allowance = fleet_allowance(per_s)
        limited = self.limited.get(endpoint)
        if limited is not None:
            limited.change(allowance, share, now)
            return
        limited = LimitedEndpoint(allowance, share, now, context.random)
        self.limited[endpoint] = limited
        # Requests without a response may still be on their way to the endpoint.
        for each in self.in_flight.values():
            unanswered = each.first_token_at is None and each.request != answered
            if each.host == endpoint and unanswered:
                limited.count(now)

    def _publish(
        self, endpoint: EndpointId, statement: LimitStatement, context: Context
    ) -> None:
        now = context.now
        ended_at = self.ended_at.get(endpoint)
        if statement.per_s is None and (
            ended_at is None or now - ended_at > END_REPEATED
        ):
            return
        published_at = self.published_at.get(endpoint)
        if published_at is None or now - published_at >= PUBLISH_INTERVAL:
            self.published_at[endpoint] = now
            context.emit(PublishRateLimit(endpoint, statement))

    @handle.register
    def _(self, message: RateLimitUnreadable, context: Context) -> None:
        self.log.unreadable(message.endpoint, context.now)

    @handle.register
    def _(self, message: EndpointUsable, context: Context) -> None:
        listed = message.listed
        if listed.started_after(self.started_ms.get(listed.endpoint)):
            self._forget(listed.endpoint)
        self.started_ms[listed.endpoint] = listed.started_ms

    @handle.register
    def _(self, message: EndpointLeaving, context: Context) -> None:
        if message.final:
            self._forget(message.endpoint)

    def _forget(self, endpoint: EndpointId) -> None:
        """Forget an incarnation of an endpoint; the next one starts without a limit."""
        for known in (
            self.statements,
            self.limited,
            self.shares_due,
            self.published_at,
            self.ended_at,
            self.started_ms,
        ):
            known.pop(endpoint, None)

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        self.release(message.request_id)

    @handle.register
    def _(self, message: PlacementFailed, context: Context) -> None:
        self.release(RequestId(message.request_id))

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self.release(message.record.request_id)

    def _log_change(
        self,
        endpoint: EndpointId,
        before: LimitStatement | None,
        new: LimitStatement,
    ) -> None:
        former = None if before is None else before.per_s
        limited = self.limited.get(endpoint)
        if limited is None:
            self.log.ended(endpoint, former)
            return
        self.log.changed(endpoint, former, limited)

"""Endpoints that accept only a low request rate while they are cold."""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from functools import singledispatchmethod
from random import Random

from ...ids import EndpointId, RequestId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed, FailureKind
from ...kernel.messages.base import Message
from ...kernel.messages.cold_endpoints import ColdReviewDue
from ...kernel.messages.connectivity import ConnectionProbed
from ...kernel.messages.dispatch import Dispatch
from ...kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
    ZoneEvacuationEnded,
)
from ...kernel.plugins import PlacementFailed, Plugin, RequestConcluded
from ...kernel.registry import register
from ...placement.choice import EngineView
from ...routing.listing import ListedEndpoint
from ...routing.table import RoutingTable, Service
from .cold_endpoint import ColdEndpoint, ColdReason
from .cold_log import ColdLog
from .fleet_allowance import cold_allowance
from .limited_endpoint import LimitedEndpoint
from .rate_limits import SHARE_REFRESH, single_share
from .retry_budget import SlackShare

REVIEW_INTERVAL = timedelta(seconds=1)

FIRST_LISTING = timedelta(seconds=1)
"""Time in which an instance receives the list of endpoints after its start.

These are not taken for new ones: their rows say whether they are cold. Otherwise an
instance would use only endpoints with a permit for seconds after each of its starts."""

ABSENCE_RETENTION = timedelta(minutes=1)
"""Time for which an endpoint that has left is remembered; its requests count for a
little more than a second."""

START_FAILURES = frozenset({FailureKind.UNREACHED, FailureKind.BROKEN})
"""Failures that an endpoint causes which crashes and starts again."""


def never_unconfirmed() -> bool:
    """Return False: the list of endpoints is confirmed."""
    return False


@register("cold-endpoints")
class ColdEndpoints(Plugin):
    """Keeps the fleet within what endpoints accept that may be cold.

    Each instance has a fixed share of the requests of one second, so that the shares
    add up to no more than an endpoint accepts, however late or lost any update is. An
    endpoint that may be cold is used only with a permit. One that is known to be warm
    is used beyond the permits too; these requests are counted, so that no permit is
    left if it becomes cold.

    Attributes
    ----------
    factor : float or None
        Requests that a cold endpoint gets in a second at most, as a multiple of the
        rate of its service; None disables the bound.
    slack : float
        Requests that it may get beyond that.
    bounded : dict of EndpointId to ColdEndpoint
        Endpoints of services that state a rate for cold endpoints.
    listed : dict of EndpointId to ListedEndpoint
        All endpoints in use.
    first_listing_end : timedelta or None
        Monotonic instant; None before the first endpoint.
    new_since : dict of EndpointId to timedelta
        When endpoints, or incarnations, were listed that came later.
    share_of : callable
        Returns this instance's share of what an endpoint accepts.
    unconfirmed : callable
        Returns whether the list of endpoints could not be confirmed recently.
    evidence_until : timedelta
        Monotonic instant at which the latest evidence of any endpoint ends.
    refused : int
        Calls refused because endpoints may be cold.
    """

    def __init__(self) -> None:
        self.factor: float | None = None
        self.slack = 0.0
        self.table: RoutingTable | None = None
        self.listed: dict[EndpointId, ListedEndpoint] = {}
        self.bounded: dict[EndpointId, ColdEndpoint] = {}
        self.first_listing_end: timedelta | None = None
        self.new_since: dict[EndpointId, timedelta] = {}
        self.share_of: Callable[[EndpointId], SlackShare] = single_share
        self.unconfirmed: Callable[[], bool] = never_unconfirmed
        self.reservations: dict[RequestId, EndpointId] = {}
        self.evidence_until = timedelta(0)
        self.stated: set[EndpointId] = set()
        """Endpoints whose row says that they are cold."""
        self.refused = 0
        self.review_pending = False
        self.random = Random(0)
        self.log = ColdLog()

    def set_bound(self, factor: float | None, slack: float, now: timedelta) -> None:
        """Apply the bound of the settings."""
        if (factor, slack) != (self.factor, self.slack):
            self.factor, self.slack = factor, slack
            self._track_all(self.table, now)

    def may_be_cold(self, endpoint: EndpointId, now: timedelta) -> bool:
        """Return whether an endpoint is used only with a permit."""
        known = self.bounded.get(endpoint)
        if known is None:
            return False
        return known.reason(now) is not None or self.unconfirmed()

    def may_hold_back(self, now: timedelta) -> bool:
        """Return whether any endpoint may be cold."""
        if not self.bounded:
            return False
        return bool(self.stated) or now < self.evidence_until or self.unconfirmed()

    def enforced(self, now: timedelta) -> dict[EndpointId, ColdReason]:
        """Return the endpoints that may be cold, with the reason."""
        if not self.may_hold_back(now):
            return {}
        unconfirmed = ColdReason.UNCONFIRMED if self.unconfirmed() else None
        reasons = {
            endpoint: known.reason(now) or unconfirmed
            for endpoint, known in self.bounded.items()
            if known.gone_at is None
        }
        return {each: reason for each, reason in reasons.items() if reason is not None}

    def permits(self, endpoint: EndpointId, now: timedelta) -> LimitedEndpoint | None:
        """Return the permits for an endpoint that may be cold; None for others."""
        if not self.may_be_cold(endpoint, now):
            return None
        return self._permits_of(self.bounded[endpoint], now)

    def _permits_of(self, known: ColdEndpoint, now: timedelta) -> LimitedEndpoint:
        if now >= known.share_due:
            known.share_due = now + SHARE_REFRESH
            known.permits.divide(self.share_of(known.listed.endpoint), now)
        return known.permits

    def eligible(
        self, views: Sequence[EngineView], now: timedelta
    ) -> Sequence[EngineView]:
        """Return the views, with what the permits allow now.

        An endpoint that may be cold and has no free permit is not usable. A warm one
        without a free permit is used only if others would serve the call too late.
        """
        if not self.bounded:
            return views
        all_warm = not self.may_hold_back(now)
        unconfirmed = not all_warm and self.unconfirmed()
        derived = []
        for view in views:
            known = self.bounded.get(view.endpoint)
            if known is None:
                derived.append(view)
                continue
            free = self._permits_of(known, now).available(now)
            if all_warm:
                derived.append(view if free else known.unpermitted_view(view))
            else:
                derived.append(known.view(view, free, unconfirmed, now))
        return derived

    def reserve(self, request_id: RequestId, endpoint: EndpointId) -> None:
        """Keep a permit for a call that is placed on an endpoint."""
        if not self.bounded:
            return
        self.release(request_id)
        known = self.bounded.get(endpoint)
        if known is not None:
            known.permits.reserved.add(request_id)
            self.reservations[request_id] = endpoint

    def release(self, request_id: RequestId) -> None:
        """Give up the permit of a call that is not sent."""
        if not self.reservations:
            return
        endpoint = self.reservations.pop(request_id, None)
        known = None if endpoint is None else self.bounded.get(endpoint)
        if known is not None:
            known.permits.reserved.discard(request_id)

    def allows(self, dispatch: Dispatch, now: timedelta) -> bool:
        """Return whether an attempt may be sent now; gives up its reservation.

        The endpoint may have become cold since the attempt was placed.
        """
        if not self.bounded:
            return True
        self.release(dispatch.request_id)
        permits = self.permits(dispatch.endpoint, now)
        return permits is None or permits.available(now)

    def admit(self, dispatch: Dispatch, now: timedelta) -> bool:
        """Count an attempt that is about to be sent; return whether it may be."""
        if not self.allows(dispatch, now):
            return False
        known = self.bounded.get(dispatch.endpoint)
        if known is not None:
            self._permits_of(known, now).count(now)
        return True

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Record evidence, and track the endpoints and the ends of calls."""

    @handle.register
    def _(self, message: RoutingTableChanged, context: Context) -> None:
        before, self.table = self.table, message.table
        self._track_all(before, context.now)
        self._schedule_review(context)

    @handle.register
    def _(self, message: EndpointUsable, context: Context) -> None:
        listed, now = message.listed, context.now
        before = self.listed.get(listed.endpoint)
        self.listed[listed.endpoint] = listed
        if before is None or is_later_incarnation(listed, before):
            self._note_new(listed.endpoint, now)
        known = self.bounded.get(listed.endpoint)
        if known is None:
            self._track(listed, now)
        else:
            known.listed, known.gone_at = listed, None
            self._note_listed(known)
        self._update_evidence(listed.endpoint)
        self._schedule_review(context)

    @handle.register
    def _(self, message: EndpointLeaving, context: Context) -> None:
        self.listed.pop(message.endpoint, None)
        self.new_since.pop(message.endpoint, None)
        self.stated.discard(message.endpoint)
        known = self.bounded.get(message.endpoint)
        if known is not None:
            known.gone_at = context.now
        self._forget_gone(context.now)

    @handle.register
    def _(self, message: ZoneEvacuationEnded, context: Context) -> None:
        self._note(
            (
                endpoint
                for endpoint, known in self.bounded.items()
                if known.listed.zone == message.zone
            ),
            ColdReason.EVACUATED,
            context,
        )

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        self.release(message.request_id)
        if not self.bounded:
            return
        if message.endpoint is not None and message.kind in START_FAILURES:
            self._note([message.endpoint], ColdReason.FAILED, context)
        if message.fault_at is not None:
            self._note(self._named(message.fault_at), ColdReason.FAILED, context)

    def _named(self, name: str) -> list[EndpointId]:
        """Return the endpoints that another one names, by address or id."""
        return [
            endpoint
            for endpoint, known in self.bounded.items()
            if name in {known.listed.address, endpoint}
        ]

    @handle.register
    def _(self, message: ConnectionProbed, context: Context) -> None:
        if not message.opened:
            self._note([message.target.endpoint], ColdReason.FAILED, context)

    @handle.register
    def _(self, message: PlacementFailed, context: Context) -> None:
        self.release(RequestId(message.request_id))

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        self.release(message.record.request_id)

    @handle.register
    def _(self, message: ColdReviewDue, context: Context) -> None:
        self.review_pending = False
        self.log.update(self.enforced(context.now))
        self._schedule_review(context)

    def _schedule_review(self, context: Context) -> None:
        """Schedule the next review, while there is anything to review.

        Nothing else shows that the list of endpoints is no longer confirmed.
        """
        if self.bounded and not self.review_pending:
            self.review_pending = True
            context.wake_after(REVIEW_INTERVAL, ColdReviewDue())

    def _note(
        self, endpoints: Iterable[EndpointId], reason: ColdReason, context: Context
    ) -> None:
        for endpoint in endpoints:
            known = self.bounded.get(endpoint)
            if known is not None:
                known.note(reason, context.now)
                self._update_evidence(endpoint)
        self._schedule_review(context)

    def _update_evidence(self, endpoint: EndpointId) -> None:
        known = self.bounded.get(endpoint)
        if known is None:
            return
        self.evidence_until = max(self.evidence_until, known.evidence_until)
        if known.listed.cold_remaining > timedelta(0):
            self.stated.add(endpoint)
        else:
            self.stated.discard(endpoint)

    def _service_of(self, listed: ListedEndpoint) -> Service | None:
        """Return an endpoint's service if it states a rate for cold endpoints."""
        if self.factor is None or self.table is None:
            return None
        service = self.table.services.get(listed.service)
        return service if service is not None and service.has_cold_limit else None

    def _track_all(self, before: RoutingTable | None, now: timedelta) -> None:
        """Apply the bound and the rates in force to all endpoints.

        Parameters
        ----------
        before : RoutingTable or None
            The former configuration: endpoints of its services may have received
            requests that were not counted.
        """
        for endpoint, known in list(self.bounded.items()):
            if self._service_of(known.listed) is None:
                del self.bounded[endpoint]
                self.stated.discard(endpoint)
        if not self.bounded:
            self.reservations.clear()
        for endpoint, listed in self.listed.items():
            was_bounded = endpoint in self.bounded
            self._track(listed, now)
            self._update_evidence(endpoint)
            was_used = before is not None and listed.service in before.services
            if was_used and not was_bounded and endpoint in self.bounded:
                self.bounded[endpoint].permits.take_all(now)

    def _track(self, listed: ListedEndpoint, now: timedelta) -> None:
        """Apply the bound in force to an endpoint."""
        service = self._service_of(listed)
        if service is None or self.factor is None:
            return
        endpoint = listed.endpoint
        allowance = cold_allowance(service.cold_rate_per_s, self.factor, self.slack)
        known = self.bounded.get(endpoint)
        if known is not None:
            known.duration = service.cold_duration
            known.permits.change(allowance, self.share_of(endpoint), now)
            return
        permits = LimitedEndpoint(allowance, self.share_of(endpoint), now, self.random)
        known = ColdEndpoint(listed, service.cold_duration, permits)
        self._note_listed(known)
        self.bounded[endpoint] = known

    def _note_new(self, endpoint: EndpointId, now: timedelta) -> None:
        """Record that an endpoint, or an incarnation of it, is new in the list."""
        if self.first_listing_end is None:
            self.first_listing_end = now + FIRST_LISTING
        if now >= self.first_listing_end:
            self.new_since[endpoint] = now

    def _note_listed(self, known: ColdEndpoint) -> None:
        since = self.new_since.get(known.listed.endpoint)
        if since is not None:
            known.note(ColdReason.LISTED, since)

    def _forget_gone(self, now: timedelta) -> None:
        self.bounded = {
            endpoint: known
            for endpoint, known in self.bounded.items()
            if known.gone_at is None or now - known.gone_at < ABSENCE_RETENTION
        }


def is_later_incarnation(listed: ListedEndpoint, before: ListedEndpoint) -> bool:
    """Return whether a listing is of a later incarnation than the former one."""
    if listed.started_after(before.started_ms):
        return True
    return listed.sequence < before.sequence

"""Publishes observations of endpoints to peers, and merges those of peers.

The primary watcher of an endpoint publishes to its zone; the second one takes over
when the first is silent. One instance of a zone, chosen by `membership`, publishes to
the other zones. Loads are rate limited to fit the traffic budget; a value that makes
the endpoint unusable is published at once.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod

from ..ids import EndpointId
from ..kernel.context import Context
from ..kernel.fleet import DISTANT_PAST, Endpoint
from ..kernel.messages.base import Message
from ..kernel.messages.fleet import LoadReport, LoadReported, ProbeFailed
from ..kernel.messages.peers import PeerValue, Publish, Scope
from ..kernel.messages.watch import (
    EndpointKey,
    EndpointLoad,
    EndpointLoadReceived,
    EndpointProbeFailure,
    EndpointProbeFailureReceived,
    EndpointProfile,
    EndpointProfileReceived,
    PublishForZone,
    WatchedEndpoint,
    endpoint_key,
)
from ..kernel.plugins import Plugin, PluginFinder
from ..kernel.registry import register
from .endpoint_values import MS, incarnation_bits_of, load_of, profile_of, report_of
from .membership import Membership

MIN_LOAD_INTERVAL = timedelta(seconds=1)
ZONE_INTERVAL_PER_ENDPOINT = timedelta(milliseconds=20)
"""Limits the loads of a whole zone to about 50 a second."""
FLEET_INTERVAL_PER_ENDPOINT = timedelta(milliseconds=100)
"""Limits the loads published to the other zones to ten a second."""

PROFILE_REFRESH_INTERVAL = timedelta(minutes=4)
PROBE_FAILURE_REFRESH_INTERVAL = timedelta(seconds=10)
RECEIVED_RETENTION = timedelta(minutes=10)
STANDBY_INTERVALS = 3
"""Load intervals without a load of the first watcher before the second publishes."""


@dataclass(slots=True)
class PublishedState:
    """Values that this instance has published of one endpoint in one scope."""

    load_at: timedelta = DISTANT_PAST
    load: EndpointLoad | None = None
    profile_at: timedelta = DISTANT_PAST
    profile: EndpointProfile | None = None
    probe_failure_at: timedelta = DISTANT_PAST


@dataclass(slots=True)
class ReceivedState:
    """Values of one endpoint that peers have published."""

    profile: EndpointProfile | None = None
    pending: EndpointLoadReceived | None = None
    pending_at: timedelta = DISTANT_PAST
    load_at: timedelta = DISTANT_PAST


@dataclass(slots=True)
class PublishedScopes:
    """Published values of one endpoint, by scope."""

    zone: PublishedState = field(default_factory=PublishedState)
    fleet: PublishedState = field(default_factory=PublishedState)


@register("endpoint-words")
class EndpointPublisher(Plugin):
    """Publishes own observations and turns those of peers into reports."""

    def __init__(self) -> None:
        self.published: dict[EndpointId, PublishedScopes] = {}
        self.received: dict[EndpointKey, ReceivedState] = {}
        self.membership: Membership | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-in that assigns endpoints to watch."""
        self.membership = find(Membership)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to a message."""

    @handle.register
    def _(self, message: LoadReported, context: Context) -> None:
        if message.probed_by is not None:
            return
        watched = self._watched(message.report.endpoint)
        endpoint = context.state.fleet.endpoints.get(message.report.endpoint)
        if watched is None or endpoint is None:
            return
        published = self._published_for(message.report.endpoint)
        interval = self._load_interval(context, ZONE_INTERVAL_PER_ENDPOINT)
        received = self._received_for(endpoint_key(message.report.endpoint))
        is_standby_due = context.now - received.load_at > STANDBY_INTERVALS * interval
        if watched.is_primary or is_standby_due:
            report = message.report
            _publish_load(
                published.zone, report, report.lag, interval, Scope.ZONE, context
            )

    @handle.register
    def _(self, message: ProbeFailed, context: Context) -> None:
        endpoint = context.state.fleet.endpoints.get(message.endpoint)
        if endpoint is not None and self._watched(message.endpoint) is not None:
            published = self._published_for(message.endpoint).zone
            _publish_probe_failure(published, endpoint, Scope.ZONE, context)

    @handle.register
    def _(self, message: PublishForZone, context: Context) -> None:
        fleet = context.state.fleet
        interval = self._load_interval(context, FLEET_INTERVAL_PER_ENDPOINT)
        for endpoint in fleet.endpoints.values():
            if endpoint.entry.availability_zone != message.availability_zone:
                continue
            published = self._published_for(endpoint.endpoint_id).fleet
            if endpoint.unreachable_since is not None:
                _publish_probe_failure(published, endpoint, Scope.FLEET, context)
            elif endpoint.report is not None:
                lag = context.now - endpoint.reported_at
                _publish_load(
                    published, endpoint.report, lag, interval, Scope.FLEET, context
                )
        self._forget_removed(context)

    @handle.register
    def _(self, message: EndpointProfileReceived, context: Context) -> None:
        received = self._received_for(message.key)
        known = received.profile
        if known is None or message.profile.incarnation >= known.incarnation:
            received.profile = message.profile
        if received.pending is not None:
            waited = context.now - received.pending_at
            age = received.pending.origin.age + waited
            self._merge_received(received.pending, received, age, context)

    @handle.register
    def _(self, message: EndpointLoadReceived, context: Context) -> None:
        received = self._received_for(message.key)
        received.load_at = context.now
        self._merge_received(message, received, message.origin.age, context)

    @handle.register
    def _(self, message: EndpointProbeFailureReceived, context: Context) -> None:
        endpoint = context.state.fleet.by_key.get(message.key)
        failure = message.failure
        if endpoint is None or failure.incarnation < endpoint.entry.incarnation:
            return
        at = context.now - message.origin.age - failure.age_ms * MS
        fleet = context.state.fleet
        fleet.apply_failure(endpoint.endpoint_id, at, own=False)

    def _merge_received(
        self,
        message: EndpointLoadReceived,
        received: ReceivedState,
        age: timedelta,
        context: Context,
    ) -> None:
        """Build a report from a received load and its endpoint's profile.

        They arrive in any order, and perhaps before the endpoint is listed.
        """
        profile = received.profile
        endpoint = context.state.fleet.by_key.get(message.key)
        if (
            endpoint is None
            or profile is None
            or incarnation_bits_of(profile.incarnation) != message.load.incarnation_bits
        ):
            received.pending = message
            received.pending_at = context.now - (age - message.origin.age)
            return
        received.pending = None
        report = report_of(endpoint.endpoint_id, message.load, profile, age)
        context.post(LoadReported(report, probed_by=message.origin.instance))

    def _watched(self, endpoint: EndpointId) -> WatchedEndpoint | None:
        if self.membership is None:
            return None
        return self.membership.watched_endpoint(endpoint)

    def _published_for(self, endpoint: EndpointId) -> PublishedScopes:
        published = self.published.get(endpoint)
        if published is None:
            published = self.published[endpoint] = PublishedScopes()
        return published

    def _received_for(self, key: EndpointKey) -> ReceivedState:
        received = self.received.get(key)
        if received is None:
            received = self.received[key] = ReceivedState()
        return received

    def _load_interval(self, context: Context, per_endpoint: timedelta) -> timedelta:
        """Return the interval between loads of an endpoint, by the zone's size."""
        if self.membership is None:
            return MIN_LOAD_INTERVAL
        return max(MIN_LOAD_INTERVAL, per_endpoint * self.membership.zone_endpoints)

    def _forget_removed(self, context: Context) -> None:
        fleet = context.state.fleet
        for gone in [name for name in self.published if name not in fleet.endpoints]:
            del self.published[gone]
        for key in [key for key in self.received if key not in fleet.by_key]:
            old = context.now - self.received[key].load_at > RECEIVED_RETENTION
            if old:
                del self.received[key]


def _publish_load(
    published: PublishedState,
    report: LoadReport,
    lag: timedelta,
    interval: timedelta,
    scope: Scope,
    context: Context,
) -> None:
    """Publish an endpoint's profile and load where they are due."""
    profile = profile_of(report)
    old = context.now - published.profile_at >= PROFILE_REFRESH_INTERVAL
    if profile != published.profile or old:
        published.profile = profile
        published.profile_at = context.now
        _publish(report.endpoint, profile, scope, False, context)
    load = load_of(report, lag)
    drain_changed = published.load is None or load.draining != published.load.draining
    if not drain_changed and context.now - published.load_at < interval:
        return
    published.load = load
    published.load_at = context.now
    _publish(report.endpoint, load, scope, drain_changed, context)


def _publish_probe_failure(
    published: PublishedState, endpoint: Endpoint, scope: Scope, context: Context
) -> None:
    """Publish a probe failure at once, and then periodically."""
    urgent = published.probe_failure_at < published.load_at
    if (
        not urgent
        and context.now - published.probe_failure_at < PROBE_FAILURE_REFRESH_INTERVAL
    ):
        return
    published.probe_failure_at = context.now
    age = max(timedelta(0), context.now - endpoint.failed_at)
    failure = EndpointProbeFailure(endpoint.entry.incarnation, age // MS)
    _publish(endpoint.endpoint_id, failure, scope, urgent, context)


def _publish(
    endpoint: EndpointId,
    value: PeerValue,
    scope: Scope,
    urgent: bool,
    context: Context,
) -> None:
    context.emit(Publish(endpoint_key(endpoint), value, scope, urgent))

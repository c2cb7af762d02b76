"""Telling the peers what is seen of endpoints, and joining what they tell.

An endpoint's first watcher tells its zone; the second one speaks up only when the
first has been silent. One instance a zone, chosen by `membership`, tells the other
zones. Load goes out at a pace that fits the traffic budget; a word that makes the
endpoint unusable goes out at once.
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
from .endpoint_values import MS, life_of, load_of, profile_of, report_of
from .membership import Membership

SHORTEST_PACE = timedelta(seconds=1)
ZONE_PACE_PER_ENDPOINT = timedelta(milliseconds=20)
"""A zone's loads together go out about 50 times a second at most."""
FLEET_PACE_PER_ENDPOINT = timedelta(milliseconds=100)
"""Towards the other zones, ten times a second."""

PROFILE_RENEWAL = timedelta(minutes=4)
SILENCE_RENEWAL = timedelta(seconds=10)
FORGET_HEARD = timedelta(minutes=10)
STAND_IN_AFTER = 3
"""Paces without a word of the first watcher after which the second one speaks."""


@dataclass(slots=True)
class Told:
    """What this instance has told of one endpoint, in one scope."""

    load_at: timedelta = DISTANT_PAST
    load: EndpointLoad | None = None
    profile_at: timedelta = DISTANT_PAST
    profile: EndpointProfile | None = None
    silence_at: timedelta = DISTANT_PAST


@dataclass(slots=True)
class Heard:
    """What peers have told of one endpoint."""

    profile: EndpointProfile | None = None
    pending: EndpointLoadReceived | None = None
    pending_at: timedelta = DISTANT_PAST
    load_at: timedelta = DISTANT_PAST


@dataclass(slots=True)
class Words:
    """Everything told of one endpoint."""

    zone: Told = field(default_factory=Told)
    fleet: Told = field(default_factory=Told)


@register("endpoint-words")
class EndpointWords(Plugin):
    """Publishes own observations and turns the peers' into reports."""

    def __init__(self) -> None:
        self.words: dict[EndpointId, Words] = {}
        self.heard: dict[EndpointKey, Heard] = {}
        self.membership: Membership | None = None

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-in that says what this instance watches."""
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
        words = self._words_of(message.report.endpoint)
        pace = self._pace(context, ZONE_PACE_PER_ENDPOINT)
        heard = self._heard_of(endpoint_key(message.report.endpoint))
        stands_in = context.now - heard.load_at > STAND_IN_AFTER * pace
        if watched.is_primary or stands_in:
            report = message.report
            _tell(words.zone, report, report.lag, pace, Scope.ZONE, context)

    @handle.register
    def _(self, message: ProbeFailed, context: Context) -> None:
        endpoint = context.state.fleet.endpoints.get(message.endpoint)
        if endpoint is not None and self._watched(message.endpoint) is not None:
            told = self._words_of(message.endpoint).zone
            _tell_silence(told, endpoint, Scope.ZONE, context)

    @handle.register
    def _(self, message: PublishForZone, context: Context) -> None:
        fleet = context.state.fleet
        pace = self._pace(context, FLEET_PACE_PER_ENDPOINT)
        for endpoint in fleet.endpoints.values():
            if endpoint.entry.availability_zone != message.availability_zone:
                continue
            told = self._words_of(endpoint.endpoint_id).fleet
            if endpoint.unreachable_since is not None:
                _tell_silence(told, endpoint, Scope.FLEET, context)
            elif endpoint.report is not None:
                lag = context.now - endpoint.reported_at
                _tell(told, endpoint.report, lag, pace, Scope.FLEET, context)
        self._forget_removed(context)

    @handle.register
    def _(self, message: EndpointProfileReceived, context: Context) -> None:
        heard = self._heard_of(message.key)
        known = heard.profile
        if known is None or message.profile.incarnation >= known.incarnation:
            heard.profile = message.profile
        if heard.pending is not None:
            waited = context.now - heard.pending_at
            age = heard.pending.origin.age + waited
            self._join_heard(heard.pending, heard, age, context)

    @handle.register
    def _(self, message: EndpointLoadReceived, context: Context) -> None:
        heard = self._heard_of(message.key)
        heard.load_at = context.now
        self._join_heard(message, heard, message.origin.age, context)

    @handle.register
    def _(self, message: EndpointProbeFailureReceived, context: Context) -> None:
        endpoint = context.state.fleet.by_key.get(message.key)
        silence = message.failure
        if endpoint is None or silence.incarnation < endpoint.entry.incarnation:
            return
        at = context.now - message.origin.age - silence.age_ms * MS
        fleet = context.state.fleet
        fleet.apply_failure(endpoint.endpoint_id, at, own=False)

    def _join_heard(
        self,
        message: EndpointLoadReceived,
        heard: Heard,
        age: timedelta,
        context: Context,
    ) -> None:
        """Make a report of a heard load and its endpoint's profile.

        Either may come first, and both may come before the list has the endpoint.
        """
        profile = heard.profile
        endpoint = context.state.fleet.by_key.get(message.key)
        if (
            endpoint is None
            or profile is None
            or life_of(profile.incarnation) != message.load.incarnation_bits
        ):
            heard.pending = message
            heard.pending_at = context.now - (age - message.origin.age)
            return
        heard.pending = None
        report = report_of(endpoint.endpoint_id, message.load, profile, age)
        context.post(LoadReported(report, probed_by=message.origin.instance))

    def _watched(self, endpoint: EndpointId) -> WatchedEndpoint | None:
        if self.membership is None:
            return None
        return self.membership.watched_endpoint(endpoint)

    def _words_of(self, endpoint: EndpointId) -> Words:
        words = self.words.get(endpoint)
        if words is None:
            words = self.words[endpoint] = Words()
        return words

    def _heard_of(self, key: EndpointKey) -> Heard:
        heard = self.heard.get(key)
        if heard is None:
            heard = self.heard[key] = Heard()
        return heard

    def _pace(self, context: Context, per_endpoint: timedelta) -> timedelta:
        """Return the time between two loads of an endpoint, by the zone's size."""
        if self.membership is None:
            return SHORTEST_PACE
        return max(SHORTEST_PACE, per_endpoint * self.membership.zone_endpoints)

    def _forget_removed(self, context: Context) -> None:
        fleet = context.state.fleet
        for gone in [name for name in self.words if name not in fleet.endpoints]:
            del self.words[gone]
        for key in [key for key in self.heard if key not in fleet.by_key]:
            old = context.now - self.heard[key].load_at > FORGET_HEARD
            if old:
                del self.heard[key]


def _tell(
    told: Told,
    report: LoadReport,
    lag: timedelta,
    pace: timedelta,
    scope: Scope,
    context: Context,
) -> None:
    """Publish an endpoint's profile if it is due, and its load."""
    profile = profile_of(report)
    old = context.now - told.profile_at >= PROFILE_RENEWAL
    if profile != told.profile or old:
        told.profile = profile
        told.profile_at = context.now
        _publish(report.endpoint, profile, scope, False, context)
    load = load_of(report, lag)
    drain_changed = told.load is None or load.draining != told.load.draining
    if not drain_changed and context.now - told.load_at < pace:
        return
    told.load = load
    told.load_at = context.now
    _publish(report.endpoint, load, scope, drain_changed, context)


def _tell_silence(
    told: Told, endpoint: Endpoint, scope: Scope, context: Context
) -> None:
    """Publish that an endpoint does not answer, at once and then now and again."""
    urgent = told.silence_at < told.load_at
    if not urgent and context.now - told.silence_at < SILENCE_RENEWAL:
        return
    told.silence_at = context.now
    age = max(timedelta(0), context.now - endpoint.failed_at)
    silence = EndpointProbeFailure(endpoint.entry.incarnation, age // MS)
    _publish(endpoint.endpoint_id, silence, scope, urgent, context)


def _publish(
    endpoint: EndpointId,
    value: PeerValue,
    scope: Scope,
    urgent: bool,
    context: Context,
) -> None:
    context.emit(Publish(endpoint_key(endpoint), value, scope, urgent))

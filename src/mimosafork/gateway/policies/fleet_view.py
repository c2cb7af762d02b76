"""Endpoints of each service, and their health as seen by this instance."""

from datetime import timedelta
from functools import singledispatchmethod

import msgspec

from ...ids import AvailabilityZoneId, EndpointId, ServiceId
from ...kernel.context import Context
from ...kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    FailureKind,
    FirstToken,
)
from ...kernel.messages.base import Message
from ...kernel.messages.connectivity import ServiceProbed
from ...kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
    ZoneEvacuated,
    ZoneEvacuationEnded,
    ZoneReachable,
    ZoneUnreachable,
)
from ...kernel.plugins import Plugin
from ...kernel.registry import register
from ...routing.engine import EngineFigures
from ...routing.table import RoutingTable
from .endpoint_health import (
    ENDPOINT_SUSPICION_PERIOD,
    MAX_UNREACHABLE_BACKOFF,
    EndpointHealth,
)
from .evacuated_zones import EvacuatedZones
from .health_log import HealthStatus, log_ejected, log_reinstated, log_suspicion
from .zone_suspicion import FAILURE_WEIGHTS, ZoneSuspicion

NAMED_AT_FAULT = "named-at-fault"
SUSPICIOUS_FAILURES = frozenset({FailureKind.BROKEN, FailureKind.INVALID})
"""Stalls are not included: an engine in a long prefill is silent but healthy."""
ABSENCE_RETENTION = timedelta(minutes=1)
"""Time for which an endpoint that is missing from the list is remembered. Calls that
run there may still receive responses."""


class AbsentEndpoint(msgspec.Struct, frozen=True):
    """An endpoint that is missing from the list.

    Attributes
    ----------
    since : timedelta
        Monotonic instant.
    """

    health: EndpointHealth
    since: timedelta


@register("fleet-view")
class FleetView(Plugin):
    """Tracks the endpoints of each service and their health."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = None
        self.endpoints: dict[EndpointId, EndpointHealth] = {}
        self.by_service: dict[ServiceId, dict[EndpointId, EndpointHealth]] = {}
        self.departed: dict[EndpointId, int | None] = {}
        """Start time of each endpoint that is draining or gone, by endpoint."""
        self.absent: dict[EndpointId, AbsentEndpoint] = {}
        """Endpoints that are missing from the list and may return."""
        self.zone_suspicion = ZoneSuspicion()
        self.zone_answered_at: dict[AvailabilityZoneId, timedelta] = {}
        """Time of the latest first token or status from an endpoint of each zone."""
        self.evacuations = EvacuatedZones()

    def zone_of(self, endpoint: EndpointId) -> AvailabilityZoneId | None:
        """Return the zone of an endpoint; None if the endpoint is unknown."""
        known = self.endpoints.get(endpoint)
        return None if known is None else known.listed.zone

    def figures_of(self, service: ServiceId) -> EngineFigures | None:
        """Return the engine figures of a service; None for a plain service."""
        known = self.table.services.get(service) if self.table is not None else None
        return known.engine if known is not None else None

    def zone_answered_since(self, endpoint: EndpointId, since: timedelta) -> bool:
        """Return whether an endpoint in the same zone has answered since then."""
        known = self.endpoints.get(endpoint)
        if known is None:
            return False
        answered_at = self.zone_answered_at.get(known.listed.zone)
        return answered_at is not None and answered_at >= since

    def listed_endpoints(self, service: ServiceId) -> list[EndpointHealth]:
        """Return the endpoints of a service that are not draining or gone."""
        return list(self.by_service.get(service, {}).values())

    def service_endpoints(self, service: ServiceId) -> list[EndpointHealth]:
        """Return those of them that are in no evacuated zone."""
        listed = self.listed_endpoints(service)
        zones = self.evacuations.zones
        if not zones:
            return listed
        return [each for each in listed if each.listed.zone not in zones]

    def is_evacuated(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint, listed or not, is in an evacuated zone."""
        zones = self.evacuations.zones
        if not zones:
            return False
        known = self.responding(endpoint)
        zone = None if known is None else known.listed.zone
        return (zone or self.evacuations.former_zones.get(endpoint)) in zones

    def all_evacuated(self, service: ServiceId) -> bool:
        """Return whether a service has endpoints, all of them in evacuated zones."""
        if not self.evacuations.zones:
            return False
        return bool(self.by_service.get(service)) and not self.service_endpoints(
            service
        )

    def evacuated_endpoints(self) -> int:
        """Return the number of listed endpoints in evacuated zones, in any thread."""
        zones = self.evacuations.zones
        return sum(each.listed.zone in zones for each in list(self.endpoints.values()))

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Update endpoint health from a message."""

    @handle.register
    def _(self, message: RoutingTableChanged, context: Context) -> None:
        self.table = message.table

    @handle.register
    def _(self, message: EndpointUsable, context: Context) -> None:
        listed = message.listed
        # A peer may report that an endpoint drains before this instance's own list
        # does. Draining is final for an incarnation. An endpoint that was restarted
        # under its id is a new incarnation, so neither the drain nor the health of
        # the previous one applies to it.
        if listed.endpoint in self.departed:
            if not listed.started_after(self.departed[listed.endpoint]):
                return
            del self.departed[listed.endpoint]
        known = self.endpoints.get(listed.endpoint)
        if known is None or listed.started_after(known.listed.started_ms):
            known = EndpointHealth(
                listed, context.now, zone_suspicion=self.zone_suspicion
            )
            self._restore_backoff(known)
            self.endpoints[listed.endpoint] = known
        known.listed = listed
        known.leaving = False
        self.by_service.setdefault(listed.service, {})[listed.endpoint] = known

    def responding(self, endpoint: EndpointId) -> EndpointHealth | None:
        """Return an endpoint whose responses count, whether it is listed or absent."""
        absent = self.absent.get(endpoint)
        return self.endpoints.get(endpoint) if absent is None else absent.health

    def _restore_backoff(self, known: EndpointHealth) -> None:
        """Keep the backoff of an incarnation that was missing from the list."""
        absent = self.absent.pop(known.listed.endpoint, None)
        if absent is None:
            return
        former = absent.health
        if not known.listed.started_after(former.listed.started_ms):
            known.listed_at = former.listed_at
            known.backoff = former.backoff

    def _note_absent(self, known: EndpointHealth, now: timedelta) -> None:
        """Remember an endpoint that may return, and forget those that did not."""
        self.absent[known.listed.endpoint] = AbsentEndpoint(known, now)
        self.absent = {
            endpoint: each
            for endpoint, each in self.absent.items()
            if now - each.since < ABSENCE_RETENTION or each.health.backoff.active(now)
        }

    @handle.register
    def _(self, message: EndpointLeaving, context: Context) -> None:
        known = self.endpoints.pop(message.endpoint, None)
        if message.final:
            absent = self.absent.pop(message.endpoint, None)
            before = self.departed.get(message.endpoint)
            last = known if absent is None else absent.health
            self.departed[message.endpoint] = (
                before if last is None else last.listed.started_ms
            )
        if known is not None:
            self.evacuations.note_left(message.endpoint, known.listed.zone, context.now)
            known.leaving = True
            self.by_service[known.listed.service].pop(message.endpoint, None)
            log_ejected(known, message.final)
            if not message.final:
                self._note_absent(known, context.now)

    @handle.register
    def _(self, message: ZoneEvacuated, context: Context) -> None:
        self.evacuations.zones.add(message.zone)

    @handle.register
    def _(self, message: ZoneEvacuationEnded, context: Context) -> None:
        self.evacuations.zones.discard(message.zone)

    @handle.register
    def _(self, message: ZoneUnreachable, context: Context) -> None:
        # All instances of the zone may be gone while its endpoints keep serving.
        answered_at = self.zone_answered_at.get(message.zone)
        if answered_at is None or answered_at <= message.since:
            self.zone_suspicion.note_unreachable(message.zone, context.now)

    @handle.register
    def _(self, message: ServiceProbed, context: Context) -> None:
        if not (message.reachable and message.changed):
            return
        # The failures were this instance's own. With the backoffs that followed, all
        # calls would go to the few endpoints that were not tried meanwhile.
        for known in self.listed_endpoints(message.service):
            if known.misses:
                known.misses = 0
                known.unusable_until = context.now

    @handle.register
    def _(self, message: ZoneReachable, context: Context) -> None:
        self.zone_suspicion.note_answer(message.zone, context.now)

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        record = context.state.requests.get(message.request_id)
        if record is not None and record.current is not None:
            known = self.endpoints.get(record.current.endpoint)
            if known is not None:
                known.note_outcome(False, context.now)
                self.zone_suspicion.note_answer(known.listed.zone, context.now)
                self.zone_answered_at[known.listed.zone] = context.now
                log_reinstated(known, context.now)

    @handle.register
    def _(self, message: AttemptFinished, context: Context) -> None:
        """Ignore: the first token has already been counted as success."""

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        self._suspect_named_endpoint(message, context.now)
        known = self.endpoints.get(message.endpoint) if message.endpoint else None
        if known is None:
            return
        if message.status is not None:
            self.zone_answered_at[known.listed.zone] = context.now
        before = HealthStatus.of(known, context.now)
        other_zone = known.listed.zone != context.state.identity.availability_zone
        if message.kind in FAILURE_WEIGHTS and other_zone:
            self.zone_suspicion.note_failure(known.listed, message.kind, context.now)
        if message.kind is FailureKind.UNREACHED:
            known.note_unreached(context.now)
        elif message.refusal == "elsewhere":
            known.unusable_until = context.now + MAX_UNREACHABLE_BACKOFF
        elif message.kind in SUSPICIOUS_FAILURES:
            known.note_outcome(True, context.now)
        elif message.kind is FailureKind.ENGINE_FAILED:
            known.note_outcome(False, context.now)
        log_suspicion(known, before, message.refusal or message.kind.value, context.now)

    def _suspect_named_endpoint(self, failure: AttemptFailed, now: timedelta) -> None:
        """Suspect the endpoint that another endpoint reports as at fault.

        The reporting endpoint only rejected the request and is healthy. Otherwise a
        failed helper would fail request after request while its hosts are suspected.
        """
        named = failure.fault_at
        if named is None:
            return
        for known in self.endpoints.values():
            is_named = named in {known.listed.address, known.listed.endpoint}
            if is_named and known.listed.endpoint != failure.endpoint:
                before = HealthStatus.of(known, now)
                known.suspect_until = now + ENDPOINT_SUSPICION_PERIOD
                log_suspicion(known, before, NAMED_AT_FAULT, now)

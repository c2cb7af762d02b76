"""Detects services of which this instance reaches no endpoint."""

import logging
from datetime import timedelta
from functools import singledispatchmethod

from ...ids import EndpointId, RequestId, ServiceId
from ...kernel.context import Context
from ...kernel.messages.attempts import (
    AttemptFailed,
    AttemptSent,
    AttemptSilent,
    FailureKind,
    FirstToken,
)
from ...kernel.messages.base import Message
from ...kernel.messages.connectivity import (
    ConnectionProbed,
    ProbeConnections,
    ProbesDue,
    ProbeTarget,
    PublishConnectivity,
    ServiceProbed,
)
from ...kernel.plugins import Plugin, PluginFinder
from ...kernel.registry import register
from ...telemetry.catalogue.connectivity import SERVICE_REACHABLE, SERVICE_UNREACHABLE
from ...telemetry.logs import log_event
from .endpoint_health import EndpointHealth
from .fleet_view import FleetView
from .service_reach import ServiceReach, probe_candidates

logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)

SUSPICIOUS_ENDPOINTS = 2
"""Endpoints that must fail in turn before others are probed, if there are so many."""

PROBE_INTERVAL = timedelta(milliseconds=400)
PROBE_JITTER = 0.5
"""Instances that were cut off together must not return in the same moment."""

SILENT_KINDS = frozenset({FailureKind.BROKEN, FailureKind.STALLED})
"""Failures of open connections that a network partition causes."""


@register("endpoint-connectivity")
class EndpointConnectivity(Plugin):
    """Finds out whether the endpoints of a service can be reached at all.

    A failed endpoint, a cut zone and an instance that is cut off itself look alike from
    one attempt. Once several endpoints have failed in turn, connections to others are
    opened. If none succeeds, the service is unreachable from here, and is probed at
    intervals until connections can be opened again. Responses on older connections
    don't count: those may live on while new ones are refused.

    Attributes
    ----------
    services : dict of ServiceId to ServiceReach
    """

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.services: dict[ServiceId, ServiceReach] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.fleet = find(FleetView)

    def unreachable(self, service: ServiceId) -> bool:
        """Return whether no endpoint of a service can be reached."""
        reach = self.services.get(service)
        return reach is not None and reach.unreachable

    def may_be_partitioned(self, endpoint: EndpointId) -> bool:
        """Return whether a failure at an endpoint may be due to a partition.

        Its service is unreachable, or is being probed.
        """
        reach = self._reach_of(endpoint)
        return reach is not None and (reach.unreachable or bool(reach.probing))

    def _reach_of(self, endpoint: EndpointId | None) -> ServiceReach | None:
        """Return the reach of an endpoint's service; None for an unknown endpoint."""
        if self.fleet is None or endpoint is None:
            return None
        known = self.fleet.endpoints.get(endpoint)
        if known is None:
            return None
        return self.services.setdefault(known.listed.service, ServiceReach())

    def _endpoints(self, service: ServiceId) -> list[EndpointHealth]:
        return [] if self.fleet is None else self.fleet.service_endpoints(service)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Update the evidence."""

    @handle.register
    def _(self, message: AttemptSent, context: Context) -> None:
        reach = self._reach_of(endpoint_of(message.request_id, context))
        if reach is not None:
            reach.note_opened(context.now)

    @handle.register
    def _(self, message: FirstToken, context: Context) -> None:
        reach = self._reach_of(endpoint_of(message.request_id, context))
        if reach is not None:
            reach.silent.clear()

    @handle.register
    def _(self, message: AttemptSilent, context: Context) -> None:
        endpoint = endpoint_of(message.request_id, context)
        reach = self._reach_of(endpoint)
        if reach is not None and endpoint is not None:
            reach.silent[endpoint] = context.now
            self._probe_if_suspicious(context)

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        reach = self._reach_of(message.endpoint)
        if reach is None or message.endpoint is None:
            return
        if message.kind is FailureKind.UNREACHED:
            reach.unreached[message.endpoint] = context.now
        elif message.kind in SILENT_KINDS:
            reach.silent[message.endpoint] = context.now
        else:
            return
        self._probe_if_suspicious(context)

    @handle.register
    def _(self, message: ConnectionProbed, context: Context) -> None:
        service = message.target.service
        reach = self.services.get(service)
        if reach is None:
            return
        ended = reach.note_probed(message.target.endpoint, message.opened, context.now)
        if ended:
            self._close_round(service, reach, context)

    @handle.register
    def _(self, message: ProbesDue, context: Context) -> None:
        reach = self.services.get(message.service)
        if reach is None or not reach.unreachable:
            return
        endpoints = self._endpoints(message.service)
        if endpoints:
            self._probe(message.service, reach, endpoints, context)
            return
        # Whether endpoints that are listed later can be reached is not known.
        del self.services[message.service]
        self._publish(context)

    def _probe_if_suspicious(self, context: Context) -> None:
        """Probe all services once several endpoints of any of them have failed.

        Calls of other services would find out for themselves, but the shortest ones
        have no time for it.
        """
        if self.fleet is None:
            return
        now = context.now
        suspects = set().union(*(each.suspects(now) for each in self.services.values()))
        if len(suspects) < min(SUSPICIOUS_ENDPOINTS, len(self.fleet.endpoints)):
            return
        for service in list(self.fleet.by_service):
            reach = self.services.setdefault(service, ServiceReach())
            endpoints = self._endpoints(service)
            if endpoints and reach.may_probe(now):
                untried = [
                    each for each in endpoints if each.listed.endpoint not in suspects
                ]
                self._probe(service, reach, untried or endpoints, context)

    def _probe(
        self,
        service: ServiceId,
        reach: ServiceReach,
        endpoints: list[EndpointHealth],
        context: Context,
    ) -> None:
        targets = tuple(
            ProbeTarget(service, known.listed.endpoint, known.listed.address)
            for known in probe_candidates(endpoints, context.random)
        )
        reach.begin_round(target.endpoint for target in targets)
        context.emit(ProbeConnections(targets))

    def _close_round(
        self, service: ServiceId, reach: ServiceReach, context: Context
    ) -> None:
        since = reach.unreachable_since
        changed = reach.close_round(context.now)
        context.post(ServiceProbed(service, not reach.unreachable, changed))
        if changed:
            self._publish(context)
            if since is None:
                self._log_unreachable(service, reach)
            else:
                after_ms = (context.now - since) // MILLISECOND
                log_event(logger, SERVICE_REACHABLE, service=service, after_ms=after_ms)
        if reach.unreachable:
            jitter = 1 + PROBE_JITTER * context.random.random()
            context.wake_after(PROBE_INTERVAL * jitter, ProbesDue(service))

    def _log_unreachable(self, service: ServiceId, reach: ServiceReach) -> None:
        log_event(
            logger,
            SERVICE_UNREACHABLE,
            service=service,
            failed=len(reach.unreached.keys() | reach.silent.keys()),
            known=len(self._endpoints(service)),
        )

    def _publish(self, context: Context) -> None:
        unreachable = (
            service for service, reach in self.services.items() if reach.unreachable
        )
        context.emit(PublishConnectivity(frozenset(unreachable)))


def endpoint_of(request_id: RequestId, context: Context) -> EndpointId | None:
    """Return the endpoint of a call's latest attempt."""
    record = context.state.requests.get(request_id)
    if record is None or record.current is None:
        return None
    return record.current.endpoint

"""Isolation of endpoints for suspects, by this instance or by peers."""

from dataclasses import dataclass, field
from datetime import timedelta

from ...ids import EndpointId, InstanceId
from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.peers import Publish, Scope
from ...kernel.messages.quarantine import EndpointIsolation, EndpointIsolationReceived
from .recency import PROPAGATION_TIME

ISOLATION_TIME = timedelta(seconds=6)
"""Duration of an isolation unless it is renewed."""

RENEWAL_INTERVAL = timedelta(seconds=2)

MS = timedelta(milliseconds=1)


@dataclass(slots=True)
class OwnIsolation:
    """Isolation of an endpoint by this instance."""

    since: timedelta
    renewed_at: timedelta


@dataclass(slots=True)
class Isolations:
    """Isolated endpoints, and the instances that isolate them.

    Several instances may isolate the same endpoint, as all rank them identically.
    Each knows of the others before its first run there, and the smallest id goes
    first.
    """

    own: dict[EndpointId, OwnIsolation] = field(default_factory=dict)
    others: dict[EndpointId, dict[InstanceId, timedelta]] = field(default_factory=dict)

    def isolate(self, endpoint: Endpoint, context: Context) -> None:
        """Exclude an endpoint from the new requests of all instances for a while."""
        name = endpoint.endpoint_id
        known = self.own.get(name)
        lapsed = known is None or context.now - known.renewed_at >= ISOLATION_TIME
        if known is None or lapsed:
            known = self.own[name] = OwnIsolation(context.now, context.now)
        elif context.now - known.renewed_at < RENEWAL_INTERVAL:
            return
        known.renewed_at = context.now
        isolation = EndpointIsolation(ISOLATION_TIME // MS)
        context.emit(Publish(name, isolation, Scope.FLEET, urgent=True))
        self._update_endpoint(name, context)

    def end(self, name: EndpointId, context: Context) -> None:
        """Return an endpoint to general use."""
        if self.own.pop(name, None) is None:
            return
        context.emit(Publish(name, EndpointIsolation(0), Scope.FLEET, urgent=True))
        self._update_endpoint(name, context)

    def receive(self, message: EndpointIsolationReceived, context: Context) -> None:
        """Record that a peer has isolated an endpoint, or has ended that."""
        remaining = message.isolation.remaining_ms * MS - message.origin.age
        expiries = self.others.setdefault(message.endpoint, {})
        expiries[message.origin.instance] = context.now + remaining
        self._update_endpoint(message.endpoint, context)

    def is_exclusive(self, endpoint: Endpoint, context: Context) -> bool:
        """Return whether no other instance uses an isolated endpoint.

        The isolation must have propagated, and a report made after that must show no
        requests. An older report would miss what peers sent just before.
        """
        name = endpoint.endpoint_id
        known = self.own.get(name)
        report = endpoint.report
        if known is None or report is None or endpoint.own_requests:
            return False
        if context.now - known.renewed_at >= ISOLATION_TIME:
            return False
        if endpoint.reported_at < known.since + PROPAGATION_TIME:
            return False
        if report.running + report.waiting > 0:
            return False
        own_name = context.state.identity.instance
        return not any(
            until > context.now and other < own_name
            for other, until in self.others.get(name, {}).items()
        )

    def _update_endpoint(self, name: EndpointId, context: Context) -> None:
        """Set the endpoint's isolation end to the latest of all instances."""
        expiries = self.others.get(name, {})
        for instance in [
            each for each, until in expiries.items() if until <= context.now
        ]:
            del expiries[instance]
        if not expiries:
            self.others.pop(name, None)
        end_times = list(expiries.values())
        if name in self.own:
            end_times.append(self.own[name].renewed_at + ISOLATION_TIME)
        endpoint = context.state.fleet.endpoints.get(name)
        if endpoint is not None:
            endpoint.isolated_until = max(end_times, default=None)

"""Endpoints that are kept free for suspects, by this instance or by peers."""

from dataclasses import dataclass, field
from datetime import timedelta

from ...ids import EndpointId, InstanceId
from ...kernel.context import Context
from ...kernel.fleet import Endpoint
from ...kernel.messages.peers import Publish, Scope
from ...kernel.messages.quarantine import EndpointIsolation, EndpointIsolationReceived

ISOLATION_TIME = timedelta(seconds=6)
"""For how long an endpoint is kept free at a time."""

RENEWAL_INTERVAL = timedelta(seconds=2)

PROPAGATION_TIME = timedelta(seconds=1)
"""Until peers have heard of an isolation, and this instance of theirs."""

MS = timedelta(milliseconds=1)


@dataclass(slots=True)
class OwnIsolation:
    """An endpoint that this instance keeps free."""

    since: timedelta
    renewed_at: timedelta


@dataclass(slots=True)
class Isolations:
    """Who keeps which endpoint free.

    Several instances may want the same endpoint, as all rank them alike. Each knows
    of the others before its first run there, and the smallest name goes first.
    """

    own: dict[EndpointId, OwnIsolation] = field(default_factory=dict)
    others: dict[EndpointId, dict[InstanceId, timedelta]] = field(default_factory=dict)

    def isolate(self, endpoint: Endpoint, context: Context) -> None:
        """Keep everybody's new work off an endpoint for a while."""
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
        """Give an endpoint back to all work."""
        if self.own.pop(name, None) is None:
            return
        context.emit(Publish(name, EndpointIsolation(0), Scope.FLEET, urgent=True))
        self._update_endpoint(name, context)

    def receive(self, message: EndpointIsolationReceived, context: Context) -> None:
        """Note what a peer keeps free, or no longer does."""
        left = message.isolation.remaining_ms * MS - message.origin.age
        group = self.others.setdefault(message.endpoint, {})
        group[message.origin.instance] = context.now + left
        self._update_endpoint(message.endpoint, context)

    def is_exclusive(self, endpoint: Endpoint, context: Context) -> bool:
        """Return whether nobody else uses an endpoint that is kept free.

        The isolation must have spread, and a report made after that must show
        nothing. An older report would not show what others sent just before.
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
        """Write down at the endpoint until when it is kept free by anybody."""
        group = self.others.get(name, {})
        for instance in [each for each, until in group.items() if until <= context.now]:
            del group[instance]
        if not group:
            self.others.pop(name, None)
        ends = list(group.values())
        if name in self.own:
            ends.append(self.own[name].renewed_at + ISOLATION_TIME)
        endpoint = context.state.fleet.endpoints.get(name)
        if endpoint is not None:
            endpoint.isolated_until = max(ends, default=None)

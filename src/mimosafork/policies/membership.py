"""Peer membership, and the assignment of endpoint watchers.

Instances with the same list of members rank them identically for each endpoint, so
they agree on its two watchers without exchanging messages. While their views differ,
an endpoint has one watcher more or fewer, which costs a few probes or a second's
delay.
"""

from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod

from ..ids import AvailabilityZoneId, EndpointId, InstanceId
from ..kernel.context import Context
from ..kernel.messages.attempts import AttemptFailed
from ..kernel.messages.base import Message, Tick
from ..kernel.messages.fleet import EndpointEntry, InstancesListed, LifecycleState
from ..kernel.messages.peers import (
    AddPeerCandidates,
    Member,
    MembersChanged,
    MemberState,
)
from ..kernel.messages.watch import PublishForZone, WatchedEndpoint, WatchEndpoints
from ..kernel.plugins import Plugin
from ..kernel.registry import register
from ..kernel.rendezvous import ranked

WATCHERS = 2
"""Watchers of an endpoint: with two, it stays watched when one of them fails."""

WARM_UP = timedelta(seconds=10)
"""Time after its start in which an instance counts the listed instances as live.
Without this, it would start by probing its whole zone alone."""

ZONE_PUBLISH_INTERVAL = timedelta(seconds=1)

DRAINING_REFUSAL = "draining"


@dataclass(frozen=True, slots=True)
class WatchAssignment:
    """Inputs of the watcher assignment."""

    candidates: tuple[InstanceId, ...]
    endpoints: tuple[EndpointEntry, ...]


@register("membership")
class Membership(Plugin):
    """Maintains the members and assigns the watchers of endpoints.

    Attributes
    ----------
    is_zone_publisher : bool
        This instance publishes its zone's endpoints to the other zones.
    zone_endpoints : int
        Number of endpoints in the own zone.
    """

    def __init__(self) -> None:
        self.started_at: timedelta | None = None
        self.members: tuple[Member, ...] = ()
        self.silent_zones: frozenset[AvailabilityZoneId] = frozenset()
        self.watched: dict[EndpointId, WatchedEndpoint] | None = None
        self.last_assignment: WatchAssignment | None = None
        self.zone_endpoints = 0
        self.is_warm = False
        self.is_zone_publisher = False
        self.zone_published_at = timedelta(0)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to a message."""

    @handle.register
    def _(self, message: InstancesListed, context: Context) -> None:
        context.emit(AddPeerCandidates(message.instances))
        self._assign(context)

    @handle.register
    def _(self, message: MembersChanged, context: Context) -> None:
        self.members = message.members
        self.silent_zones = frozenset(message.silent_zones)
        context.state.fleet.members = {each.instance: each for each in message.members}
        self._assign(context)

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        """Treat an endpoint's own refusal as its newest state."""
        if message.refusal != DRAINING_REFUSAL:
            return
        record = context.state.requests.get(message.request_id)
        for attempt in record.attempts if record is not None else ():
            if attempt.number == message.attempt:
                fleet = context.state.fleet
                fleet.mark_draining(attempt.endpoint, context.now)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if self.started_at is None:
            self.started_at = context.now
        if not self.is_warm and context.now - self.started_at >= WARM_UP:
            self.is_warm = True
            self._assign(context)
        if (
            self.is_zone_publisher
            and context.now - self.zone_published_at >= ZONE_PUBLISH_INTERVAL
        ):
            self.zone_published_at = context.now
            zone = context.state.identity.availability_zone
            context.post(PublishForZone(zone))

    def candidates(self, context: Context) -> list[InstanceId]:
        """Return the instances of the own zone that share its duties.

        Suspected instances are left out, so that their endpoints get another watcher.
        If a suspected instance is live after all, they have one too many for a while.
        """
        own = context.state.identity.instance
        names = {
            member.instance
            for member in self.members
            if member.state is MemberState.LIVE
        }
        if not self.is_warm:
            names |= self._listed(context)
        if not context.state.draining or not names:
            names.add(own)
        return sorted(names)

    def _listed(self, context: Context) -> set[InstanceId]:
        """Return the zone's listed instances, except those known to be draining."""
        zone = context.state.identity.availability_zone
        leaving = {
            member.instance
            for member in self.members
            if member.state is MemberState.DRAINING
        }
        return {
            entry.instance
            for entry in context.state.fleet.instances.values()
            if entry.availability_zone == zone and entry.state is LifecycleState.LIVE
        } - leaving

    def watched_endpoint(self, endpoint: EndpointId) -> WatchedEndpoint | None:
        """Return how this instance watches an endpoint; None if it does not."""
        return None if self.watched is None else self.watched.get(endpoint)

    def _assign(self, context: Context) -> None:
        """Recompute what this instance watches, if the inputs have changed."""
        zone = context.state.identity.availability_zone
        entries = tuple(
            endpoint.entry
            for endpoint in context.state.fleet.endpoints.values()
            if self._is_responsible_for(endpoint.entry, zone)
        )
        current = WatchAssignment(tuple(self.candidates(context)), entries)
        if current == self.last_assignment:
            return
        self.last_assignment = current
        self.zone_endpoints = sum(each.availability_zone == zone for each in entries)
        own = context.state.identity.instance
        publisher = ranked(f"speaker {zone}", current.candidates)[0]
        self.is_zone_publisher = publisher == own
        watched = _watched_by(own, current)
        if watched != self.watched:
            self.watched = watched
            context.emit(WatchEndpoints(tuple(watched.values())))

    def _is_responsible_for(
        self, entry: EndpointEntry, zone: AvailabilityZoneId
    ) -> bool:
        """Return whether this zone's instances watch an endpoint.

        A zone from which nothing is received may have lost its instances, so every
        other zone watches its endpoints itself. If that zone is only cut off, its own
        instances still watch them; probes from here fail, and the endpoints are
        indeed unreachable from here.
        """
        endpoint_zone = entry.availability_zone
        return endpoint_zone == zone or endpoint_zone in self.silent_zones


def _watched_by(
    own: InstanceId, assignment: WatchAssignment
) -> dict[EndpointId, WatchedEndpoint]:
    """Return the endpoints that are assigned to this instance."""
    watched = {}
    for entry in assignment.endpoints:
        order = ranked(f"watch {entry.endpoint}", assignment.candidates)
        if own in order[:WATCHERS]:
            watched[entry.endpoint] = WatchedEndpoint(
                entry.endpoint, entry.address, entry.kind, is_primary=order[0] == own
            )
    return watched

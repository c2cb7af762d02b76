"""Frees holdings that dead instances have left on the zone's engines."""

import re
from datetime import timedelta
from functools import singledispatchmethod

from ..ids import EndpointId, Incarnation, InstanceId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.base import Message, Tick
from ..kernel.messages.fleet import EndpointKind, InstancesListed
from ..kernel.messages.leases import Duty, Lease, LeaseChanged
from ..kernel.messages.peers import MembersChanged, MemberState
from ..kernel.messages.recovery import (
    FreeHolding,
    FreeReason,
    Holding,
    HoldingKind,
    HoldingsListed,
    ListHoldings,
)
from ..kernel.plugins import Plugin
from ..kernel.registry import register
from .claims.keys import KEY_BYTES

LIST_INTERVAL = timedelta(seconds=60)
"""Time between two full listings of an engine. A listing of 70 streams is 10 KB, so a
zone of 100 engines costs its holder 17 KB a second."""

DEADLINE_GRACE = timedelta(seconds=5)
"""Time for an engine to free an overdue holding by itself."""

REMOVED_AFTER = timedelta(minutes=10)
"""An owner missing from the platform's list for this long counts as removed."""

INSTANCE_RETENTION = timedelta(hours=2)

MAX_LIST_GAP = timedelta(seconds=5)
"""Longest time between two lists that counts towards removal: an outage of the list
shows nothing about its members."""

RESUMABLE_STREAM_ID = re.compile(rf"[0-9a-f]{{{2 * KEY_BYTES}}}-\d+\.\d+")
"""Ids of streams under an idempotency key."""


@register("recovery")
class Recovery(Plugin):
    """Decides which holdings to free while this instance has the cleaning lease.

    If none were freed, the memory of streams, reservations and exported KV whose owner
    was killed would stay taken. An owner that is only silent may be partitioned and
    still serving, so its holdings stay until their deadline. The reasons to free a
    holding never cease to apply, so an instance that lost its lease frees nothing
    wrongly.
    """

    def __init__(self) -> None:
        self.lease: Lease | None = None
        self.next_list_at: dict[EndpointId, timedelta] = {}
        self.newest_incarnations: dict[InstanceId, Incarnation] = {}
        self.removed_for: dict[InstanceId, timedelta] = {}
        self.last_list_at: timedelta | None = None

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to leases, lists and listings."""

    @handle.register
    def _(self, message: LeaseChanged, context: Context) -> None:
        if message.duty is Duty.CLEANING:
            self.lease = message.lease

    @handle.register
    def _(self, message: InstancesListed, context: Context) -> None:
        listed = context.state.fleet.instances
        for entry in listed.values():
            self._record_incarnation(entry.instance, entry.incarnation, context)
        gap = timedelta(0)
        if self.last_list_at is not None:
            gap = min(context.now - self.last_list_at, MAX_LIST_GAP)
        self.last_list_at = context.now
        for instance in self.newest_incarnations:
            if instance in listed or _is_reachable_member(instance, context):
                self.removed_for.pop(instance, None)
            else:
                known = self.removed_for.get(instance, timedelta(0))
                self.removed_for[instance] = known + gap
        self._forget_removed()

    @handle.register
    def _(self, message: MembersChanged, context: Context) -> None:
        for member in message.members:
            self._record_incarnation(member.instance, member.incarnation, context)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if not self._may_act(context):
            return
        for endpoint in _engines(context):
            name = endpoint.endpoint_id
            if name not in self.next_list_at:
                # Spread the listings, to avoid a burst of calls to all engines.
                self.next_list_at[name] = (
                    context.now + LIST_INTERVAL * context.random.random()
                )
            elif self.next_list_at[name] <= context.now:
                self.next_list_at[name] = context.now + LIST_INTERVAL
                context.emit(ListHoldings(name, endpoint.entry.address))

    @handle.register
    def _(self, message: HoldingsListed, context: Context) -> None:
        endpoint = context.state.fleet.endpoints.get(message.endpoint)
        if endpoint is None or not self._may_act(context):
            return
        for holding in message.holdings:
            self.newest_incarnations.setdefault(
                holding.owner, holding.owner_incarnation
            )
            reason = self.reason_to_free(holding)
            if reason is not None:
                address = endpoint.entry.address
                context.emit(FreeHolding(message.endpoint, address, holding, reason))

    def reason_to_free(self, holding: Holding) -> FreeReason | None:
        """Return why a holding may be freed; None if it must stay."""
        if holding.time_left < -DEADLINE_GRACE:
            return FreeReason.PAST_DEADLINE
        if _may_be_resumed(holding):
            return None
        if self.newest_incarnations.get(holding.owner, 0) > holding.owner_incarnation:
            return FreeReason.OWNER_REPLACED
        if self.removed_for.get(holding.owner, timedelta(0)) >= REMOVED_AFTER:
            return FreeReason.OWNER_REMOVED
        return None

    def _record_incarnation(
        self, instance: InstanceId, incarnation: Incarnation, context: Context
    ) -> None:
        known = self.newest_incarnations.get(instance)
        if known is not None and incarnation <= known:
            return
        self.newest_incarnations[instance] = incarnation
        if known is None or not self._may_act(context):
            return
        for endpoint in _engines(context):
            name, address = endpoint.endpoint_id, endpoint.entry.address
            context.emit(ListHoldings(name, address, instance))

    def _forget_removed(self) -> None:
        """Forget instances that were removed longer ago than any holding lasts."""
        gone = [
            name for name, span in self.removed_for.items() if span > INSTANCE_RETENTION
        ]
        for instance in gone:
            del self.removed_for[instance]
            del self.newest_incarnations[instance]

    def _may_act(self, context: Context) -> bool:
        if self.lease is None or context.state.draining:
            return False
        return self.lease.covers(context.now)


def _may_be_resumed(holding: Holding) -> bool:
    """Return whether another instance may be reading the stream of a dead one.

    A resend with the same key is served from the running stream, which keeps its
    first owner. Freeing it when the owner dies would cut the answer. It ends at its
    deadline.
    """
    if holding.kind is not HoldingKind.STREAM:
        return False
    return RESUMABLE_STREAM_ID.fullmatch(holding.holding_id) is not None


def _is_reachable_member(instance: InstanceId, context: Context) -> bool:
    member = context.state.fleet.members.get(instance)
    return member is not None and member.state is not MemberState.SUSPECT


def _engines(context: Context) -> list[Endpoint]:
    """Return the zone's reachable model engines."""
    zone = context.state.identity.availability_zone
    return [
        endpoint
        for endpoint in context.state.fleet.endpoints.values()
        if endpoint.entry.kind is EndpointKind.MODEL_ENGINE
        and endpoint.entry.availability_zone == zone
        and endpoint.unreachable_since is None
    ]

"""Rollout of the configured model versions to the zone's engines."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import singledispatchmethod
from itertools import count

from ..ids import EndpointId, Incarnation, ModelId, OrderId
from ..kernel.context import Context
from ..kernel.fleet import Endpoint
from ..kernel.messages.base import Message, Tick
from ..kernel.messages.fleet import EndpointKind, FencingMode, LifecycleState
from ..kernel.messages.leases import Duty, Lease, LeaseChanged
from ..kernel.messages.orders import (
    ORDER_TIMEOUT,
    OrderAnswered,
    OrderKind,
    OrderResult,
    ReadState,
    SendOrder,
    StateRead,
    StateReadFailed,
)
from ..kernel.plugins import Plugin
from ..kernel.registry import register
from .rollout_steps import confirming_order, next_order

STATE_READ_INTERVAL = timedelta(seconds=15)
"""Between two reads of an endpoint's state; bounds the effect of a stale order."""

LOADING_STATE_READ_INTERVAL = timedelta(seconds=2)
"""The same while the endpoint loads a model."""

MAX_LOADING_SHARE = 0.1
"""Share of the zone's engines that may load at once; at least one may."""

REFUSAL_BACKOFF = timedelta(seconds=30)
LOAD_BACKOFF = timedelta(seconds=5)
"""Delay before a load that did not show in the endpoint's state is ordered again."""


@dataclass(frozen=True, slots=True)
class SeenModels:
    """Models that one incarnation of an engine has shown since this lease began."""

    incarnation: Incarnation
    models: frozenset[ModelId]


@register("rollout")
class Rollout(Plugin):
    """Decides orders while this instance holds the zone's lease for them.

    No state is taken over from an earlier holder: endpoint states are read first,
    and again after each order. A lost order, or a late order of a previous holder
    that resumed after a pause, is therefore corrected at the next read.
    """

    def __init__(self) -> None:
        self.lease: Lease | None = None
        self.states: dict[EndpointId, StateRead] = {}
        self.unreadable: set[EndpointId] = set()
        self.next_read_at: dict[EndpointId, timedelta] = {}
        self.outstanding: dict[EndpointId, SendOrder] = {}
        self.seen_models: dict[EndpointId, SeenModels] = {}
        self.confirmed: set[EndpointId] = set()
        self.backoff_until: dict[EndpointId, timedelta] = {}
        self.order_numbers = count(1)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to lease changes, endpoint states and order answers."""

    @handle.register
    def _(self, message: LeaseChanged, context: Context) -> None:
        if message.duty is not Duty.ORDERS:
            return
        known = self.lease.fencing if self.lease is not None else None
        self.lease = message.lease
        if self.lease is None or self.lease.fencing != known:
            self._forget()

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        if not self._may_act(context):
            return
        for endpoint in _engines(context):
            if self.next_read_at.get(endpoint.endpoint_id, context.now) <= context.now:
                self._schedule_read(endpoint.endpoint_id, STATE_READ_INTERVAL, context)
                context.emit(ReadState(endpoint.endpoint_id, endpoint.entry.address))

    @handle.register
    def _(self, message: StateRead, context: Context) -> None:
        self.unreadable.discard(message.endpoint)
        self.states[message.endpoint] = message
        self._record_models(message)
        if _is_loading(message):
            self._schedule_read(message.endpoint, LOADING_STATE_READ_INTERVAL, context)
        self._send_orders(context)

    @handle.register
    def _(self, message: StateReadFailed, context: Context) -> None:
        self.unreadable.add(message.endpoint)
        self.states.pop(message.endpoint, None)

    @handle.register
    def _(self, message: OrderAnswered, context: Context) -> None:
        if self.lease is None or message.fencing != self.lease.fencing:
            return
        command = self.outstanding.pop(message.endpoint, None)
        if message.result is OrderResult.ACCEPTED:
            self.confirmed.add(message.endpoint)
        # The known state may be outdated, also if the answer was lost: it has to be
        # read again.
        self.states.pop(message.endpoint, None)
        if message.result is OrderResult.REFUSED:
            self._back_off(message.endpoint, REFUSAL_BACKOFF, context)
        elif command is not None and command.fetches_weights:
            self._back_off(message.endpoint, LOAD_BACKOFF, context)
        self._schedule_read(message.endpoint, timedelta(0), context)

    def _forget(self) -> None:
        self.states.clear()
        self.unreadable.clear()
        self.next_read_at.clear()
        self.outstanding.clear()
        self.seen_models.clear()
        self.confirmed.clear()
        self.backoff_until.clear()

    def _may_act(self, context: Context) -> bool:
        """Return whether orders may be decided now.

        After a takeover the previous holder's last order may still be in flight: it
        started while that lease was valid and ends within the order timeout.
        """
        lease = self.lease
        if lease is None or context.state.configuration is None:
            return False
        if lease.taken_over and context.now < lease.since + ORDER_TIMEOUT:
            return False
        return lease.covers(context.now) and not context.state.draining

    def _schedule_read(
        self, endpoint: EndpointId, pause: timedelta, context: Context
    ) -> None:
        self.next_read_at[endpoint] = context.now + pause

    def _back_off(
        self, endpoint: EndpointId, pause: timedelta, context: Context
    ) -> None:
        self.backoff_until[endpoint] = context.now + pause

    def _send_orders(self, context: Context) -> None:
        """Send the orders that are needed and allowed now."""
        engines = list(_engines(context))
        if not self._may_act(context) or not self._all_states_known(engines):
            return
        may_load = self._remaining_loads(engines)
        for endpoint in engines:
            command = self._next_command(endpoint, context)
            if command is None:
                continue
            if command.fetches_weights:
                if may_load <= 0:
                    continue
                may_load -= 1
            self.outstanding[endpoint.endpoint_id] = command
            context.emit(command)

    def _all_states_known(self, engines: Iterable[Endpoint]) -> bool:
        """Return whether each state is known, unreadable, or being changed by an order.

        A new holder that sent orders before it knew which engines are loading would
        start as many loads again.
        """
        return all(
            endpoint.endpoint_id in self.states
            or endpoint.endpoint_id in self.unreadable
            or endpoint.endpoint_id in self.outstanding
            for endpoint in engines
        )

    def _remaining_loads(self, engines: list[Endpoint]) -> int:
        limit = max(1, int(MAX_LOADING_SHARE * len(engines)))
        ordered = sum(each.fetches_weights for each in self.outstanding.values())
        loading = sum(
            name not in self.outstanding and _is_loading(state)
            for name, state in self.states.items()
        )
        return limit - ordered - loading

    def _next_command(self, endpoint: Endpoint, context: Context) -> SendOrder | None:
        name = endpoint.endpoint_id
        state = self.states.get(name)
        if state is None or name in self.outstanding or self.lease is None:
            return None
        if self.backoff_until.get(name, context.now) > context.now:
            return None
        assert context.state.configuration is not None
        models = context.state.configuration.models
        order_id = OrderId(
            f"{context.state.identity.instance}-{next(self.order_numbers)}"
        )
        order = next_order(state, models, self.seen_models[name].models, order_id)
        fetches = order is not None and order.kind is not OrderKind.UNLOAD_MODEL
        if order is None and self._is_unconfirmed(endpoint):
            order = confirming_order(state, models, order_id)
        if order is None:
            return None
        address = endpoint.entry.address
        mode = _fencing_mode(endpoint)
        return SendOrder(name, address, mode, order, self.lease.fencing, fetches)

    def _is_unconfirmed(self, endpoint: Endpoint) -> bool:
        """Return whether an engine that checks fencing numbers may not know this one.

        It refuses a late order of the previous holder only if it has seen a larger
        number. Where nothing needs to be changed, it would never receive one.
        """
        if self.lease is None or not self.lease.taken_over:
            return False
        if endpoint.endpoint_id in self.confirmed:
            return False
        return _fencing_mode(endpoint) is FencingMode.CHECKED

    def _record_models(self, state: StateRead) -> None:
        models = frozenset(each.model for each in state.models)
        known = self.seen_models.get(state.endpoint)
        if known is not None and known.incarnation == state.incarnation:
            models |= known.models
        self.seen_models[state.endpoint] = SeenModels(state.incarnation, models)


def _fencing_mode(endpoint: Endpoint) -> FencingMode:
    """Return how the endpoint treats fencing numbers; ignored if unknown."""
    if endpoint.report is None:
        return FencingMode.IGNORED
    return endpoint.report.fencing


def _is_loading(state: StateRead) -> bool:
    return any(not each.is_ready for each in state.models)


def _engines(context: Context) -> Iterable[Endpoint]:
    """Return the zone's model engines that are reachable."""
    zone = context.state.identity.availability_zone
    for endpoint in context.state.fleet.endpoints.values():
        entry = endpoint.entry
        if entry.kind is not EndpointKind.MODEL_ENGINE:
            continue
        if entry.availability_zone != zone or entry.state is LifecycleState.LEAVING:
            continue
        if endpoint.unreachable_since is None:
            yield endpoint

"""Sends one order, or asks for a state, over HTTP."""

from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..ids import AdapterId, Incarnation, ModelId
from ..kernel.messages.fleet import FencingMode
from ..kernel.messages.leases import Duty
from ..kernel.messages.orders import (
    ORDER_TIMEOUT,
    LoadedModel,
    OrderAnswered,
    OrderResult,
    ReadState,
    SendOrder,
    StateRead,
    StateReadFailed,
)
from ..leases.view import LeaseView
from ..network.decoding import UNDECODABLE
from ..network.errors import NetworkError, NeverSentError
from ..network.http import Answer
from ..network.ports import Http

LEASE_MARGIN = timedelta(seconds=1)
"""Left of the lease when an order's call has ended at the latest."""

CALL_TIMEOUT = timedelta(seconds=2)
"""Wait for an answer; with the time to connect, within `ORDER_TIMEOUT`."""

OK = 200
CONFLICT = 409
STALE_FENCING = "stale-fencing"


@dataclass(frozen=True, slots=True)
class _OrderBody:
    order_id: str
    fencing: int
    kind: str
    model: str | None
    version: str | None
    adapter: str | None


@dataclass(frozen=True, slots=True)
class _ModelBody:
    model: str
    version: str
    state: str


@dataclass(frozen=True, slots=True)
class _StateBody:
    incarnation: int
    models: tuple[_ModelBody, ...] = ()
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _RefusalBody:
    refused: str = ""
    detail: str = ""


class OrderSender:
    """Checks the lease right before each order and sends it.

    Parameters
    ----------
    http : Http
    clock : Clock
    leases : LeaseView
    """

    def __init__(self, http: Http, clock: Clock, leases: LeaseView) -> None:
        self.http = http
        self.clock = clock
        self.leases = leases

    def may_send(self, command: SendOrder) -> bool:
        """Return whether the lease allows the order now.

        A holder that was paused wakes up with an order in hand while another one
        is at work already. Endpoints that check fencing numbers refuse it. For
        those that don't, the lease must outlast the whole call with a margin;
        there is nothing else that keeps a late order off them.
        """
        lease = self.leases.current(Duty.ORDERS)
        if lease is None or lease.fencing != command.fencing:
            return False
        now = self.clock.monotonic()
        if command.fencing_mode is FencingMode.CHECKED:
            return lease.covers(now)
        return lease.covers(now + ORDER_TIMEOUT + LEASE_MARGIN)

    def send(self, command: SendOrder) -> OrderAnswered:
        """Send an order once; return what became of it."""
        order = command.order
        body = _OrderBody(
            order.order_id,
            command.fencing,
            order.kind.value,
            order.model,
            order.version,
            order.adapter,
        )
        if not self.may_send(command):
            return _answered(command, OrderResult.NOT_SENT, "the lease runs out")
        try:
            answer = self.http.call(
                "POST", command.address, "/v1/orders", body, timeout=CALL_TIMEOUT
            )
        except NeverSentError as error:
            return _answered(command, OrderResult.NOT_SENT, str(error))
        except NetworkError as error:
            return _answered(command, OrderResult.UNKNOWN, str(error))
        return _judged(command, answer)

    def read_state(self, command: ReadState) -> StateRead | StateReadFailed:
        """Ask an endpoint for its state."""
        try:
            answer = self.http.call(
                "GET", command.address, "/v1/state", timeout=CALL_TIMEOUT
            )
        except NetworkError:
            return StateReadFailed(command.endpoint)
        if answer.status != OK:
            return StateReadFailed(command.endpoint)
        try:
            body = msgspec.json.decode(answer.body, type=_StateBody)
        except UNDECODABLE:
            return StateReadFailed(command.endpoint)
        models = tuple(
            LoadedModel(ModelId(each.model), each.version, each.state == "ready")
            for each in body.models
        )
        adapters = tuple(AdapterId(each) for each in body.adapters)
        incarnation = Incarnation(body.incarnation)
        return StateRead(command.endpoint, incarnation, models, adapters)


def _judged(command: SendOrder, answer: Answer) -> OrderAnswered:
    if answer.status == OK:
        return _answered(command, OrderResult.ACCEPTED)
    try:
        refusal = msgspec.json.decode(answer.body, type=_RefusalBody)
    except UNDECODABLE:
        refusal = _RefusalBody(detail=f"status {answer.status}")
    if answer.status == CONFLICT and refusal.refused == STALE_FENCING:
        return _answered(command, OrderResult.STALE, refusal.detail)
    detail = f"{refusal.refused} {refusal.detail}".strip()
    return _answered(command, OrderResult.REFUSED, detail)


def _answered(
    command: SendOrder, result: OrderResult, detail: str = ""
) -> OrderAnswered:
    return OrderAnswered(
        command.endpoint, command.order, command.fencing, result, detail
    )

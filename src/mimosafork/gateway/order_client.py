"""Sends the kernel's memory orders to endpoints, each with a timeout."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..kernel.messages.base import Effect, Message
from ..kernel.messages.endpoint_statements import LeavingAnnounced
from ..kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)
from ..telemetry.catalogue.gateway import MEMORY_NOT_RESERVED
from ..telemetry.logs import log_event
from .dialect import Dialect, OrderMessage
from .heads import Header, render_head
from .pool import ConnectionPool, ConnectionRequest
from .response_reader import ResponseHead
from .upstream import CallSink, ConnectionLoss, EndpointConnection

logger = getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
ORDER_TIMEOUT = timedelta(milliseconds=250)
"""An engine answers an order within a few milliseconds. After this timeout the order
counts as lost, so that the next step is not delayed further."""

MAX_RESPONSE_BODY = 64 * 1024
"""Limit on the body of an order's response, which is a short document."""

MAX_SENDS = 2
"""An order is resent once if its connection closes: orders are idempotent, and the
endpoint may have closed a pooled connection at that moment."""


class PendingOrder(msgspec.Struct, frozen=True):
    """An order to be sent.

    Attributes
    ----------
    on_done : callable
        Called exactly once, with the failure or None.
    may_send : callable
        Returns whether the order may still be sent.
    """

    endpoint: EndpointId
    address: str
    message: OrderMessage
    on_done: Callable[[GangStepFailure | None], None]
    may_send: Callable[[], bool] = lambda: True


class OrderContext(msgspec.Struct, frozen=True):
    """Dependencies shared by all orders."""

    clock: Clock
    pool: ConnectionPool
    dialect: Dialect
    report: Callable[[Message], None]


class OrderRequest:
    """Sends one order and waits for its response."""

    def __init__(self, order: PendingOrder, context: OrderContext) -> None:
        self.order = order
        self.context = context
        self.connection: EndpointConnection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.status: int | None = None
        self.body_bytes = 0
        self.sends = 0
        self.sent_at = timedelta(0)
        self.ended = False

    def start(self) -> None:
        """Send on a pooled connection or on a new one."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(ORDER_TIMEOUT.total_seconds(), self._on_timeout)
        self._send_or_connect(self.context.pool.acquire(self._connection_request()))

    def _connection_request(self) -> ConnectionRequest:
        return ConnectionRequest(self.order.endpoint, self.order.address)

    def _send_or_connect(self, pooled: EndpointConnection | None) -> None:
        if pooled is not None:
            self._send(pooled)
            return
        self.opening = self.context.pool.open(
            self._connection_request(), self._send, self._on_connect_failed
        )

    def _send(self, connection: EndpointConnection) -> None:
        self.opening = None
        if self.ended:
            connection.close()
            return
        # Checked here, as the order may have waited for a connection.
        if not self.order.may_send():
            self.context.pool.release(self.order.endpoint, connection)
            self._finish(
                GangStepFailure.LOST if self.sends else GangStepFailure.EVACUATED
            )
            return
        self.connection = connection
        self.sends += 1
        self.sent_at = self.context.clock.monotonic()
        sink = CallSink(self._on_head, self._on_data, self._on_end, self._on_lost)
        connection.send(self._request(), sink, without_body=False)

    def _request(self) -> bytes:
        message = self.order.message
        headers = [
            Header(b"Host", self.order.address.encode()),
            Header(b"Content-Type", b"application/json"),
            Header(b"Content-Length", b"%d" % len(message.body)),
        ]
        first_line = b"POST %s HTTP/1.1" % message.path.encode()
        return render_head(first_line, headers) + message.body

    def _on_data(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if self.body_bytes > MAX_RESPONSE_BODY and self.connection is not None:
            self.connection.abort()
            self._on_lost(ConnectionLoss.MALFORMED)

    def _on_head(self, head: ResponseHead) -> None:
        self.body_bytes = 0
        self.status = head.status
        metadata = self.context.dialect.parse_response_metadata(head)
        if metadata.announces_leaving and not metadata.endpoint_moved:
            self.context.report(LeavingAnnounced(self.order.endpoint, self.sent_at))

    def _on_end(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            self.context.pool.release(self.order.endpoint, connection)
        assert self.status is not None
        self._finish(self.context.dialect.order_failure(self.status))

    def _on_lost(self, loss: ConnectionLoss) -> None:
        self.connection = None
        if self.ended or self.sends >= MAX_SENDS:
            self._finish(GangStepFailure.LOST)
            return
        self._send_or_connect(None)

    def _on_connect_failed(self, error: OSError) -> None:
        self.opening = None
        self._finish(GangStepFailure.LOST if self.sends else GangStepFailure.UNREACHED)

    def _on_timeout(self) -> None:
        opening, self.opening = self.opening, None
        if opening is not None:
            opening.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort()
        self._finish(GangStepFailure.LOST if self.sends else GangStepFailure.UNREACHED)

    def _finish(self, failure: GangStepFailure | None) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.order.on_done(failure)


class OrderClient:
    """Turns effects into orders, and their responses into messages.

    Parameters
    ----------
    clock : Clock
    post : callable
        Hands a message to the kernel.
    is_evacuated : callable
        Returns whether an endpoint is in an evacuated zone. No memory is reserved
        there, as no request could use it; what running requests hold is renewed.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        dialect: Dialect,
        post: Callable[[Message], None],
        is_evacuated: Callable[[EndpointId], bool] = lambda endpoint: False,
    ) -> None:
        self.clock = clock
        self.is_evacuated = is_evacuated
        self.context = OrderContext(clock, pool, dialect, post)
        self.post = post
        self.in_flight: set[OrderRequest] = set()
        self.all_answered = asyncio.Event()

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Carry out an effect."""

    @perform.register
    def _(self, effect: ReserveMemory) -> None:
        sent_at = self.clock.monotonic()

        def on_done(failure: GangStepFailure | None) -> None:
            request, reservation = effect.request_id, effect.reservation
            if failure is None:
                self.post(MemoryReserved(request, reservation))
                return
            self._log_failure(effect, failure, self.clock.monotonic() - sent_at)
            self.post(ReservationFailed(request, reservation, failure))

        def may_send() -> bool:
            return effect.renewal or not self.is_evacuated(effect.endpoint)

        self._send(effect.endpoint, effect.address, effect, on_done, may_send)

    @perform.register
    def _(self, effect: FreeOwnHolding) -> None:
        # A failed release is not retried: reservations are short and expire on
        # their own.
        self._send(effect.endpoint, effect.address, effect, lambda failure: None)

    def _send(
        self,
        endpoint: EndpointId,
        address: str,
        effect: Effect,
        on_done: Callable[[GangStepFailure | None], None],
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        def finish(failure: GangStepFailure | None) -> None:
            self.in_flight.discard(call)
            if not self.in_flight:
                self.all_answered.set()
            on_done(failure)

        message = self.context.dialect.order(effect)
        call = OrderRequest(
            PendingOrder(endpoint, address, message, finish, may_send), self.context
        )
        self.in_flight.add(call)
        self.all_answered.clear()
        call.start()

    def _log_failure(
        self, effect: ReserveMemory, failure: GangStepFailure, elapsed: timedelta
    ) -> None:
        log_event(
            logger,
            MEMORY_NOT_RESERVED,
            endpoint=effect.endpoint,
            reservation=effect.reservation,
            tokens=effect.tokens,
            why=failure.value,
            after_ms=int(elapsed / MILLISECOND),
        )

    async def wait_until_idle(self) -> None:
        """Wait until all orders are answered or have timed out."""
        if self.in_flight:
            await self.all_answered.wait()

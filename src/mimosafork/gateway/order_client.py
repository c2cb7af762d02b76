"""Carries out the kernel's orders to endpoints, each within a bounded time."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from logging import getLogger

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..kernel.messages.base import Effect, Message
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
"""An engine answers an order within a few milliseconds; one that is silent for so
long is taken to have lost it, and the next step must not wait longer."""

MOST_SENDS = 2
"""An order whose connection ends under it is sent once more: to repeat it changes
nothing, and a kept connection may have been closed just then."""


class Order(msgspec.Struct, frozen=True):
    """An order on its way.

    Attributes
    ----------
    done : callable
        Told the failure, or None, exactly once.
    """

    endpoint: EndpointId
    address: str
    message: OrderMessage
    done: Callable[[GangStepFailure | None], None]


class OrderTools(msgspec.Struct, frozen=True):
    """What orders share."""

    pool: ConnectionPool
    dialect: Dialect


class OrderCall:
    """Sends one order and awaits its answer."""

    def __init__(self, order: Order, tools: OrderTools) -> None:
        self.order = order
        self.tools = tools
        self.connection: EndpointConnection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.status: int | None = None
        self.sends = 0
        self.ended = False

    def start(self) -> None:
        """Send on a kept connection, or on a new one."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(ORDER_TIMEOUT.total_seconds(), self._too_late)
        self._try(self.tools.pool.acquire(self._wanted()))

    def _wanted(self) -> ConnectionRequest:
        return ConnectionRequest(self.order.endpoint, self.order.address)

    def _try(self, kept: EndpointConnection | None) -> None:
        if kept is not None:
            self._send(kept)
            return
        self.opening = self.tools.pool.open(self._wanted(), self._send, self._unreached)

    def _send(self, connection: EndpointConnection) -> None:
        self.opening = None
        if self.ended:
            connection.close()
            return
        self.connection = connection
        self.sends += 1
        sink = CallSink(self._on_head, lambda data: None, self._on_end, self._on_lost)
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

    def _on_head(self, head: ResponseHead) -> None:
        self.status = head.status

    def _on_end(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            self.tools.pool.release(self.order.endpoint, connection)
        assert self.status is not None
        self._end(self.tools.dialect.order_failure(self.status))

    def _on_lost(self, loss: ConnectionLoss) -> None:
        self.connection = None
        if self.ended or self.sends >= MOST_SENDS:
            self._end(GangStepFailure.LOST)
            return
        self._try(None)

    def _unreached(self, error: OSError) -> None:
        self.opening = None
        self._end(GangStepFailure.LOST if self.sends else GangStepFailure.UNREACHED)

    def _too_late(self) -> None:
        opening, self.opening = self.opening, None
        if opening is not None:
            opening.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort()
        self._end(GangStepFailure.LOST if self.sends else GangStepFailure.UNREACHED)

    def _end(self, failure: GangStepFailure | None) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.order.done(failure)


class OrderClient:
    """Turns effects into orders, and their answers into messages.

    Parameters
    ----------
    clock : Clock
    report : callable
        Hands a message to the kernel.
    """

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        dialect: Dialect,
        report: Callable[[Message], None],
    ) -> None:
        self.clock = clock
        self.tools = OrderTools(pool, dialect)
        self.report = report
        self.open: set[OrderCall] = set()
        self.none_open = asyncio.Event()

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Carry out an effect."""

    @perform.register
    def _(self, effect: ReserveMemory) -> None:
        sent_at = self.clock.monotonic()

        def done(failure: GangStepFailure | None) -> None:
            request, reservation = effect.request_id, effect.reservation
            if failure is None:
                self.report(MemoryReserved(request, reservation))
                return
            self._log_failure(effect, failure, self.clock.monotonic() - sent_at)
            self.report(ReservationFailed(request, reservation, failure))

        self._send(effect.endpoint, effect.address, effect, done)

    @perform.register
    def _(self, effect: FreeOwnHolding) -> None:
        # A release that got no answer isn't followed up: the memory is reserved for
        # a short while only, and comes free by itself.
        self._send(effect.endpoint, effect.address, effect, lambda failure: None)

    def _send(
        self,
        endpoint: EndpointId,
        address: str,
        effect: Effect,
        done: Callable[[GangStepFailure | None], None],
    ) -> None:
        def ended(failure: GangStepFailure | None) -> None:
            self.open.discard(call)
            if not self.open:
                self.none_open.set()
            done(failure)

        message = self.tools.dialect.order(effect)
        call = OrderCall(Order(endpoint, address, message, ended), self.tools)
        self.open.add(call)
        self.none_open.clear()
        call.start()

    def _log_failure(
        self, effect: ReserveMemory, failure: GangStepFailure, after: timedelta
    ) -> None:
        log_event(
            logger,
            MEMORY_NOT_RESERVED,
            endpoint=effect.endpoint,
            reservation=effect.reservation,
            tokens=effect.tokens,
            why=failure.value,
            after_ms=int(after / MILLISECOND),
        )

    async def wait_until_idle(self) -> None:
        """Wait until all orders are answered; each one's time is bounded."""
        if self.open:
            await self.none_open.wait()

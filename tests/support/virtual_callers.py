"""Caller connections over real sockets in an event loop with virtual time."""

import asyncio
import re
import selectors
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

from mimosafork.clock import ManualClock
from mimosafork.gateway.client_connection import ClientConnection, RequestHandler
from mimosafork.gateway.errors import BadRequestError
from mimosafork.gateway.heads import Header
from mimosafork.gateway.request_reader import RequestMessage
from mimosafork.gateway.unanswered_request import UnansweredRequest
from mimosafork.routing.table import ClientLimits

from .prepared import request_bytes

STATUS = re.compile(rb"HTTP/1\.1 (\d{3}) ")
LOOPBACK = ("127.0.0.1", 0)
MOMENT = timedelta(milliseconds=10)
SETTLE_S = 0.002
"""Real time for which sockets are polled before virtual time advances."""
LEAST_STEP = timedelta(microseconds=2)
"""Exceeds the rounding error of the event loop's float times."""


class VirtualSelector(selectors.SelectSelector):
    """Advances a clock instead of waiting when no socket is ready."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready sockets; advance the time if there are none."""
        if timeout == 0:
            return super().select(0)
        ready = super().select(SETTLE_S)
        if not ready:
            assert timeout is not None, "the loop has neither timers nor ready sockets"
            self.clock.advance(timedelta(seconds=timeout) + LEAST_STEP)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop driven by a test's clock."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(VirtualSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Return the time of the clock."""
        return self.clock.monotonic().total_seconds()


class ScriptedRequestHandler:
    """Records requests and connection events; a test provides the responses.

    Attributes
    ----------
    accepted : list of RequestMessage
    refusals, unanswered, faults : lists
        Recorded connection events.
    answers : callable
        Called with the connection of each accepted request.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.draining = False
        self.accepted: list[RequestMessage] = []
        self.refusals: list[BadRequestError] = []
        self.unanswered: list[UnansweredRequest] = []
        self.faults: list[BaseException] = []
        self.answers: Callable[[ClientConnection], None] = lambda connection: None

    def accept(
        self, connection: ClientConnection, message: RequestMessage, at: timedelta
    ) -> None:
        """Record a request and answer it as the test specifies."""
        self.accepted.append(message)
        self.answers(connection)

    def caller_disconnected(self, connection: ClientConnection) -> None:
        """Do nothing."""

    def caller_stalled(self, connection: ClientConnection, stalled: bool) -> None:
        """Do nothing."""

    def malformed_request(
        self, connection: ClientConnection, error: BadRequestError
    ) -> None:
        """Record a rejected request."""
        self.refusals.append(error)

    def retry_after_headers(self) -> list[Header]:
        """Return a Retry-After header."""
        return [Header(b"Retry-After", b"0.50")]

    def request_unanswered(
        self, connection: ClientConnection, left: UnansweredRequest
    ) -> None:
        """Record an unanswered request."""
        self.unanswered.append(left)

    def intake_faulted(
        self, connection: ClientConnection, error: BaseException
    ) -> None:
        """Record an internal error."""
        self.faults.append(error)


class VirtualCaller:
    """A caller with the instance's side of its connection.

    Attributes
    ----------
    received : bytes
        All bytes received so far.
    ended : bool
        Whether the connection was closed or reset.
    """

    def __init__(self, sock: socket.socket, connection: ClientConnection) -> None:
        self.socket = sock
        self.connection = connection
        self.received = b""
        self.ended = False
        sock.setblocking(False)

    def send(self, path: str = "/safe/1", body: bytes = b"", **headers: str) -> None:
        """Send a complete request."""
        self.send_bytes(request_bytes("POST", path, headers, body, False))

    def send_bytes(self, data: bytes) -> None:
        """Send raw bytes; they are lost if the connection is closed."""
        try:
            self.socket.sendall(data)
        except ConnectionError:
            self.ended = True

    def read(self) -> bytes:
        """Return all bytes received so far."""
        try:
            while piece := self.socket.recv(1 << 20):
                self.received += piece
            self.ended = True
        except BlockingIOError:
            pass
        except ConnectionError:
            self.ended = True
        return self.received

    @property
    def statuses(self) -> list[int]:
        """Statuses of the received responses, in order."""
        return [int(found) for found in STATUS.findall(self.read())]


class VirtualListener:
    """Accepts connections of virtual callers.

    Parameters
    ----------
    handler : RequestHandler
        Handles their requests.

    Attributes
    ----------
    connection_factory : callable
        Returns the protocol of an accepted connection.
    """

    def __init__(self, loop: VirtualLoop, handler: RequestHandler) -> None:
        self.loop = loop
        self.clock = loop.clock
        self.handler = handler
        self.registry: set[ClientConnection] = set()
        self.callers: list[VirtualCaller] = []
        self.connection_factory: Callable[[], ClientConnection] = lambda: (
            ClientConnection(handler, self.clock, self.registry)
        )

    def connect(self) -> VirtualCaller:
        """Connect a new caller."""
        with socket.create_server(LOOPBACK) as listener:
            outer = socket.create_connection(listener.getsockname())
            inner, _ = listener.accept()
        _, connection = self.loop.run_until_complete(
            self.loop.connect_accepted_socket(self.connection_factory, inner)
        )
        assert isinstance(connection, ClientConnection)
        self.callers.append(VirtualCaller(outer, connection))
        return self.callers[-1]

    def run(self, span: timedelta = MOMENT) -> None:
        """Run the event loop for a span of virtual time."""
        self.loop.run_until_complete(asyncio.sleep(span.total_seconds()))

    def freeze(self, span: timedelta) -> None:
        """Advance the time without running the event loop."""
        self.clock.advance(span)

    def run_in_loop(self, step: Callable[[], None]) -> None:
        """Run a function inside the event loop."""

        async def once() -> None:
            step()

        self.loop.run_until_complete(once())


@contextmanager
def virtual_listener(
    make: Callable[[ManualClock], RequestHandler],
) -> Iterator[VirtualListener]:
    """Run a listener in virtual time; exceptions in its callbacks fail the test."""
    loop = VirtualLoop(ManualClock())
    raised: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: raised.append(context))
    listener = VirtualListener(loop, make(loop.clock))
    try:
        yield listener
        assert not raised, raised
    finally:
        for caller in listener.callers:
            caller.socket.close()
        listener.run()
        loop.close()

"""Callers' connections over real sockets, in a loop whose time is virtual."""

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
SETTLES_S = 0.002
"""Real time for which sockets are looked at before virtual time goes on."""
LEAST_STEP = timedelta(microseconds=2)
"""The loop's floats fall short of an instant by less."""


class VirtualSelector(selectors.SelectSelector):
    """Waits by moving a clock, once nothing is ready."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; if nothing is, let the time pass."""
        if timeout == 0:
            return super().select(0)
        ready = super().select(SETTLES_S)
        if not ready:
            assert timeout is not None, "nothing would ever happen"
            self.clock.advance(timedelta(seconds=timeout) + LEAST_STEP)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that goes by a clock of the test."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(VirtualSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Return the clock's instant."""
        return self.clock.monotonic().total_seconds()


class ScriptedRequestHandler:
    """Takes whole requests and leaves their answers to the test.

    Attributes
    ----------
    taken : list of RequestMessage
    refusals, left, faults : lists
        What was noted of connections.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.draining = False
        self.taken: list[RequestMessage] = []
        self.refusals: list[BadRequestError] = []
        self.left: list[UnansweredRequest] = []
        self.faults: list[BaseException] = []
        self.answers: Callable[[ClientConnection], None] = lambda connection: None

    def accept(
        self, connection: ClientConnection, message: RequestMessage, at: timedelta
    ) -> None:
        """Note a request, and answer it as the test says."""
        self.taken.append(message)
        self.answers(connection)

    def caller_disconnected(self, connection: ClientConnection) -> None:
        """Do nothing."""

    def caller_stalled(self, connection: ClientConnection, stalled: bool) -> None:
        """Do nothing."""

    def malformed_request(
        self, connection: ClientConnection, error: BadRequestError
    ) -> None:
        """Note a refusal."""
        self.refusals.append(error)

    def retry_after_headers(self) -> list[Header]:
        """Return what a platform's dialect might."""
        return [Header(b"Retry-After", b"0.50")]

    def request_unanswered(
        self, connection: ClientConnection, left: UnansweredRequest
    ) -> None:
        """Note a request that got no answer."""
        self.left.append(left)

    def intake_faulted(
        self, connection: ClientConnection, error: BaseException
    ) -> None:
        """Note a fault."""
        self.faults.append(error)


class VirtualCaller:
    """A caller, and the instance's side of its connection.

    Attributes
    ----------
    received : bytes
        All that came so far.
    ended : bool
        The connection was closed or reset.
    """

    def __init__(self, sock: socket.socket, connection: ClientConnection) -> None:
        self.socket = sock
        self.connection = connection
        self.received = b""
        self.ended = False
        sock.setblocking(False)

    def send(self, path: str = "/safe/1", body: bytes = b"", **headers: str) -> None:
        """Send a whole request."""
        self.send_bytes(request_bytes("POST", path, headers, body, False))

    def send_bytes(self, data: bytes) -> None:
        """Send bytes as they are; into a closed connection they are lost."""
        try:
            self.socket.sendall(data)
        except ConnectionError:
            self.ended = True

    def read(self) -> bytes:
        """Return all that has come."""
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
        """Statuses of the answers that came, in order."""
        return [int(found) for found in STATUS.findall(self.read())]


class VirtualListener:
    """Where callers connect.

    Parameters
    ----------
    front : Front
        Who takes their requests.

    Attributes
    ----------
    accepting : callable
        Returns the owner of a connection that was just accepted.
    """

    def __init__(self, loop: VirtualLoop, front: RequestHandler) -> None:
        self.loop = loop
        self.clock = loop.clock
        self.front = front
        self.registry: set[ClientConnection] = set()
        self.callers: list[VirtualCaller] = []
        self.accepting: Callable[[], ClientConnection] = lambda: ClientConnection(
            front, self.clock, self.registry
        )

    def connect(self) -> VirtualCaller:
        """Let a caller connect."""
        with socket.create_server(LOOPBACK) as listener:
            outer = socket.create_connection(listener.getsockname())
            inner, _ = listener.accept()
        _, connection = self.loop.run_until_complete(
            self.loop.connect_accepted_socket(self.accepting, inner)
        )
        assert isinstance(connection, ClientConnection)
        self.callers.append(VirtualCaller(outer, connection))
        return self.callers[-1]

    def run(self, span: timedelta = MOMENT) -> None:
        """Let the loop run for a time."""
        self.loop.run_until_complete(asyncio.sleep(span.total_seconds()))

    def freeze(self, span: timedelta) -> None:
        """Let time pass in which nothing runs here."""
        self.clock.advance(span)

    def run_in_loop(self, step: Callable[[], None]) -> None:
        """Run a step in the loop, as a part of the instance would."""

        async def once() -> None:
            step()

        self.loop.run_until_complete(once())


@contextmanager
def virtual_listener(
    make: Callable[[ManualClock], RequestHandler],
) -> Iterator[VirtualListener]:
    """Open a door in virtual time; what its callbacks raise fails the test."""
    loop = VirtualLoop(ManualClock())
    raised: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: raised.append(context))
    door = VirtualListener(loop, make(loop.clock))
    try:
        yield door
        assert not raised, raised
    finally:
        for caller in door.callers:
            caller.socket.close()
        door.run()
        loop.close()

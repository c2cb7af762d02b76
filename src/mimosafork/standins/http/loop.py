"""The task that owns a stand-in's sockets and runs its application."""

import selectors
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from heapq import heappop, heappush
from itertools import count
from logging import getLogger
from queue import Empty, SimpleQueue
from typing import Protocol

from ...clock import Clock
from ..errors import StandinError
from ..ports import Address, HeldPort
from .connection import Connection
from .messages import Exchange, HttpRequest

logger = getLogger(__name__)

BACKLOG = 1024
IDLE_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 5.0


class Application(Protocol):
    """What a stand-in does; called by the loop's task alone."""

    def handle(self, request: HttpRequest, exchange: Exchange) -> None:
        """Take a request; answer by the exchange now or later."""

    def receive(self, message: object) -> None:
        """Take a message that another task has sent."""

    def advance(self, now_s: float) -> float | None:
        """Do all that is due and say when something is due next."""


class HttpLoop:
    """A selector loop: one task owns the listener, connections and timers.

    Parameters
    ----------
    application : Application
        Who answers the requests.
    clock : Clock
        Source of monotonic time.
    name : str
        Name of the task, for logs.

    Attributes
    ----------
    listening : threading.Event
        Set while callers are let in; any task may wait for it.
    """

    def __init__(self, application: Application, clock: Clock, name: str) -> None:
        self.application = application
        self.clock = clock
        self.name = name
        self.address = ""
        self.frozen_until_s = 0.0
        self.connections: dict[int, Connection] = {}
        self.selector = selectors.DefaultSelector()
        self.listener: socket.socket | None = None
        self.port: HeldPort | None = None
        self.listening = threading.Event()
        self.is_stopping = False
        self._messages: SimpleQueue[object] = SimpleQueue()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._thread: threading.Thread | None = None

    def now_s(self) -> float:
        """Monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    # Called by other tasks.

    def start(self, address: str) -> str:
        """Listen and start the task.

        Parameters
        ----------
        address : str
            `IP:PORT`; port 0 takes a free one.

        Returns
        -------
        str
            The address in use.
        """
        host, _, port = address.rpartition(":")
        try:
            self.port = HeldPort(Address(host, int(port)))
            self._listen(self.port)
        except StandinError:
            self._close_all()
            raise
        self.address = f"{self.port.address.host}:{self.port.address.port}"
        self.selector.register(self._wake_read, selectors.EVENT_READ)
        self._thread = threading.Thread(target=self._run, name=self.name, daemon=True)
        self._thread.start()
        return self.address

    def stop(self) -> None:
        """End the task and close every socket; harmless when repeated."""
        thread, self._thread = self._thread, None
        if thread is None:
            self._close_all()
            self._wake_write.close()
            return
        self.is_stopping = True
        self._wake()
        thread.join(STOP_TIMEOUT_S)
        if thread.is_alive():
            raise StandinError(f"the task {self.name} did not stop")
        self._wake_write.close()

    def send(self, message: object) -> None:
        """Hand a message to the application, in the loop's task."""
        self._messages.put(message)
        self._wake()

    # Called by the loop's own task.

    def call_at(self, when_s: float, callback: Callable[[], None]) -> None:
        """Call back once, at the given monotonic time in seconds."""
        heappush(self._timers, (when_s, next(self._order), callback))

    def freeze(self, seconds: float) -> None:
        """Stand still, as a paused process: sockets stay open, nothing moves."""
        self.frozen_until_s = self.now_s() + seconds

    def go_down(self, seconds: float, restarted: Callable[[], None]) -> None:
        """Reset all connections and refuse new ones for some seconds.

        While it is down already, nothing changes.
        """
        listener, port = self.listener, self.port
        if listener is None or port is None:
            return
        # Before the first caller can see the crash.
        self.listening.clear()
        self.listener = None
        self.reset_connections()
        self.selector.unregister(listener)
        listener.close()

        def come_back() -> None:
            restarted()
            self._listen(port)

        self.call_at(self.now_s() + seconds, come_back)

    def reset_connections(self) -> None:
        """Cut every connection."""
        for connection in list(self.connections.values()):
            connection.reset()

    def watch_writes(self, connection: Connection, on: bool) -> None:
        """Start or end waiting for a connection's socket to take more."""
        events = selectors.EVENT_READ | (selectors.EVENT_WRITE if on else 0)
        self.selector.modify(connection.sock, events, connection)

    def forget(self, connection: Connection) -> None:
        """Drop a connection that closes."""
        self.connections.pop(connection.fd, None)
        self.selector.unregister(connection.sock)

    def wake_later(self, connection: Connection) -> None:
        """Take the connection's next request in the loop's next turn."""
        self.call_at(0.0, connection.take_next)

    def _listen(self, port: HeldPort) -> None:
        listener = port.take()
        try:
            listener.listen(BACKLOG)
        except OSError as error:
            listener.close()
            raise StandinError(f"can't listen on {port.address}: {error}") from error
        self.listener = listener
        self.selector.register(listener, selectors.EVENT_READ)
        self.listening.set()

    def _wake(self) -> None:
        """Have the loop look at its messages and its flag.

        It may have seen the flag by itself and ended already; then its end of the
        pair is closed and the send fails. Nobody is left to wake, so that is no
        error. `stop` alone closes this end, after the loop has ended, so that the
        byte cannot go to a descriptor that was given out anew.
        """
        with suppress(OSError):
            self._wake_write.send(b"\0")

    def _run(self) -> None:
        try:
            while not self.is_stopping:
                self._turn()
        except Exception:
            logger.exception("the task %s has failed", self.name)
        finally:
            self._close_all()

    def _turn(self) -> None:
        frozen_s = self.frozen_until_s - self.now_s()
        if frozen_s > 0:
            self._stand_still(frozen_s)
            return
        self._take_messages()
        timeout_s = self._run_due()
        for key, mask in self.selector.select(timeout_s):
            if isinstance(key.data, Connection):
                self._serve(key.data, mask)
            elif key.fileobj is self.listener:
                self._accept()
            elif key.fileobj is self._wake_read:
                self._wake_read.recv(4096)

    def _stand_still(self, seconds: float) -> None:
        """Wait for the end of a freeze or of the task."""
        self._wake_read.setblocking(True)
        self._wake_read.settimeout(seconds)
        with suppress(TimeoutError):
            self._wake_read.recv(4096)
        self._wake_read.setblocking(False)

    def _take_messages(self) -> None:
        while True:
            try:
                message = self._messages.get_nowait()
            except Empty:
                return
            self.application.receive(message)

    def _run_due(self) -> float:
        """Run timers and the application; return the seconds to wait."""
        now_s = self.now_s()
        while self._timers and self._timers[0][0] <= now_s:
            heappop(self._timers)[2]()
        next_s = self.application.advance(now_s)
        if self._timers and (next_s is None or self._timers[0][0] < next_s):
            next_s = self._timers[0][0]
        if next_s is None:
            return IDLE_TIMEOUT_S
        return min(max(next_s - self.now_s(), 0.0), IDLE_TIMEOUT_S)

    def _serve(self, connection: Connection, mask: int) -> None:
        if mask & selectors.EVENT_WRITE and not connection.is_closed:
            connection.writable()
        if mask & selectors.EVENT_READ and not connection.is_closed:
            connection.readable()

    def _accept(self) -> None:
        assert self.listener is not None
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("accept failed: %s", error)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock)
            self.connections[connection.fd] = connection
            self.selector.register(sock, selectors.EVENT_READ, connection)

    def _close_all(self) -> None:
        for connection in list(self.connections.values()):
            connection.close()
        self.listening.clear()
        for each in (self.listener, self.port):
            if each is not None:
                each.close()
        self.selector.close()
        self._wake_read.close()

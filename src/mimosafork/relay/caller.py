"""The caller's side of a request: a socket that never blocks its writer."""

import socket
from collections.abc import Callable
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector

RECEIVE_BYTES = 4096

ReadyHandler = Callable[[int], None]
"""Called by the relay's loop with the events that a socket is ready for."""


class Caller:
    """Writes to one caller and notices when it hangs up.

    Attributes
    ----------
    gone : bool
        The connection has ended; nothing more can be delivered.
    progress_s : float
        Monotonic seconds at which the caller last took bytes, or had none waiting.
    """

    def __init__(
        self,
        sock: socket.socket,
        selector: BaseSelector,
        on_ready: ReadyHandler,
        now_s: float,
    ) -> None:
        self.sock = sock
        self.selector = selector
        self.on_ready = on_ready
        self.gone = False
        self.waiting = bytearray()
        self.progress_s = now_s
        self.mask = EVENT_READ
        selector.register(sock, EVENT_READ, self.on_ready)

    def write(self, data: bytes, now_s: float) -> None:
        """Send what the connection takes now and keep the rest."""
        if self.gone:
            return
        if self.waiting:
            self.waiting += data
            return
        self.progress_s = now_s
        sent = self._send(data)
        if sent < len(data) and not self.gone:
            self.waiting += memoryview(data)[sent:]
            self._watch(EVENT_READ | EVENT_WRITE)

    def flush(self, now_s: float) -> None:
        """Send more of what waits, as the connection takes bytes again."""
        sent = self._send(self.waiting)
        if sent:
            self.progress_s = now_s
            del self.waiting[:sent]
        if not self.waiting and not self.gone:
            self._watch(EVENT_READ)

    def read(self) -> None:
        """Read, which only tells whether the caller is still there.

        What a caller sends while it waits for its answer is passed over: the
        connection closes behind the answer.
        """
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.gone = True

    def unwatch(self) -> None:
        """Wait for nothing more on this connection."""
        if self.mask:
            self.selector.unregister(self.sock)
            self.mask = 0

    def close(self) -> None:
        """End the connection; harmless when repeated."""
        self.unwatch()
        self.sock.close()

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self.gone = True
            return 0

    def _watch(self, mask: int) -> None:
        if self.mask and mask != self.mask:
            self.selector.modify(self.sock, mask, self.on_ready)
            self.mask = mask

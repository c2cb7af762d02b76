"""TCP proxy between a process and the store that can stall connections."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from threading import Event, Thread

PIECE = 65_536
HOST = "127.0.0.1"


class StoreProxy:
    """Forwards bytes in both directions between a process and the store.

    While stalled it forwards nothing, and closes or refuses nothing, like a network
    partition in which only timeouts show that the other side is unreachable.
    """

    def __init__(self, store: str) -> None:
        host, port = store.rsplit(":", 1)
        self.store = (host, int(port))
        self.passing = Event()
        self.passing.set()
        self.sockets: list[socket.socket] = []
        self.listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self.listener.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Stop forwarding."""
        self.passing.clear()

    def heal(self) -> None:
        """Resume forwarding, beginning with the buffered bytes."""
        self.passing.set()

    def close(self) -> None:
        """Close all sockets."""
        self.passing.set()
        for each in (self.listener, *self.sockets):
            with suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.store)
                self.sockets += [near, far]
                for source, target in ((near, far), (far, near)):
                    pump = Thread(target=self._pump, args=(source, target), daemon=True)
                    pump.start()

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        with suppress(OSError):
            while data := source.recv(PIECE):
                self.passing.wait()
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)


@contextmanager
def store_proxy(store: str) -> Iterator[StoreProxy]:
    """Run a proxy to the store for the duration of a test."""
    path = StoreProxy(store)
    try:
        yield path
    finally:
        path.close()

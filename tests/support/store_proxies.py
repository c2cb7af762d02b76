"""A way from one process to the store that may fall silent without an end."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from threading import Event, Thread

PIECE = 65_536
HOST = "127.0.0.1"


class StoreProxy:
    """Passes bytes on both ways between a process and the store.

    While it is silent nothing is passed on, and nothing is closed or refused: as
    behind a cut, where only a time-out tells that the other side is away.
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
        """Pass nothing on from now on."""
        self.passing.clear()

    def heal(self) -> None:
        """Pass on again, beginning with what has waited."""
        self.passing.set()

    def close(self) -> None:
        """End everything."""
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
    """Run a way to the store for the length of a test."""
    path = StoreProxy(store)
    try:
        yield path
    finally:
        path.close()

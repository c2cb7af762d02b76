"""Opens connections to endpoints to find out whether they can be reached."""

from collections.abc import Callable, Iterable

from ..kernel.messages.base import Message
from ..kernel.messages.connectivity import ConnectionProbed, ProbeTarget
from .pool import ConnectionPool, ConnectionRequest
from .upstream import EndpointConnection


class ConnectionProbes:
    """Opens connections and reports each result.

    Parameters
    ----------
    pool : ConnectionPool
        Keeps the opened connections for calls.
    post : callable
        Posts a message to the kernel.
    """

    def __init__(self, pool: ConnectionPool, post: Callable[[Message], None]) -> None:
        self.pool = pool
        self.post = post

    def open(self, targets: Iterable[ProbeTarget]) -> None:
        """Open a connection to each endpoint."""
        for target in targets:
            self._open(target)

    def _open(self, target: ProbeTarget) -> None:
        def opened(connection: EndpointConnection) -> None:
            self.pool.release(target.endpoint, connection)
            self.post(ConnectionProbed(target, opened=True))

        def failed(_: OSError) -> None:
            self.post(ConnectionProbed(target, opened=False))

        request = ConnectionRequest(target.endpoint, target.address)
        self.pool.open(request, opened, failed)

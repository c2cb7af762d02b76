"""Running an HTTP server in threads of its own."""

import threading
from typing import Any

from ..settings.types import split_address
from .gateway import make_server


class HttpServer:
    """An HTTP server for one application.

    Parameters
    ----------
    address : str
        ``IP:PORT``; port 0 is any.
    threads : int
        Requests that are read at once.
    """

    def __init__(self, name: str, address: str, app: Any, threads: int) -> None:
        host_port = split_address(address)
        self.server = make_server(host_port.host, host_port.port, app, threads)
        self.thread = threading.Thread(
            target=self.server.serve, name=f"{name}-accept", daemon=True
        )
        self.address = address
        self.stopped = False

    def start(self) -> None:
        """Listen; the address is known from here on."""
        self.server.prepare()
        host, port = self.server.socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.thread.start()

    def close_idle_connections(self) -> None:
        """Keep no connection open behind its answer from now on.

        A balancer that holds connections open would otherwise go on sending over
        them after it has taken this instance out for new ones.
        """
        self.server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Stop accepting and wait for the requests that are being read."""
        if self.stopped:
            return
        self.stopped = True
        self.server.stop()
        if self.thread.ident is not None:
            self.thread.join(5.0)

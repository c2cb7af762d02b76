"""Handing a caller's socket over from CherryPy's thread."""

import socket
from typing import Any

from cheroot import wsgi

RECEIVE_TIMEOUT_S = 5
CALLER_KEY = "mimosafork.caller"


class DetachableConnection:
    """A caller's connection while a CherryPy thread works on it.

    Found in the WSGI environment under `CALLER_KEY`.
    """

    def __init__(self, request: Any) -> None:
        self.request = request
        self.detached = False

    @property
    def chunked(self) -> bool:
        """Whether the caller understands chunks."""
        protocol: str = self.request.response_protocol
        return protocol == "HTTP/1.1"

    def detach(self) -> socket.socket:
        """Take the socket away from the server and return it, non-blocking.

        The server's own socket object no longer holds the descriptor afterwards:
        whatever cheroot does when it puts the connection away can't reach the
        stream, nor a descriptor of the same number that is opened later.
        """
        connection = self.request.conn
        taken = socket.socket(fileno=connection.socket.detach())
        taken.setblocking(False)
        taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.linger = True
        self.request.close_connection = True
        self.request.sent_headers = True
        self.detached = True
        return taken


class DetachingGateway(wsgi.Gateway_10):
    """Lets a handler keep its caller's socket; then writes nothing itself."""

    def get_environ(self) -> Any:
        """Return the WSGI environment, with the connection in it."""
        environ: dict[str, Any] = super().get_environ()
        environ[CALLER_KEY] = DetachableConnection(self.req)
        return environ

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Begin the response, unless another task answers.

        CherryPy ends each handler with a response; that of a handler which gave
        its socket away must not be written into the other task's stream.
        """
        if self.env[CALLER_KEY].detached:
            return self.write
        return super().start_response(status, headers, exc_info)

    def write(self, chunk: bytes) -> None:
        """Send a part of the response, unless another task answers."""
        if not self.env[CALLER_KEY].detached:
            super().write(chunk)


class PatientServer(wsgi.Server):
    """Gives a connection to a thread only when its caller has sent something.

    cheroot hands each new connection to a thread at once. Connections that are
    opened ahead of need, or that a health check opens and leaves, would hold all
    threads until their timeout, and new requests would wait that long.
    """

    def process_conn(self, conn: Any) -> None:
        """Queue a connection for a thread, or wait for its first byte."""
        if conn.last_used is None:
            self.put_conn(conn)
        else:
            super().process_conn(conn)


def make_server(
    host: str,
    port: int,
    app: Any,
    threads: int,
    receive_timeout_s: int = RECEIVE_TIMEOUT_S,
) -> wsgi.Server:
    """Return a server for a WSGI application, not yet listening.

    Parameters
    ----------
    threads : int
        Requests that are read and parsed at once.
    receive_timeout_s : int
        Longest silence of a caller within its request.
    """
    server = PatientServer(
        (host, port),
        app,
        numthreads=threads,
        max=threads,
        request_queue_size=1024,
        timeout=receive_timeout_s,
        shutdown_timeout=5,
    )
    server.gateway = DetachingGateway
    server.server_name = "mimosafork"
    # A limit of cheroot's own would answer in plain text: the handlers keep the
    # limit and answer with a problem body.
    server.max_request_body_size = 0
    return server

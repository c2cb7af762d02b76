"""A connection to an endpoint, used for one call at a time."""

import asyncio
import re
import socket
import sys
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from errno import EHOSTDOWN, EHOSTUNREACH, ENETDOWN, ENETUNREACH
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import cast

import msgspec

from ..clock import Clock
from .errors import BadResponseError
from .heads import first_header_value
from .long_send_watch import LongSend
from .response_reader import ResponseHead, ResponseReader, ResponseSink

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2000

LONG_REQUEST_BYTES = 64 * 1024
"""A shorter one fits into the endpoint's buffers, whether it reads or not."""

NO_WAY_ERRORS = frozenset({EHOSTUNREACH, ENETUNREACH, EHOSTDOWN, ENETDOWN})
INT_BYTES = 4
SECONDS = re.compile(rb"[0-9]{1,6}")
"""A longer number would not fit into a span of time."""


class ConnectionLoss(Enum):
    """How a connection ended under a call."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "garbled"
    """Its bytes were no answer in the protocol."""
    TIMED_OUT = "timed-out"
    """Nothing was acknowledged for too long, or it could not be opened in time."""
    NO_ROUTE = "no-way"
    """The network has no way to the endpoint's address."""
    REFUSED = "refused"
    """The endpoint's machine refused to open it."""
    CLOSED_LOCALLY = "own-end"
    """This instance closed it."""


class CallSink(msgspec.Struct, frozen=True):
    """Who hears of a call's answer on a connection."""

    head: Callable[[ResponseHead], None]
    data: Callable[[bytes], None]
    end: Callable[[], None]
    lost: Callable[[ConnectionLoss], None]


class EndpointConnection(asyncio.Protocol):
    """Owns a socket to an endpoint.

    Attributes
    ----------
    idle_since : timedelta
        Monotonic instant at which the last answer ended.
    keep_for : timedelta or None
        How long the endpoint keeps it when idle, as it said.
    reusable : bool
    used : int
        Calls that it has carried.
    """

    def __init__(self, clock: Clock, on_idle_loss: Callable[..., None]) -> None:
        self.clock = clock
        self.on_idle_loss = on_idle_loss
        self.reader = ResponseReader()
        self.sink: CallSink | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = clock.monotonic()
        self.keep_alive_timeout: timedelta | None = None
        self.reusable = True
        self.use_count = 0
        self.request_size = 0
        self.feeding = False
        self.after_feeding: Callable[[], None] | None = None
        self.long_send: LongSend | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket so that a peer that has vanished is found."""
        self.transport = cast(asyncio.Transport, transport)
        enable_peer_probes(transport.get_extra_info("socket"))

    def send(self, request: bytes, sink: CallSink, without_body: bool) -> None:
        """Send a whole request and await its answer."""
        assert self.transport is not None
        self.sink = sink
        self.use_count += 1
        self.request_size = len(request)
        self.reader.expect(
            ResponseSink(self._on_head, sink.data, self._on_end), without_body
        )
        self.transport.write(request)
        if self.request_size >= LONG_REQUEST_BYTES:
            self._watch_long_send(self.transport.get_extra_info("socket"))

    def _watch_long_send(self, sock: socket.socket | None) -> None:
        if sock is None:
            return
        if self.long_send is not None:
            self.long_send.stop()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        patience = timedelta(milliseconds=TCP_USER_TIMEOUT_MS)
        self.long_send = LongSend(self, sock, patience, self._long_send_done)
        self.long_send.look_later()

    def _long_send_done(self) -> None:
        self.long_send = None
        if self.transport is not None:
            enable_peer_probes(self.transport.get_extra_info("socket"))

    @property
    def awaiting_response(self) -> bool:
        """Whether a call awaits its answer on it."""
        return self.sink is not None

    def abandon(self) -> None:
        """Give the connection up: its peer is gone without a word."""
        self.long_send = None
        self._lose(ConnectionLoss.RESET)

    def expect_another_response(self) -> None:
        """Await a further answer: the last one belonged to another call."""
        assert self.sink is not None
        self.reader.expect(
            ResponseSink(self._on_head, self.sink.data, self._on_end), False
        )

    @property
    def send_pending(self) -> bool:
        """Whether a part of the last request has not reached the endpoint's machine."""
        if self.transport is None or self.request_size < LONG_REQUEST_BYTES:
            return False
        if self.transport.get_write_buffer_size():
            return True
        sock = self.transport.get_extra_info("socket")
        queued = ioctl(sock.fileno(), TIOCOUTQ, bytes(INT_BYTES))
        return int.from_bytes(queued, sys.byteorder) > 0

    def after_parsing(self, then: Callable[[], None]) -> None:
        """Call something once all bytes in hand have been parsed.

        An answer's end is parsed before the bytes behind it. Whoever put the
        connection back at that point had a call that was waiting sent on it, and
        what the endpoint had wrongly sent behind the answer was taken for that
        call's answer. Afterwards it is known whether anything followed.
        """
        if self.feeding:
            self.after_feeding = then
        else:
            then()

    def abort(self) -> None:
        """Close at once; the endpoint stops what it does for this connection."""
        self.sink = None
        self.reader.sink = None
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self.reusable = False
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        self.feeding = True
        try:
            self.reader.feed(data)
        except BadResponseError:
            self._lose(ConnectionLoss.MALFORMED)
        finally:
            self.feeding = False
        if self.reader.unexpected_bytes:
            self.reusable = False
            if self.sink is None:
                self.abort()
        then, self.after_feeding = self.after_feeding, None
        if then is not None:
            then()

    def eof_received(self) -> bool:
        """Take the endpoint's orderly end."""
        if not self.reader.finish():
            self._lose(ConnectionLoss.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever waits that the connection is gone."""
        self.transport = None
        if self.long_send is not None:
            self.long_send.stop()
        self._lose(ConnectionLoss.CLOSED if exc is None else connection_loss_of(exc))

    def _on_head(self, head: ResponseHead) -> None:
        if head.closes:
            self.reusable = False
        # 0 s is a word too: such a connection may be closed at once.
        told = parse_keep_alive_timeout(head)
        if told is not None:
            self.keep_alive_timeout = told
        if self.sink is not None:
            self.sink.head(head)

    def _on_end(self) -> None:
        sink, self.sink = self.sink, None
        self.idle_since = self.clock.monotonic()
        if sink is not None:
            sink.end()

    def _lose(self, loss: ConnectionLoss) -> None:
        sink, self.sink = self.sink, None
        self.reader.sink = None
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()
        if sink is not None:
            sink.lost(loss)
        else:
            self.on_idle_loss(self)


def connection_loss_of(error: BaseException) -> ConnectionLoss:
    """Return how a connection ended, or was not opened, by its error."""
    if isinstance(error, TimeoutError):
        return ConnectionLoss.TIMED_OUT
    if isinstance(error, ConnectionRefusedError):
        return ConnectionLoss.REFUSED
    if isinstance(error, OSError) and error.errno in NO_WAY_ERRORS:
        return ConnectionLoss.NO_ROUTE
    return ConnectionLoss.RESET


def enable_peer_probes(sock: socket.socket | None) -> None:
    """Have the system probe a silent peer.

    An endpoint without power, or behind a partition, sends nothing: without probes a
    call to it would hang until its deadline. A sound endpoint that is merely slow
    answers the probes, so silence alone ends nothing.
    """
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def parse_keep_alive_timeout(head: ResponseHead) -> timedelta | None:
    """Return how long an endpoint says it keeps an idle connection."""
    value = first_header_value(head.headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and SECONDS.fullmatch(number.strip()):
            return timedelta(seconds=int(number))
    return None

"""Connection to an endpoint, used for one call at a time."""

import asyncio
import re
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from errno import EHOSTDOWN, EHOSTUNREACH, ENETDOWN, ENETUNREACH
from typing import cast

import msgspec

from ..clock import Clock
from ..network.send_queue import has_unacknowledged_bytes
from .errors import BadResponseError
from .heads import Header, first_header_value
from .long_send_watch import LongSendWatch
from .response_matching import ResponseMatcher
from .response_reader import ResponseHead, ResponseReader, ResponseSink

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
TCP_USER_TIMEOUT_MS = 2000
"""Limit on the time that a request may be on its way."""

RESPONSE_USER_TIMEOUT_MS = 3500
"""The same while a response is awaited. The option also decides when unanswered probes
end a connection, counted from the last received byte: a healthy endpoint that has
nothing to send may be unreachable for a second or two."""

SKIP_TIMEOUT = timedelta(milliseconds=250)
"""Time in which a response to another request must end. A repeated response is complete
when it is sent; one that goes on is not followed by the awaited response."""

LONG_REQUEST_BYTES = 64 * 1024
"""A shorter request fits into the endpoint's receive buffer, read or unread."""

NO_WAY_ERRORS = frozenset({EHOSTUNREACH, ENETUNREACH, EHOSTDOWN, ENETDOWN})
SECONDS = re.compile(rb"[0-9]{1,6}")
"""A longer number would exceed the range of timedelta."""


class ConnectionLoss(Enum):
    """How the connection of a call was lost."""

    CLOSED = "closed"
    RESET = "reset"
    BROKEN_OFF = "broken-off"
    """The response ended inside an event."""
    MALFORMED = "garbled"
    """The endpoint sent a malformed response."""
    TIMED_OUT = "timed-out"
    """The peer acknowledged nothing for too long, or connecting timed out."""
    NO_ROUTE = "no-way"
    """There is no route to the endpoint's address."""
    REFUSED = "refused"
    """The endpoint's host refused the connection."""
    CLOSED_LOCALLY = "own-end"
    """This instance closed the connection."""


class CallSink(msgspec.Struct, frozen=True):
    """Callbacks for the response of a call and for the loss of its connection."""

    head: Callable[[ResponseHead], None]
    data: Callable[[bytes], None]
    end: Callable[[], None]
    lost: Callable[[ConnectionLoss], None]


def no_stated_id(headers: tuple[Header, ...]) -> str | None:
    """Return the id that a response states, where responses state none."""
    return None


class EndpointConnection(asyncio.Protocol):
    """Owns a socket to an endpoint.

    Parameters
    ----------
    clock : Clock
    on_idle_loss : callable
        Called if the connection is lost while no response is awaited.
    response_id : callable
        Returns the id of the call that a response states, or None.
    on_skipped : callable
        Called with the connection for each response to another request.

    Attributes
    ----------
    idle_since : timedelta
        Monotonic time at which the last response ended.
    keep_alive_timeout : timedelta or None
        Keep-alive timeout that the endpoint stated.
    reusable : bool
    use_count : int
        Number of calls sent on it.
    number : int
        Number of the connection among those that the instance has opened.
    matcher : ResponseMatcher
        Knows the calls that were sent on it.
    """

    def __init__(
        self,
        clock: Clock,
        on_idle_loss: Callable[..., None],
        response_id: Callable[[tuple[Header, ...]], str | None] = no_stated_id,
        on_skipped: Callable[..., None] = lambda connection: None,
    ) -> None:
        self.clock = clock
        self.on_idle_loss = on_idle_loss
        self.response_id = response_id
        self.on_skipped = on_skipped
        self.matcher = ResponseMatcher()
        self.reader = ResponseReader()
        self.sink: CallSink | None = None
        self.transport: asyncio.Transport | None = None
        self.idle_since = clock.monotonic()
        self.keep_alive_timeout: timedelta | None = None
        self.reusable = True
        self.use_count = 0
        self.number = 0
        self.request_size = 0
        self.feeding = False
        self.after_feeding: Callable[[], None] | None = None
        self.long_send: LongSendWatch | None = None
        self.silence_allowed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enable the detection of a dead peer on the socket."""
        self.transport = cast(asyncio.Transport, transport)
        enable_peer_probes(transport.get_extra_info("socket"))

    def send(
        self, request: bytes, sink: CallSink, without_body: bool, call_id: str = ""
    ) -> None:
        """Send a complete request and expect its response.

        Parameters
        ----------
        call_id : str
            Id that the request states; empty if it states none.
        """
        assert self.transport is not None
        self.sink = sink
        self.matcher.expect(call_id)
        self.use_count += 1
        self.request_size = len(request)
        self.reader.expect(
            ResponseSink(self._on_head, sink.data, self._on_end, self._accepts),
            without_body,
        )
        if self.silence_allowed:
            self._set_user_timeout(TCP_USER_TIMEOUT_MS)
            self.silence_allowed = False
        self.transport.write(request)
        if self.request_size >= LONG_REQUEST_BYTES:
            self._watch_long_send(self.transport.get_extra_info("socket"))

    def allow_silence(self) -> None:
        """Allow a longer silence, once the request is acknowledged."""
        if self.silence_allowed or self.long_send is not None or self.unacknowledged:
            return
        self.silence_allowed = True
        self._set_user_timeout(RESPONSE_USER_TIMEOUT_MS)

    def _set_user_timeout(self, milliseconds: int) -> None:
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def _watch_long_send(self, sock: socket.socket | None) -> None:
        if sock is None:
            return
        if self.long_send is not None:
            self.long_send.stop()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)
        ack_timeout = timedelta(milliseconds=TCP_USER_TIMEOUT_MS)
        self.long_send = LongSendWatch(self, sock, ack_timeout, self._long_send_done)
        self.long_send.schedule_check()

    def _long_send_done(self) -> None:
        self.long_send = None
        if self.transport is not None:
            enable_peer_probes(self.transport.get_extra_info("socket"))

    @property
    def awaiting_response(self) -> bool:
        """Whether a call waits for its response."""
        return self.sink is not None

    def abandon(self) -> None:
        """Abort the connection because its peer is unresponsive."""
        self.long_send = None
        self._lose(ConnectionLoss.RESET)

    @property
    def send_pending(self) -> bool:
        """Whether part of the last request is not yet acknowledged by the endpoint."""
        return self.request_size >= LONG_REQUEST_BYTES and self.unacknowledged

    @property
    def unacknowledged(self) -> bool:
        """Whether the endpoint has not acknowledged all bytes that were sent."""
        if self.transport is None:
            return True
        if self.transport.get_write_buffer_size():
            return True
        sock = self.transport.get_extra_info("socket")
        if sock is None:
            return True
        return has_unacknowledged_bytes(sock)

    def after_parsing(self, then: Callable[[], None]) -> None:
        """Run a callback once all received bytes have been parsed.

        The end of a response is parsed before the bytes that follow it. If the
        connection were released at that point, a waiting call could be sent on it, and
        surplus bytes after the response would be read as the response to that call.
        """
        if self.feeding:
            self.after_feeding = then
        else:
            then()

    def abort(self) -> None:
        """Abort the connection, which makes the endpoint stop working on its call."""
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
        """Parse received bytes."""
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
        """Handle an orderly EOF of the endpoint.

        An endpoint that ends the connection before it has received the whole request
        resets it next, so that an unframed response may lack its rest.
        """
        if self.send_pending or not self.reader.finish():
            self._lose(ConnectionLoss.CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection."""
        self.transport = None
        if self.long_send is not None:
            self.long_send.stop()
        self._lose(ConnectionLoss.CLOSED if exc is None else connection_loss_of(exc))

    def _accepts(self, headers: tuple[Header, ...]) -> bool:
        """Return whether a response belongs to the latest request."""
        if self.matcher.matches(self.response_id(headers)):
            return True
        self.reusable = False
        self.on_skipped(self)
        asyncio.get_running_loop().call_later(
            SKIP_TIMEOUT.total_seconds(), self._end_skipping, self.reader.skipped + 1
        )
        return False

    def _end_skipping(self, number: int) -> None:
        """Give up the connection if a skipped response has not ended yet."""
        if self.reader.skipping and self.reader.skipped == number:
            self._lose(ConnectionLoss.MALFORMED)

    def _on_head(self, head: ResponseHead) -> None:
        if head.closes:
            self.reusable = False
        # 0 s is a valid value: the connection may be closed immediately.
        keep_alive = parse_keep_alive_timeout(head)
        if keep_alive is not None:
            self.keep_alive_timeout = keep_alive
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
    """Classify an error by which a connection was lost or failed to open."""
    if isinstance(error, TimeoutError):
        return ConnectionLoss.TIMED_OUT
    if isinstance(error, ConnectionRefusedError):
        return ConnectionLoss.REFUSED
    if isinstance(error, OSError) and error.errno in NO_WAY_ERRORS:
        return ConnectionLoss.NO_ROUTE
    return ConnectionLoss.RESET


def enable_peer_probes(sock: socket.socket | None) -> None:
    """Enable TCP keepalive probes and TCP_USER_TIMEOUT on a socket.

    An endpoint that lost power or is partitioned sends nothing, and without probes a
    call to it would hang until its deadline. A healthy but slow endpoint answers the
    probes, so its connection stays open.
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
    """Return the timeout of a Keep-Alive header; None if it is absent."""
    value = first_header_value(head.headers, b"keep-alive")
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and SECONDS.fullmatch(number.strip()):
            return timedelta(seconds=int(number))
    return None

"""A caller's connection: one request at a time, kept for many."""

import asyncio
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol, cast

import msgspec

from ..clock import Clock
from ..routing.table import ClientLimits
from .errors import BadRequestError
from .heads import CONTENT_LENGTH, HEAD, Header, first_header_value, render_head
from .request_reader import RequestMessage, RequestReader
from .unanswered_request import (
    CloseReason,
    UnansweredRequest,
    has_complete_request,
    unread_socket_bytes,
)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER = timedelta(milliseconds=500)
"""After an error, bytes that still come are read for so long: closing with unread
bytes resets the connection, and the caller might not see the answer."""

IDLE_TIMEOUT_SLACK = timedelta(seconds=2)
"""Beyond the promised time: a request that crosses the close would be lost."""

FAULT = BadRequestError(
    HTTPStatus.INTERNAL_SERVER_ERROR, "a fault in the code while it was read"
)
"""Promises nothing: a caller that is told it can't take its request for not run."""

READ_SOON = timedelta(milliseconds=10)
"""Within which the loop reads what lies in a socket."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Has a socket reset its connection when it is closed."""

TOO_FAR_AHEAD = BadRequestError(
    HTTPStatus.SERVICE_UNAVAILABLE, "it came too far ahead of the answer before it"
)

BODYLESS = frozenset({204, 304})
FIRST_FINAL = 200


class RequestHandler(Protocol):
    """Who takes the requests of callers' connections."""

    @property
    def limits(self) -> ClientLimits:
        """Limits in force."""

    @property
    def draining(self) -> bool:
        """Whether connections are to be closed after their answer."""

    def accept(
        self, connection: "ClientConnection", message: RequestMessage, at: timedelta
    ) -> None:
        """Take a whole request; `at` is the instant of its first byte."""

    def caller_disconnected(self, connection: "ClientConnection") -> None:
        """Note that a caller has closed its connection."""

    def caller_stalled(self, connection: "ClientConnection", stalled: bool) -> None:
        """Note that a caller doesn't keep up, or does again."""

    def malformed_request(
        self, connection: "ClientConnection", error: BadRequestError
    ) -> None:
        """Note that a caller's bytes were no proper request."""

    def retry_after_headers(self) -> list[Header]:
        """Return what tells a caller that is refused when to come back."""

    def request_unanswered(
        self, connection: "ClientConnection", left: UnansweredRequest
    ) -> None:
        """Note that a connection ends with a request that got no answer."""

    def intake_faulted(
        self, connection: "ClientConnection", error: BaseException
    ) -> None:
        """Note a fault in the code while a caller's bytes were taken."""


class ActiveRequest(msgspec.Struct):
    """The request that is being answered."""

    message: RequestMessage
    begun: bool = False
    chunked: bool = False


class ClientConnection(asyncio.Protocol):
    """Owns a caller's socket.

    Attributes
    ----------
    behind : bool
        The caller doesn't keep up with what it is sent.
    promised : timedelta
        How long the connection is kept when idle, as its caller was told last.
    heard_at : timedelta
        Monotonic instant of the last bytes read, or of the last answer's end.
    """

    def __init__(
        self,
        front: RequestHandler,
        clock: Clock,
        registry: "set[ClientConnection]",
    ) -> None:
        self.front = front
        self.clock = clock
        self.registry = registry
        self.reader = RequestReader(front.limits)
        self.transport: asyncio.Transport | None = None
        self.exchange: ActiveRequest | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.first_byte_at: timedelta | None = None
        self.lingering = False
        self.continued = False
        self.left = 0
        self.write_paused = False
        self.last_activity_at = clock.monotonic()
        self.advertised_idle_timeout = timedelta(0)
        self.dropped = 0
        self.refused = False
        self.owes_refusal = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.registry.add(self)
        self.advertised_idle_timeout = self.front.limits.idle_timeout
        self.last_activity_at = self.clock.monotonic()
        self._await_request()

    @property
    def idle_time(self) -> timedelta:
        """How long the caller may be silent, or take nothing of its answer.

        Guard: a configuration may change the time between the head that tells it and
        the end that begins it. By the limits of the moment a connection closed before
        the time that its caller had been told, and a request sent within that time got
        neither an answer nor a refusal. So what was told last on this connection holds
        for it, and a longer time that came into force since holds too, as callers may
        go by the configuration.
        """
        return max(self.advertised_idle_timeout, self.front.limits.idle_timeout)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self.exchange is None and not self.reader.begun

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes of an answer still wait for a caller that is slow."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def stop_intake(self) -> None:
        """Take no further request, between two of them.

        Guard: a request may lie in the socket already. A close would reset it unread,
        though the connection was to be kept; it is read and refused instead, with an
        answer that ends the connection.
        """
        if self.idle and not self.lingering and not self.has_unread_bytes:
            self.close(CloseReason.INTAKE_ENDED)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of the caller lie in the socket."""
        if self.transport is None or self.transport.is_closing():
            return False
        return unread_socket_bytes(self.transport.get_extra_info("socket")) > 0

    def close(self, ending: CloseReason) -> None:
        """Close after what has been written.

        Guard: a whole request may wait behind an answer that ended in this very turn
        of the loop. It was dropped in silence; it is handed on first, and refused where
        no more are taken.
        """
        if self.exchange is None and self.reader.buffer:
            self._read_next()
        if self.transport is not None:
            self._note_unanswered(ending)
            self.transport.close()

    def _note_unanswered(self, ending: CloseReason) -> None:
        """Tell of a request that was read, or lies in the socket, and is given up.

        An answer that is broken off is told with its call, and what lies behind a
        refused request with the refusal.
        """
        if self.transport is None or self.transport.is_closing() or self.refused:
            return
        read = len(self.reader.buffer) + self.dropped
        waiting = unread_socket_bytes(self.transport.get_extra_info("socket"))
        unsent = self.transport.get_write_buffer_size()
        awaits_answer = self.exchange is not None and not self.exchange.begun
        begun = awaits_answer or self.reader.awaits_body
        if not (read or waiting or unsent or begun):
            return
        whole = awaits_answer or has_complete_request(self.reader)
        self.front.request_unanswered(
            self,
            UnansweredRequest(
                ending,
                read,
                waiting,
                unsent,
                whole if whole or not self.dropped else None,
                self.clock.monotonic() - self.last_activity_at,
                self.advertised_idle_timeout,
            ),
        )

    def _let_go(self) -> None:
        """Close, once the caller has taken its answer or takes no more of it.

        A close waits until all is written. A caller that never reads kept its
        answer, and its socket, for good: its call was over, so no deadline was left
        to end it. One that is merely slow takes something in each idle time.
        """
        left = 0
        if self.transport is not None:
            left = self.transport.get_write_buffer_size()
        if left and left == self.left:
            self._note_unanswered(CloseReason.CALLER_NOT_READING)
            self._reset()
        elif left:
            self.left = left
            self._wait(self.idle_time, self._let_go)
        elif self.left and not self.lingering:
            # Its rest was taken since the last look: the time that was told begins.
            self.left = 0
            self.last_activity_at = self.clock.monotonic()
            self._await_request()
        else:
            self.close(
                CloseReason.LAST_RESPONSE if self.lingering else CloseReason.IDLE
            )

    def data_received(self, data: bytes) -> None:
        """Read on, unless the connection only waits to be closed."""
        if self.lingering:
            self.dropped += len(data)
            return
        try:
            self._take(data)
        except Exception as error:
            self._fail(error)

    def _take(self, data: bytes) -> None:
        self.last_activity_at = self.clock.monotonic()
        if self.first_byte_at is None and self.exchange is None:
            self._begin_request()
        self.reader.feed(data)
        if self.exchange is None:
            self._read()
        elif len(self.reader.buffer) > self.front.limits.header_bytes:
            self._drop_ahead()

    def _drop_ahead(self) -> None:
        """Read no request behind the present one; the connection ends with it.

        Guard: a caller may send much ahead of its answer. While reading was paused
        for it, its leaving wasn't noticed, as the end of its bytes stood behind them,
        and its endpoint worked on for nobody. So all is read, and nothing kept.

        Guard: where the present answer's head had said that the connection is kept,
        a whole request could be read and dropped in silence. It is refused behind that
        answer; where the head is yet to be sent, it says that it is the last.
        """
        if not self.reader.closing and self.exchange is not None:
            self.owes_refusal = self.exchange.begun
        self.reader.closing = True
        self.dropped += len(self.reader.buffer)
        self.reader.buffer.clear()

    def _begin_request(self) -> None:
        self.first_byte_at = self.clock.monotonic()
        self.reader.limits = self.front.limits
        self.advertised_idle_timeout = self.idle_time
        self._wait(self.front.limits.header_timeout, self._too_slow)

    def _read(self) -> None:
        try:
            message = self.reader.next_request()
        except BadRequestError as error:
            self._refuse(error)
            return
        if message is None:
            self._await_more()
            return
        self._stop_timer()
        at = self.first_byte_at or self.clock.monotonic()
        self.first_byte_at = None
        self.continued = False
        self.exchange = exchange = ActiveRequest(message)
        try:
            self.front.accept(self, message, at)
        except Exception as error:
            if self.exchange is exchange:
                self._fail(error)
            else:
                self.front.intake_faulted(self, error)

    def _fail(self, error: Exception) -> None:
        """End a request for a fault in the code; its caller is told.

        Guard: the loop closes a connection whose owner raises, without an answer. What
        a callback or a timer of it raises, the loop only logs: no timer was left, and
        the caller waited for ever. A fault is told as what it is, once, and only where
        a request has no answer yet; the front then ends what it had begun of it.
        """
        if self.exchange is not None:
            self.abort_response()
        elif self.reader.begun and not self.lingering:
            self._refuse(FAULT)
        else:
            self._wait(LINGER, self._abort)
        self.front.intake_faulted(self, error)

    def _tell_fault(self) -> None:
        self.reader.closing = True
        phrase = FAULT.status.phrase.encode()
        self.send_response(int(FAULT.status), phrase, [], b"")

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _await_more(self) -> None:
        if not self.reader.begun:
            self._await_request()
            return
        head = self.reader.head
        if head is None:
            return
        if head.expects_continue and not self.continued and self.transport is not None:
            self.transport.write(CONTINUE)
        self.continued = True
        # Anew with each piece: a long body that comes steadily is not too slow.
        self._wait(self.idle_time, self._too_slow)

    def _await_request(self) -> None:
        # Blank lines between requests begin none: one that was counted from such a
        # line had its time cut, or its idle connection got a 408 nobody asked for.
        self.first_byte_at = None
        self._wait(self.idle_time + IDLE_TIMEOUT_SLACK, self._idle_over)

    def _idle_over(self) -> None:
        """Let the caller go, unless a configuration gave it more time meanwhile.

        Guard: the process may be held up between its look at the sockets and its
        timers. A request that came in between was reset unread; what lies in the
        socket now is read first.
        """
        due_at = self.last_activity_at + self.idle_time + IDLE_TIMEOUT_SLACK
        left = due_at - self.clock.monotonic()
        if left > timedelta(0):
            self._wait(left, self._idle_over)
        elif self.has_unread_bytes:
            self._wait(READ_SOON, self._idle_over)
        else:
            self._let_go()

    def _too_slow(self) -> None:
        self._refuse(
            BadRequestError(HTTPStatus.REQUEST_TIMEOUT, "the request came too slowly")
        )

    def _refuse(self, error: BadRequestError) -> None:
        self.refused = True
        phrase = error.status.phrase.encode()
        headers = [Header(b"Content-Length", b"0"), Header(b"Connection", b"close")]
        if error.status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers += self.front.retry_after_headers()
        line = b"HTTP/1.1 %d %s" % (error.status, phrase)
        self._write(render_head(line, headers))
        self._linger()
        # Last: whatever becomes of the line, the caller has its answer.
        self.front.malformed_request(self, error)

    def _linger(self) -> None:
        self.lingering = True
        self.reader.closing = True
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self._wait(LINGER, self._let_go)

    def send_response(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a whole answer; to a HEAD request its head, with the length told."""
        if self.exchange is None:
            return
        framing = []
        without_body = self.exchange.message.head.method == HEAD
        told = first_header_value(headers, CONTENT_LENGTH) is not None
        if status not in BODYLESS and not told:
            framing.append(Header(b"Content-Length", b"%d" % len(body)))
        head = self._head(status, reason, headers + framing)
        self._write(head if without_body else head + body)
        self._done()

    def begin_response(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Send the head of an answer whose body comes in parts."""
        if self.exchange is None:
            return
        self.exchange.begun = True
        self.exchange.chunked = self.exchange.message.head.minor == 1
        framing = []
        if self.exchange.chunked:
            framing.append(Header(b"Transfer-Encoding", b"chunked"))
        else:
            self.reader.closing = True
        self._write(self._head(status, reason, headers + framing))

    def send_body(self, data: bytes) -> None:
        """Send a part of a body that was begun."""
        if self.exchange is None or not data:
            return
        if self.exchange.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._write(data)

    def end_response(self) -> None:
        """End a body that was begun; it is whole."""
        if self.exchange is None:
            return
        if self.exchange.chunked:
            self._write(b"0\r\n\r\n")
        self._done()

    def abort_response(self) -> None:
        """Close the connection so that the answer can't look whole.

        Guard: where the answer could not be made at all, nothing of it has been sent,
        and a close without a word would leave the caller to guess. It is told a
        failure that promises nothing.
        """
        if self.exchange is not None and not self.exchange.begun:
            self._tell_fault()
            return
        exchange, self.exchange = self.exchange, None
        if self.transport is None:
            return
        # Without chunks an orderly end is the end of a whole answer: a reader would
        # take half of it for all. Only a reset says that it was broken off.
        if exchange is not None and exchange.begun and not exchange.chunked:
            self._reset()
        else:
            self.transport.abort()

    def _reset(self) -> None:
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            self.transport.abort()

    def _head(self, status: int, reason: bytes, headers: list[Header]) -> bytes:
        if self._closes():
            self.reader.closing = True
            headers = [*headers, Header(b"Connection", b"close")]
        else:
            self.advertised_idle_timeout = self.front.limits.idle_timeout
            seconds = int(self.advertised_idle_timeout.total_seconds())
            headers = [*headers, Header(b"Keep-Alive", b"timeout=%d" % seconds)]
        return render_head(b"HTTP/1.1 %d %s" % (status, reason), headers)

    def _closes(self) -> bool:
        if self.exchange is None or self.reader.closing or self.front.draining:
            return True
        return not self.exchange.message.head.keeps_alive

    def _done(self) -> None:
        self.exchange = None
        self.left = 0
        self.last_activity_at = self.clock.monotonic()
        if self.owes_refusal:
            self._refuse(TOO_FAR_AHEAD)
            return
        if self.reader.closing:
            self._linger()
            return
        self._await_request()
        if self.reader.buffer:
            self._begin_request()
            asyncio.get_running_loop().call_soon(self._read_next)

    def _read_next(self) -> None:
        ended = self.transport is None or self.lingering
        if self.exchange is not None or ended:
            return
        try:
            self._read()
        except Exception as error:
            self._fail(error)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Have no more read from the endpoint for now."""
        self.write_paused = True
        self.front.caller_stalled(self, True)

    def resume_writing(self) -> None:
        """Read from the endpoint again."""
        self.write_paused = False
        self.front.caller_stalled(self, False)

    def eof_received(self) -> bool:
        """Take the end of the caller's bytes for its leaving."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the caller is gone."""
        # The loop ends a connection whose owner raised, and hands on what it raised.
        if exc is not None and not isinstance(exc, OSError):
            self.front.intake_faulted(self, exc)
        self.transport = None
        self.registry.discard(self)
        self._stop_timer()
        if self.exchange is not None:
            self.exchange = None
            self.front.caller_disconnected(self)

    def _wait(self, time: timedelta, then: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(time.total_seconds(), self._due, then)

    def _due(self, then: Callable[[], None]) -> None:
        try:
            then()
        except Exception as error:
            self._fail(error)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

"""Persistent connection of a caller; handles one request at a time."""

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
LINGER_TIMEOUT = timedelta(milliseconds=500)
"""How long bytes are still read and discarded after the last response. Closing a socket
with unread bytes resets the connection, and the caller might not see the response."""

IDLE_TIMEOUT_SLACK = timedelta(seconds=2)
"""Added to the advertised idle timeout: a request that crosses the close is lost."""

READ_FAULT = BadRequestError(
    HTTPStatus.INTERNAL_SERVER_ERROR, "internal error while reading the request"
)
"""A status that doesn't guarantee that the request has not run."""

UNREAD_RECHECK_DELAY = timedelta(milliseconds=10)
"""Time in which the event loop reads pending bytes of a socket."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value that makes a close reset the connection."""

PIPELINED_TOO_FAR = BadRequestError(
    HTTPStatus.SERVICE_UNAVAILABLE, "pipelined too far ahead of the previous response"
)

BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL = 200


class RequestHandler(Protocol):
    """Receives requests and events of callers' connections."""

    @property
    def limits(self) -> ClientLimits:
        """Request limits in force."""

    @property
    def draining(self) -> bool:
        """Whether connections are closed after the current response."""

    def accept(
        self, connection: "ClientConnection", message: RequestMessage, at: timedelta
    ) -> None:
        """Handle a complete request; `at` is the time of its first byte."""

    def caller_disconnected(self, connection: "ClientConnection") -> None:
        """Handle a caller that closed its connection during a call."""

    def caller_stalled(self, connection: "ClientConnection", stalled: bool) -> None:
        """Pause or resume the call of a caller that reads slowly."""

    def malformed_request(
        self, connection: "ClientConnection", error: BadRequestError
    ) -> None:
        """Record a malformed or rejected request."""

    def retry_after_headers(self) -> list[Header]:
        """Return the headers with the retry delay for a rejected request."""

    def request_unanswered(
        self, connection: "ClientConnection", left: UnansweredRequest
    ) -> None:
        """Record a request that got no response before its connection was closed."""

    def intake_faulted(
        self, connection: "ClientConnection", error: BaseException
    ) -> None:
        """Handle an internal error while processing a caller's bytes."""


class ActiveRequest(msgspec.Struct):
    """The request that is currently being answered."""

    message: RequestMessage
    response_begun: bool = False
    chunked: bool = False


class ClientConnection(asyncio.Protocol):
    """Owns a caller's socket.

    Attributes
    ----------
    write_paused : bool
        Whether the caller reads too slowly and the write buffer is full.
    advertised_idle_timeout : timedelta
        Idle timeout that the caller was last given in a Keep-Alive header.
    last_activity_at : timedelta
        Monotonic time of the last read or of the end of the last response.
    """

    def __init__(
        self,
        handler: RequestHandler,
        clock: Clock,
        registry: "set[ClientConnection]",
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.registry = registry
        self.reader = RequestReader(handler.limits)
        self.transport: asyncio.Transport | None = None
        self.active_request: ActiveRequest | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.first_byte_at: timedelta | None = None
        self.lingering = False
        self.continue_sent = False
        self.unsent_at_last_check = 0
        self.write_paused = False
        self.last_activity_at = clock.monotonic()
        self.advertised_idle_timeout = timedelta(0)
        self.discarded_bytes = 0
        self.request_rejected = False
        self.reject_after_response = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.registry.add(self)
        self.advertised_idle_timeout = self.handler.limits.idle_timeout
        self.last_activity_at = self.clock.monotonic()
        self._await_request()

    @property
    def effective_idle_timeout(self) -> timedelta:
        """How long the caller may send nothing, or read nothing of its response.

        A configuration change may shorten the limit after it was advertised. With the
        current limit alone the connection would close early, and a request sent within
        the advertised time would get neither a response nor a rejection. So the timeout
        last advertised on this connection applies, or the configured one if it is
        longer, as callers may rely on the configuration.
        """
        return max(self.advertised_idle_timeout, self.handler.limits.idle_timeout)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self.active_request is None and not self.reader.begun

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes of a response are still in the write buffer."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def stop_intake(self) -> None:
        """Accept no further request; close the connection if it is idle.

        A request may already be in the receive buffer of a persistent connection, and a
        close would reset it unread. It is read and rejected instead, with a response
        that closes the connection.
        """
        if self.idle and not self.lingering and not self.has_unread_bytes:
            self.close(CloseReason.INTAKE_ENDED)

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the socket's receive buffer holds bytes of the caller."""
        if self.transport is None or self.transport.is_closing():
            return False
        return unread_socket_bytes(self.transport.get_extra_info("socket")) > 0

    def close(self, ending: CloseReason) -> None:
        """Close once all written bytes are sent.

        A complete request may be pending behind a response that ended in this iteration
        of the event loop. It is handled first, and rejected if the intake has ended;
        otherwise it would be dropped silently.
        """
        if self.active_request is None and self.reader.buffer:
            self._read_next()
        if self.transport is not None:
            self._report_unanswered(ending)
            self.transport.close()

    def _report_unanswered(self, ending: CloseReason) -> None:
        """Record a request, read or still in the receive buffer, that gets no response.

        A response that breaks off is logged with its call, and bytes after a rejected
        request are covered by the rejection.
        """
        if (
            self.transport is None
            or self.transport.is_closing()
            or self.request_rejected
        ):
            return
        read = len(self.reader.buffer) + self.discarded_bytes
        waiting = unread_socket_bytes(self.transport.get_extra_info("socket"))
        unsent = self.transport.get_write_buffer_size()
        awaits_response = (
            self.active_request is not None and not self.active_request.response_begun
        )
        incomplete = awaits_response or self.reader.awaits_body
        if not (read or waiting or unsent or incomplete):
            return
        whole = awaits_response or has_complete_request(self.reader)
        self.handler.request_unanswered(
            self,
            UnansweredRequest(
                ending,
                read,
                waiting,
                unsent,
                whole if whole or not self.discarded_bytes else None,
                self.clock.monotonic() - self.last_activity_at,
                self.advertised_idle_timeout,
            ),
        )

    def _close_when_drained(self) -> None:
        """Close once the caller has read its response or has stopped reading.

        A close waits until all bytes are written. A caller that never reads would keep
        its response and its socket open forever, because its call is over and no
        deadline applies. A slow caller reads some bytes in each idle timeout.
        """
        unsent = 0
        if self.transport is not None:
            unsent = self.transport.get_write_buffer_size()
        if unsent and unsent == self.unsent_at_last_check:
            self._report_unanswered(CloseReason.CALLER_NOT_READING)
            self._reset()
        elif unsent:
            self.unsent_at_last_check = unsent
            self._set_timer(self.effective_idle_timeout, self._close_when_drained)
        elif self.unsent_at_last_check and not self.lingering:
            # The rest was read since the last check: the advertised timeout starts now.
            self.unsent_at_last_check = 0
            self.last_activity_at = self.clock.monotonic()
            self._await_request()
        else:
            self.close(
                CloseReason.LAST_RESPONSE if self.lingering else CloseReason.IDLE
            )

    def data_received(self, data: bytes) -> None:
        """Process received bytes, or discard them if the connection is closing."""
        if self.lingering:
            self.discarded_bytes += len(data)
            return
        try:
            self._feed(data)
        except Exception as error:
            self._fail(error)

    def _feed(self, data: bytes) -> None:
        self.last_activity_at = self.clock.monotonic()
        if self.first_byte_at is None and self.active_request is None:
            self._begin_request()
        self.reader.feed(data)
        if self.active_request is None:
            self._read()
        elif len(self.reader.buffer) > self.handler.limits.header_bytes:
            self._discard_pipelined()

    def _discard_pipelined(self) -> None:
        """Discard pipelined bytes and close the connection after the current response.

        Reading isn't paused for a caller that pipelines too much, as EOF would stay
        unread behind the bytes and the endpoint would keep working for a disconnected
        caller. So all bytes are read, and none are kept.

        If the head of the current response has announced a persistent connection, a
        complete request might be discarded silently, so a rejection follows that
        response. Otherwise the head announces that the connection closes.
        """
        if not self.reader.closing and self.active_request is not None:
            self.reject_after_response = self.active_request.response_begun
        self.reader.closing = True
        self.discarded_bytes += len(self.reader.buffer)
        self.reader.buffer.clear()

    def _begin_request(self) -> None:
        self.first_byte_at = self.clock.monotonic()
        self.reader.limits = self.handler.limits
        self.advertised_idle_timeout = self.effective_idle_timeout
        self._set_timer(self.handler.limits.header_timeout, self._on_request_timeout)

    def _read(self) -> None:
        try:
            message = self.reader.next_request()
        except BadRequestError as error:
            self._reject(error)
            return
        if message is None:
            self._await_rest()
            return
        self._stop_timer()
        at = self.first_byte_at or self.clock.monotonic()
        self.first_byte_at = None
        self.continue_sent = False
        self.active_request = active_request = ActiveRequest(message)
        try:
            self.handler.accept(self, message, at)
        except Exception as error:
            if self.active_request is active_request:
                self._fail(error)
            else:
                self.handler.intake_faulted(self, error)

    def _fail(self, error: Exception) -> None:
        """End a request after an internal error and notify its caller.

        The event loop closes a connection without a response if its protocol raises. If
        a callback or a timer raises, the loop only logs it: no timer would be left, and
        the caller would wait forever. The error is reported to the caller once, and
        only for a request without a response; the handler then ends the call.
        """
        if self.active_request is not None:
            self.abort_response()
        elif self.reader.begun and not self.lingering:
            self._reject(READ_FAULT)
        else:
            self._set_timer(LINGER_TIMEOUT, self._abort)
        self.handler.intake_faulted(self, error)

    def _send_fault_response(self) -> None:
        self.reader.closing = True
        phrase = READ_FAULT.status.phrase.encode()
        self.send_response(int(READ_FAULT.status), phrase, [], b"")

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _await_rest(self) -> None:
        if not self.reader.begun:
            self._await_request()
            return
        head = self.reader.head
        if head is None:
            return
        if (
            head.expects_continue
            and not self.continue_sent
            and self.transport is not None
        ):
            self.transport.write(CONTINUE)
        self.continue_sent = True
        # Restarted with each read: a long body that arrives steadily is not too slow.
        self._set_timer(self.effective_idle_timeout, self._on_request_timeout)

    def _await_request(self) -> None:
        # Blank lines between requests don't start a request. Counting from them would
        # shorten the time of the next request, or send a 408 on an idle connection.
        self.first_byte_at = None
        self._set_timer(
            self.effective_idle_timeout + IDLE_TIMEOUT_SLACK, self._on_idle_timeout
        )

    def _on_idle_timeout(self) -> None:
        """Close the idle connection, unless a new configuration extended the timeout.

        The process may be delayed between polling the sockets and running the timers. A
        request that arrived in between would be reset unread, so pending bytes are read
        first.
        """
        due_at = (
            self.last_activity_at + self.effective_idle_timeout + IDLE_TIMEOUT_SLACK
        )
        time_left = due_at - self.clock.monotonic()
        if time_left > timedelta(0):
            self._set_timer(time_left, self._on_idle_timeout)
        elif self.has_unread_bytes:
            self._set_timer(UNREAD_RECHECK_DELAY, self._on_idle_timeout)
        else:
            self._close_when_drained()

    def _on_request_timeout(self) -> None:
        self._reject(
            BadRequestError(
                HTTPStatus.REQUEST_TIMEOUT, "timed out while reading the request"
            )
        )

    def _reject(self, error: BadRequestError) -> None:
        self.request_rejected = True
        phrase = error.status.phrase.encode()
        headers = [Header(b"Content-Length", b"0"), Header(b"Connection", b"close")]
        if error.status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers += self.handler.retry_after_headers()
        line = b"HTTP/1.1 %d %s" % (error.status, phrase)
        self._write(render_head(line, headers))
        self._linger()
        # Last, so that the caller has its response even if logging fails.
        self.handler.malformed_request(self, error)

    def _linger(self) -> None:
        self.lingering = True
        self.reader.closing = True
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self._set_timer(LINGER_TIMEOUT, self._close_when_drained)

    def send_response(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a complete response; for HEAD, only the head with the given length."""
        if self.active_request is None:
            return
        framing = []
        without_body = self.active_request.message.head.method == HEAD
        has_length = first_header_value(headers, CONTENT_LENGTH) is not None
        if status not in BODILESS_STATUSES and not has_length:
            framing.append(Header(b"Content-Length", b"%d" % len(body)))
        head = self._head(status, reason, headers + framing)
        self._write(head if without_body else head + body)
        self._finish_response()

    def begin_response(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Send the head of a response whose body follows in parts."""
        if self.active_request is None:
            return
        self.active_request.response_begun = True
        self.active_request.chunked = (
            self.active_request.message.head.minor_version == 1
        )
        framing = []
        if self.active_request.chunked:
            framing.append(Header(b"Transfer-Encoding", b"chunked"))
        else:
            self.reader.closing = True
        self._write(self._head(status, reason, headers + framing))

    def send_body(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.active_request is None or not data:
            return
        if self.active_request.chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._write(data)

    def end_response(self) -> None:
        """Complete the body."""
        if self.active_request is None:
            return
        if self.active_request.chunked:
            self._write(b"0\r\n\r\n")
        self._finish_response()

    def abort_response(self) -> None:
        """Abort the connection so that the response can't look complete.

        If no part of the response was sent, an internal error is sent instead, which
        doesn't guarantee that the request has not run. A close without a response would
        leave the caller without any status.
        """
        if self.active_request is not None and not self.active_request.response_begun:
            self._send_fault_response()
            return
        request, self.active_request = self.active_request, None
        if self.transport is None:
            return
        # Without chunked encoding an orderly close marks the end of the body, and the
        # truncated response would look complete. Only a reset signals the truncation.
        if request is not None and request.response_begun and not request.chunked:
            self._reset()
        else:
            self.transport.abort()

    def _reset(self) -> None:
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    def _head(self, status: int, reason: bytes, headers: list[Header]) -> bytes:
        if self._closes_after_response():
            self.reader.closing = True
            headers = [*headers, Header(b"Connection", b"close")]
        else:
            self.advertised_idle_timeout = self.handler.limits.idle_timeout
            seconds = int(self.advertised_idle_timeout.total_seconds())
            headers = [*headers, Header(b"Keep-Alive", b"timeout=%d" % seconds)]
        return render_head(b"HTTP/1.1 %d %s" % (status, reason), headers)

    def _closes_after_response(self) -> bool:
        if self.active_request is None or self.reader.closing or self.handler.draining:
            return True
        return not self.active_request.message.head.keeps_alive

    def _finish_response(self) -> None:
        self.active_request = None
        self.unsent_at_last_check = 0
        self.last_activity_at = self.clock.monotonic()
        if self.reject_after_response:
            self._reject(PIPELINED_TOO_FAR)
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
        if self.active_request is not None or ended:
            return
        try:
            self._read()
        except Exception as error:
            self._fail(error)

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def pause_writing(self) -> None:
        """Pause reading from the endpoint."""
        self.write_paused = True
        self.handler.caller_stalled(self, True)

    def resume_writing(self) -> None:
        """Resume reading from the endpoint."""
        self.write_paused = False
        self.handler.caller_stalled(self, False)

    def eof_received(self) -> bool:
        """Treat EOF as a disconnect of the caller."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the disconnect to the handler."""
        # The loop closes a connection whose protocol raised, and passes the exception.
        if exc is not None and not isinstance(exc, OSError):
            self.handler.intake_faulted(self, exc)
        self.transport = None
        self.registry.discard(self)
        self._stop_timer()
        if self.active_request is not None:
            self.active_request = None
            self.handler.caller_disconnected(self)

    def _set_timer(self, time: timedelta, then: Callable[[], None]) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(time.total_seconds(), self._run_timer, then)

    def _run_timer(self, then: Callable[[], None]) -> None:
        try:
            then()
        except Exception as error:
            self._fail(error)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

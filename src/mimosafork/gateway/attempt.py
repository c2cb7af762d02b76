"""A single attempt of a call at an endpoint."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from logging import getLogger

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptSent,
    AttemptSilent,
    ConnectionOpening,
    DispatchFaulted,
    Exposure,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
)
from ..kernel.messages.base import Message
from ..kernel.messages.dispatch import Dispatch
from ..kernel.messages.requests import Repeatability
from ..telemetry.catalogue.lifecycle import EFFECT_FAULT
from ..telemetry.logs import log_event
from .call import Call, CompleteResponse
from .dialect import AttemptMetadata, Dialect, ResponseMetadata
from .event_stream import EVENT_STREAM, EventSplitter
from .heads import (
    CONTENT_LENGTH,
    HEAD,
    Header,
    end_to_end_headers,
    first_header_value,
    render_head,
)
from .pool import ConnectionPool, ConnectionRequest
from .problems import NOT_RUN_STATUSES
from .response_reader import ResponseHead
from .upstream import CallSink, ConnectionLoss, EndpointConnection, connection_loss_of

logger = getLogger(__name__)

NON_IDEMPOTENT_MAX_IDLE = timedelta(milliseconds=1500)
"""A non-idempotent call uses a pooled connection only if it was idle for no longer: if
the endpoint closes the connection under the request, the outcome is unknown."""

SILENCE_REPORT_SHARE = 0.25
"""Share of the allowed silence after which a continuing silence is reported again."""

SUCCESS = range(200, 300)

MAX_BUFFERED_BYTES = 256 * 1024
"""Limit on the buffered bytes of one incomplete response or event."""


class ResponseMode(Enum):
    """How an attempt handles the bytes of the response."""

    HEAD = "head"
    STREAM = "stream"
    WHOLE = "whole"
    PASSTHROUGH = "passing"
    """A plain response too long to be buffered: it is forwarded as it arrives."""
    REFUSAL = "refusal"
    FOREIGN = "foreign"
    """A response to another call; it is skipped."""


class AttemptContext(msgspec.Struct, frozen=True):
    """Dependencies that all attempts share."""

    clock: Clock
    pool: ConnectionPool
    dialect: Dialect
    report: Callable[[Message], None]


class EndpointAttempt:
    """Sends a call to an endpoint and reads the response.

    Reports exactly one of `AttemptFinished`, `AttemptFailed` and `DispatchFaulted`,
    unless it is cancelled.
    """

    def __init__(self, call: Call, dispatch: Dispatch, tools: AttemptContext) -> None:
        self.call = call
        self.dispatch = dispatch
        self.context = tools
        self.mode = ResponseMode.HEAD
        self.connection: EndpointConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.splitter = EventSplitter()
        self.head: ResponseHead | None = None
        self.metadata: ResponseMetadata | None = None
        self.chunks: list[bytes] = []
        self.buffered_bytes = 0
        self.ended = False
        self.first_reported = False
        self.hedged = False
        self.last_event_at = tools.clock.monotonic()
        self.paused = False
        self.next_silence_report_at = self.last_event_at
        self.reused = False
        self.diagnostics = call.diagnostics

    @property
    def without_body(self) -> bool:
        """Whether the response has no body, whatever its head says."""
        return self.call.message.head.method == HEAD

    @property
    def endpoint(self) -> EndpointId:
        """The endpoint that the call is sent to."""
        return self.dispatch.endpoint

    @property
    def event_received_at(self) -> timedelta | None:
        """Time of the latest event; None before the first and while paused."""
        return self.last_event_at if self.first_reported and not self.paused else None

    def start(self) -> None:
        """Acquire or open a connection and send the request."""
        non_idempotent = self.call.request.repeatability is Repeatability.NON_IDEMPOTENT
        connection_request = ConnectionRequest(
            self.dispatch.endpoint,
            self.dispatch.address,
            NON_IDEMPOTENT_MAX_IDLE if non_idempotent else None,
            proven_since_break=non_idempotent or self.dispatch.attempt > 1,
        )
        pooled = self.context.pool.acquire(connection_request)
        if pooled is not None:
            self._on_connected(pooled)
            return
        self.diagnostics.connecting_since = self.context.clock.monotonic()
        self.connecting = self.context.pool.open(
            connection_request, self._on_connected, self._on_connect_failed
        )
        # If the deadline passes meanwhile, the caller learns that the call has not run.
        self.context.report(
            ConnectionOpening(self.dispatch.request_id, self.dispatch.attempt)
        )

    def cancel(self) -> None:
        """Cancel the attempt; closing the connection makes the endpoint stop too."""
        self.ended = True
        if self.connecting is not None:
            self.diagnostics.note_connected(self.context.clock.monotonic())
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.abort()
        if self.connecting is not None or self.connection is not None:
            self.diagnostics.connection_loss = ConnectionLoss.CLOSED_LOCALLY

    def check_silence(self, now: timedelta) -> AttemptSilent | None:
        """Return a message if the endpoint has been silent for too long.

        A continuing silence is reported repeatedly, at shorter intervals than the
        allowed silence, because its explanation may end long before the silence has
        doubled. While reading is paused for a slow caller the endpoint isn't silent.
        """
        if self.paused:
            self.last_event_at = now
        silence_timeouts = self.dispatch.silence_timeouts
        if (
            silence_timeouts is None
            or self.ended
            or self.mode is ResponseMode.PASSTHROUGH
        ):
            return None
        allowed = (
            silence_timeouts.between_events
            if self.first_reported
            else silence_timeouts.first_event
        )
        silence = now - self.last_event_at
        if silence < allowed or now < self.next_silence_report_at:
            return None
        self.next_silence_report_at = now + allowed * SILENCE_REPORT_SHARE
        return AttemptSilent(self.dispatch.request_id, self.dispatch.attempt, silence)

    def pause(self) -> None:
        """Pause reading: the caller reads too slowly."""
        self.paused = True
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self.paused = False
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.resume_reading()

    def _on_connected(self, connection: EndpointConnection) -> None:
        self.connecting = None
        self.diagnostics.note_connected(self.context.clock.monotonic())
        if self.ended:
            connection.close()
            return
        # This runs in a task that nobody awaits. Without the handler an exception would
        # leave the call hanging until its deadline.
        try:
            self._send(connection)
        except Exception:
            log_event(logger, EFFECT_FAULT, exc_info=True, effect=Dispatch.__name__)
            connection.abort()
            self.ended = True
            self.context.report(
                dispatch_faulted(self.dispatch, self.connection is not None)
            )

    def _on_connect_failed(self, error: OSError) -> None:
        self.connecting = None
        self.diagnostics.note_connected(self.context.clock.monotonic())
        self.diagnostics.connection_loss = connection_loss_of(error)
        self._fail(FailureKind.UNREACHED, Exposure.NEVER_SENT)

    def _send(self, connection: EndpointConnection) -> None:
        time_left = self.dispatch.deadline - self.context.clock.monotonic()
        # The process may have been frozen while it connected. An expired call must not
        # run, since its caller has already been notified of the deadline.
        if time_left <= timedelta(0):
            self.context.pool.release(self.dispatch.endpoint, connection)
            self._fail(FailureKind.DEADLINE, Exposure.NEVER_SENT)
            return
        request = self._request(time_left)
        self.connection = connection
        self.reused = connection.use_count > 0
        if not self.reused:
            # Report before the first byte: afterwards "not run" couldn't be guaranteed.
            self.context.report(
                AttemptSent(self.dispatch.request_id, self.dispatch.attempt)
            )
            if self.ended:
                return
        sink = CallSink(self._on_head, self._on_data, self._on_end, self._on_lost)
        connection.send(request, sink, self.without_body)
        # Backpressure is signalled once per stall, possibly during an earlier attempt.
        if self.call.caller_stalled:
            self.pause()

    def _request(self, time_left: timedelta) -> bytes:
        head, body = self.call.message.head, self.call.message.body
        metadata = AttemptMetadata(
            endpoint=self.dispatch.endpoint,
            time_left=time_left,
            account=self.call.account,
            last_event_id=self.call.last_event_id,
            priority=self.dispatch.priority,
            helpers=self.dispatch.helpers,
        )
        headers = self.context.dialect.endpoint_headers(head, metadata)
        if body or head.content_length != 0 or head.method not in {b"GET", HEAD}:
            headers.append(Header(b"Content-Length", b"%d" % len(body)))
        first_line = b"%s %s HTTP/1.1" % (head.method, head.target)
        return render_head(first_line, headers) + body

    def _on_head(self, head: ResponseHead) -> None:
        metadata = self.context.dialect.parse_response_metadata(head)
        # An endpoint may repeat the response to an earlier call on this connection when
        # the response to this call is due; the id distinguishes them.
        if (
            metadata.call_id is not None
            and metadata.call_id != self.call.metadata.call_id
        ):
            self.mode = ResponseMode.FOREIGN
            if self.connection is not None:
                self.connection.reusable = False
            return
        self.head = head
        self.metadata = metadata
        self.chunks.clear()
        self.buffered_bytes = 0
        if metadata.not_run:
            self.mode = ResponseMode.REFUSAL
        elif head.status in SUCCESS and not metadata.signed:
            self._abort(FailureKind.INVALID)
        elif head.status in SUCCESS and is_stream(head) and not self.without_body:
            self.mode = ResponseMode.STREAM
            self.call.begin_stream(head, end_to_end_headers(head.headers))
        else:
            self.mode = ResponseMode.WHOLE

    def _on_data(self, data: bytes) -> None:
        if self.mode is ResponseMode.STREAM:
            now = self.context.clock.monotonic()
            self.last_event_at = now
            for event in self.splitter.feed(data):
                self._report_hedged_event()
                self._report_first()
                self.call.forward_event(event, now)
            # An unterminated event would exhaust memory; it is never forwarded.
            if len(self.splitter.buffer) > MAX_BUFFERED_BYTES:
                self._abort(FailureKind.INVALID)
        elif self.mode is ResponseMode.WHOLE:
            self.chunks.append(data)
            self.buffered_bytes += len(data)
            if self.buffered_bytes > MAX_BUFFERED_BYTES:
                self._start_passthrough()
        elif self.mode is ResponseMode.PASSTHROUGH:
            self.call.responder.send_body(data)

    def _start_passthrough(self) -> None:
        """Forward the buffered bytes, and the rest as it arrives.

        Buffering many long responses, or one without end, would exhaust memory. With
        passthrough a slow caller exerts backpressure on the endpoint. The call can't be
        retried any more; if the response breaks off, the caller's is aborted too.
        """
        assert self.head is not None
        if self.head.status not in SUCCESS or self.call.head_sent:
            self._abort(FailureKind.INVALID)
            return
        self.mode = ResponseMode.PASSTHROUGH
        self._report_first()
        self.call.first_sent_at = self.context.clock.monotonic()
        self.call.begin_stream(self.head, end_to_end_headers(self.head.headers))
        for part in self.chunks:
            self.call.responder.send_body(part)
        self.chunks.clear()

    @property
    def may_be_hedged(self) -> bool:
        """Whether the attempt stays open while another one is tried.

        This requires that the caller has received part of the response, and that no
        memory is reserved for the attempt: that is freed once the attempt has failed.
        """
        reserved = any(each.reservation for each in self.dispatch.helpers)
        return self.call.head_sent and not reserved

    def _report_hedged_event(self) -> None:
        if self.hedged:
            message = HedgedAttemptResumed(
                self.dispatch.request_id, self.dispatch.attempt
            )
            self.context.report(message)

    def _report_first(self) -> None:
        if self.first_reported:
            return
        self.first_reported = True
        first = FirstToken(self.dispatch.request_id, self.dispatch.attempt)
        self.context.report(first)

    def _on_end(self) -> None:
        if self.mode is ResponseMode.FOREIGN:
            connection, self.connection = self.connection, None
            self._await_own_response(connection)
        elif self.connection is not None:
            self.connection.after_parsing(self._after_end)

    def _after_end(self) -> None:
        # The last bytes may have stalled the caller and paused this connection. The
        # call is over, so nothing would resume it, and the next call on the connection
        # would never read its response.
        self.resume()
        connection, self.connection = self.connection, None
        if connection is not None:
            self.context.pool.release(self.dispatch.endpoint, connection)
        if self.mode is ResponseMode.REFUSAL:
            self._fail_refused()
        elif self.mode is ResponseMode.STREAM:
            self._finish_stream()
        elif self.mode is ResponseMode.PASSTHROUGH:
            self.call.responder.end_response()
            self._finish()
        else:
            self._finish_whole()

    def _await_own_response(self, connection: EndpointConnection | None) -> None:
        if connection is None or connection.transport is None:
            self._fail(FailureKind.BROKEN, Exposure.POSSIBLE)
            return
        self.mode = ResponseMode.HEAD
        self.connection = connection
        connection.sink = CallSink(
            self._on_head, self._on_data, self._on_end, self._on_lost
        )
        connection.expect_another_response()

    def _finish_stream(self) -> None:
        # The last bytes lack the terminating empty line and form no event. The response
        # is complete according to the endpoint, so they are forwarded unchanged.
        if self.splitter.remainder:
            self.call.responder.send_body(self.splitter.remainder)
        self.call.responder.end_response()
        self._finish()

    def _finish_whole(self) -> None:
        assert self.head is not None
        response = CompleteResponse(self.head, b"".join(self.chunks))
        if response.head.status in SUCCESS and not self.call.head_sent:
            self._send_complete(response)
            self._finish()
            return
        # A status that means "not run", without the endpoint's explicit statement, is
        # no guarantee: the caller might repeat a call that has run.
        if response.head.status in NOT_RUN_STATUSES:
            self._fail(FailureKind.INVALID, Exposure.POSSIBLE)
            return
        self.call.endpoint_failure = response
        self._fail(
            FailureKind.ENGINE_FAILED, Exposure.POSSIBLE, status=response.head.status
        )

    def _send_complete(self, response: CompleteResponse) -> None:
        self._report_first()
        self.call.first_sent_at = self.context.clock.monotonic()
        send_complete_response(self.call, response)

    def _finish(self) -> None:
        self.ended = True
        self.context.report(
            AttemptFinished(self.dispatch.request_id, self.dispatch.attempt)
        )

    def _fail_refused(self) -> None:
        assert self.head is not None
        assert self.metadata is not None
        self._fail(
            FailureKind.REFUSED,
            Exposure.REFUSED,
            status=self.head.status,
            refusal="elsewhere" if self.metadata.endpoint_moved else "not-run",
            fault_at=self.metadata.fault_at,
        )

    def _on_lost(self, loss: ConnectionLoss) -> None:
        self.connection = None
        self.diagnostics.connection_loss = loss
        if self.mode is ResponseMode.REFUSAL:
            self._fail_refused()
            return
        malformed = loss is ConnectionLoss.MALFORMED
        if not malformed:
            self.context.pool.note_connection_broken()
        kind = FailureKind.INVALID if malformed else FailureKind.BROKEN
        # The caller already has the status; reporting it prevents a retry by policies.
        final = self.head if self.mode is ResponseMode.PASSTHROUGH else None
        status = None if final is None else final.status
        self._fail(kind, Exposure.POSSIBLE, status=status)

    def _abort(self, kind: FailureKind) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            self.diagnostics.connection_loss = ConnectionLoss.CLOSED_LOCALLY
            connection.abort()
        self._fail(kind, Exposure.POSSIBLE)

    def _fail(
        self,
        kind: FailureKind,
        exposure: Exposure,
        status: int | None = None,
        refusal: str | None = None,
        fault_at: str | None = None,
    ) -> None:
        if self.ended:
            return
        self.ended = True
        self.context.report(
            AttemptFailed(
                self.dispatch.request_id,
                self.dispatch.attempt,
                kind,
                exposure,
                delivered_tokens=self.call.events_sent,
                refusal=refusal,
                status=status,
                fault_at=fault_at,
                endpoint=self.dispatch.endpoint,
                digest=self.call.request.body_digest,
            )
        )


def dispatch_faulted(dispatch: Dispatch, sent: bool) -> DispatchFaulted:
    """Return the message that an attempt failed because of an internal error."""
    return DispatchFaulted(
        AttemptFailed(
            dispatch.request_id,
            dispatch.attempt,
            FailureKind.INVALID,
            Exposure.POSSIBLE if sent else Exposure.NEVER_SENT,
        )
    )


def is_stream(head: ResponseHead) -> bool:
    """Return whether a response is an event stream."""
    kind = first_header_value(head.headers, b"content-type") or b""
    return kind.split(b";")[0].strip().lower() == EVENT_STREAM


def send_complete_response(call: Call, response: CompleteResponse) -> None:
    """Send an endpoint's complete response to the caller, unchanged."""
    call.head_sent = True
    call.status = response.head.status
    headers = end_to_end_headers(response.head.headers)
    length = first_header_value(response.head.headers, CONTENT_LENGTH)
    if call.message.head.method == HEAD and length is not None:
        headers.append(Header(b"Content-Length", length))
    call.responder.send_response(
        response.head.status, response.head.reason, headers, response.body
    )

"""One attempt of a call at an endpoint."""

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

FRESH_FOR_ONCE = timedelta(milliseconds=1500)
"""A call that may run only once takes a kept connection only if it was used just
now: one that its endpoint closes under the request leaves its fate unknown."""

TOLD_AGAIN = 0.25
"""Share of an attempt's patience after which a silence is told again."""

SUCCESS = range(200, 300)

MAX_BUFFERED_BYTES = 256 * 1024
"""Bytes of one answer that wait here for the rest of it, or of an event."""


class ResponseMode(Enum):
    """What an attempt does with the answer's bytes."""

    HEAD = "head"
    STREAM = "stream"
    WHOLE = "whole"
    PASSTHROUGH = "passing"
    """A whole answer too long to be held: it goes on to the caller as it comes."""
    REFUSAL = "refusal"
    FOREIGN = "foreign"
    """An answer to another call; it is skipped."""


class AttemptContext(msgspec.Struct, frozen=True):
    """What attempts share."""

    clock: Clock
    pool: ConnectionPool
    dialect: Dialect
    report: Callable[[Message], None]


class EndpointAttempt:
    """Sends a call to an endpoint and reads its answer.

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
        self.silence_due = self.last_event_at
        self.reused = False
        self.diagnostics = call.diagnostics

    @property
    def without_body(self) -> bool:
        """Whether the answer has no body, whatever its head says of one."""
        return self.call.message.head.method == HEAD

    @property
    def endpoint(self) -> EndpointId:
        """Where it was sent."""
        return self.dispatch.endpoint

    @property
    def event_received_at(self) -> timedelta | None:
        """When the latest event came; None before the first, and while not read on."""
        return self.last_event_at if self.first_reported and not self.paused else None

    def start(self) -> None:
        """Take or open a connection and send."""
        once = self.call.request.repeatability is Repeatability.NON_IDEMPOTENT
        wanted = ConnectionRequest(
            self.dispatch.endpoint,
            self.dispatch.address,
            FRESH_FOR_ONCE if once else None,
            proven_since_break=once or self.dispatch.attempt > 1,
        )
        kept = self.context.pool.acquire(wanted)
        if kept is not None:
            self._opened(kept)
            return
        self.diagnostics.connecting_since = self.context.clock.monotonic()
        self.connecting = self.context.pool.open(wanted, self._opened, self._unreached)
        # Should the deadline pass meanwhile, the caller is told that it never ran.
        self.context.report(
            ConnectionOpening(self.dispatch.request_id, self.dispatch.attempt)
        )

    def cancel(self) -> None:
        """Stop; closing the connection has the endpoint stop too."""
        self.ended = True
        if self.connecting is not None:
            self.diagnostics.note_connected(self.context.clock.monotonic())
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.abort()
        if self.connecting is not None or self.connection is not None:
            self.diagnostics.connection_loss = ConnectionLoss.CLOSED_LOCALLY

    def check_silence(self, now: timedelta) -> AttemptSilent | None:
        """Return the word that it has been silent for too long, if it has.

        The same silence is told again, and more often: what explained it may be over
        long before it has doubled. While the caller doesn't keep up nothing is read,
        and the endpoint isn't the one that is silent.
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
        if silence < allowed or now < self.silence_due:
            return None
        self.silence_due = now + allowed * TOLD_AGAIN
        return AttemptSilent(self.dispatch.request_id, self.dispatch.attempt, silence)

    def pause(self) -> None:
        """Read no more: the caller doesn't keep up."""
        self.paused = True
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        self.paused = False
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.resume_reading()

    def _opened(self, connection: EndpointConnection) -> None:
        self.connecting = None
        self.diagnostics.note_connected(self.context.clock.monotonic())
        if self.ended:
            connection.close()
            return
        # In a task that nobody awaits: raised there, a fault would be the last that
        # was heard of the call before its deadline.
        try:
            self._send(connection)
        except Exception:
            log_event(logger, EFFECT_FAULT, exc_info=True, effect=Dispatch.__name__)
            connection.abort()
            self.ended = True
            self.context.report(
                dispatch_faulted(self.dispatch, self.connection is not None)
            )

    def _unreached(self, error: OSError) -> None:
        self.connecting = None
        self.diagnostics.note_connected(self.context.clock.monotonic())
        self.diagnostics.connection_loss = connection_loss_of(error)
        self._fail(FailureKind.UNREACHED, Exposure.NEVER_SENT)

    def _send(self, connection: EndpointConnection) -> None:
        time_left = self.dispatch.deadline - self.context.clock.monotonic()
        # The process may have been frozen while the connection was opened: a call
        # whose time is over must not be run for a caller that has been told so.
        if time_left <= timedelta(0):
            self.context.pool.release(self.dispatch.endpoint, connection)
            self._fail(FailureKind.DEADLINE, Exposure.NEVER_SENT)
            return
        request = self._request(time_left)
        self.connection = connection
        self.reused = connection.use_count > 0
        if not self.reused:
            # Before the first byte: a promise made after it would be none.
            self.context.report(
                AttemptSent(self.dispatch.request_id, self.dispatch.attempt)
            )
            if self.ended:
                return
        sink = CallSink(self._on_head, self._on_data, self._on_end, self._on_lost)
        connection.send(request, sink, self.without_body)
        # A caller that an earlier attempt has left behind says so only once.
        if self.call.caller_stalled:
            self.pause()

    def _request(self, time_left: timedelta) -> bytes:
        head, body = self.call.message.head, self.call.message.body
        marks = AttemptMetadata(
            endpoint=self.dispatch.endpoint,
            time_left=time_left,
            account=self.call.account,
            last_event_id=self.call.last_event_id,
            priority=self.dispatch.priority,
            helpers=self.dispatch.helpers,
        )
        headers = self.context.dialect.endpoint_headers(head, marks)
        if body or head.content_length != 0 or head.method not in {b"GET", HEAD}:
            headers.append(Header(b"Content-Length", b"%d" % len(body)))
        first_line = b"%s %s HTTP/1.1" % (head.method, head.target)
        return render_head(first_line, headers) + body

    def _on_head(self, head: ResponseHead) -> None:
        marks = self.context.dialect.parse_response_metadata(head)
        # An endpoint may answer an earlier call of the connection a second time,
        # just where this one's answer is awaited; the id tells them apart.
        if marks.call_id is not None and marks.call_id != self.call.metadata.call_id:
            self.mode = ResponseMode.FOREIGN
            if self.connection is not None:
                self.connection.reusable = False
            return
        self.head = head
        self.metadata = marks
        self.chunks.clear()
        self.buffered_bytes = 0
        if marks.not_run:
            self.mode = ResponseMode.REFUSAL
        elif head.status in SUCCESS and not marks.signed:
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
                self._report_heard()
                self._report_first()
                self.call.forward_event(event, now)
            # An event that never ends would fill the memory; it is never passed on.
            if len(self.splitter.buffer) > MAX_BUFFERED_BYTES:
                self._abort(FailureKind.INVALID)
        elif self.mode is ResponseMode.WHOLE:
            self.chunks.append(data)
            self.buffered_bytes += len(data)
            if self.buffered_bytes > MAX_BUFFERED_BYTES:
                self._hold_no_more()
        elif self.mode is ResponseMode.PASSTHROUGH:
            self.call.responder.send_body(data)

    def _hold_no_more(self) -> None:
        """Pass on what was held, and the rest as it comes.

        Guard: many callers whose answers are long, or one whose answer never ends,
        would fill the memory. Passed on, the rest waits at the endpoint as long as
        its caller doesn't keep up. No other attempt can follow any more; an answer
        that breaks off is broken off towards the caller too.
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
        """Whether it stays open while another attempt is tried.

        Its caller has begun to get its answer, and no memory is reserved for it, which
        is freed as soon as it counts as failed.
        """
        reserved = any(each.reservation for each in self.dispatch.helpers)
        return self.call.head_sent and not reserved

    def _report_heard(self) -> None:
        if self.hedged:
            heard = HedgedAttemptResumed(
                self.dispatch.request_id, self.dispatch.attempt
            )
            self.context.report(heard)

    def _report_first(self) -> None:
        if self.first_reported:
            return
        self.first_reported = True
        first = FirstToken(self.dispatch.request_id, self.dispatch.attempt)
        self.context.report(first)

    def _on_end(self) -> None:
        if self.mode is ResponseMode.FOREIGN:
            connection, self.connection = self.connection, None
            self._await_own(connection)
        elif self.connection is not None:
            self.connection.after_parsing(self._after_end)

    def _after_end(self) -> None:
        # The caller may have fallen behind with these very bytes. Its call is over,
        # so nobody would resume the connection that was paused for it, and the next
        # call on it would never read its answer.
        self.resume()
        connection, self.connection = self.connection, None
        if connection is not None:
            self.context.pool.release(self.dispatch.endpoint, connection)
        if self.mode is ResponseMode.REFUSAL:
            self._refuse()
        elif self.mode is ResponseMode.STREAM:
            self._finish_stream()
        elif self.mode is ResponseMode.PASSTHROUGH:
            self.call.responder.end_response()
            self._finish()
        else:
            self._finish_whole()

    def _await_own(self, connection: EndpointConnection | None) -> None:
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
        # Without an empty line at its end the last piece is no event; the endpoint
        # says that its answer is whole, so it is passed on as it came.
        if self.splitter.remainder:
            self.call.responder.send_body(self.splitter.remainder)
        self.call.responder.end_response()
        self._finish()

    def _finish_whole(self) -> None:
        assert self.head is not None
        answer = CompleteResponse(self.head, b"".join(self.chunks))
        if answer.head.status in SUCCESS and not self.call.head_sent:
            self._deliver(answer)
            self._finish()
            return
        # A status that promises "not run" without the endpoint's own statement
        # promises what nobody knows: a caller would send again what may have run.
        if answer.head.status in NOT_RUN_STATUSES:
            self._fail(FailureKind.INVALID, Exposure.POSSIBLE)
            return
        self.call.endpoint_failure = answer
        self._fail(
            FailureKind.ENGINE_FAILED, Exposure.POSSIBLE, status=answer.head.status
        )

    def _deliver(self, answer: CompleteResponse) -> None:
        self._report_first()
        self.call.first_sent_at = self.context.clock.monotonic()
        send_complete_response(self.call, answer)

    def _finish(self) -> None:
        self.ended = True
        self.context.report(
            AttemptFinished(self.dispatch.request_id, self.dispatch.attempt)
        )

    def _refuse(self) -> None:
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
            self._refuse()
            return
        garbled = loss is ConnectionLoss.MALFORMED
        if not garbled:
            self.context.pool.note_connection_broken()
        kind = FailureKind.INVALID if garbled else FailureKind.BROKEN
        # The caller has the status; told of it, no policy sends the call again.
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
    """Return the word that an attempt could not be made for a fault in the code."""
    return DispatchFaulted(
        AttemptFailed(
            dispatch.request_id,
            dispatch.attempt,
            FailureKind.INVALID,
            Exposure.POSSIBLE if sent else Exposure.NEVER_SENT,
        )
    )


def is_stream(head: ResponseHead) -> bool:
    """Return whether an answer is a series of events."""
    kind = first_header_value(head.headers, b"content-type") or b""
    return kind.split(b";")[0].strip().lower() == EVENT_STREAM


def send_complete_response(call: Call, answer: CompleteResponse) -> None:
    """Send an endpoint's whole answer to the caller, unchanged."""
    call.head_sent = True
    call.status = answer.head.status
    headers = end_to_end_headers(answer.head.headers)
    length = first_header_value(answer.head.headers, CONTENT_LENGTH)
    if call.message.head.method == HEAD and length is not None:
        headers.append(Header(b"Content-Length", length))
    call.responder.send_response(
        answer.head.status, answer.head.reason, headers, answer.body
    )

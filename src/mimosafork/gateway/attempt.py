"""A single attempt of a call at an endpoint."""

import asyncio
from datetime import timedelta
from logging import getLogger

from ..ids import EndpointId
from ..kernel.messages.attempts import (
    AttemptSilent,
    Exposure,
    FailureKind,
)
from ..kernel.messages.dispatch import Dispatch
from ..telemetry.catalogue.lifecycle import EFFECT_FAULT
from ..telemetry.logs import log_event
from .attempt_context import AttemptContext
from .attempt_reports import AttemptReports
from .buffered_body import REFUSAL_BODY_TIMEOUT, BufferedBody
from .call import Call, CompleteResponse
from .connection_choice import connection_request
from .dialect import ResponseMetadata
from .endpoint_request import attempt_request
from .errors import BadResponseError
from .final_responses import dispatch_faulted, send_complete_response
from .heads import HEAD, end_to_end_headers
from .response_end import ResponseEnd, end_of
from .response_mode import (
    SUCCESS,
    ResponseMode,
    failure_of,
    mode_of,
    mode_of_peer_response,
)
from .response_reader import ResponseHead
from .silence_timer import SilenceTimer
from .stream_forwarder import StreamForwarder
from .upstream import CallSink, ConnectionLoss, EndpointConnection, connection_loss_of

logger = getLogger(__name__)

SHORT_RESPONSE_TIME = timedelta(milliseconds=500)
"""Most plain calls end sooner, and need no longer time-out."""


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
        self.stream = StreamForwarder(call)
        self.head: ResponseHead | None = None
        self.metadata: ResponseMetadata | None = None
        self.body = BufferedBody()
        self.ended = False
        self.reports = AttemptReports(call, dispatch, tools)
        self.hedged = False
        self.silence = SilenceTimer(dispatch.silence_timeouts, tools.clock.monotonic())
        self.reused = False
        self.sent_at = timedelta(0)
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
        known = self.reports.first_reported and not self.silence.paused
        return self.silence.last_event_at if known else None

    def start(self) -> None:
        """Acquire or open a connection and send the request."""
        call_id = self.call.metadata.call_id
        wanted = connection_request(self.call.request, self.dispatch, call_id)
        pooled = self.context.pool.acquire(wanted)
        if pooled is not None:
            self._on_connected(pooled)
            return
        self.diagnostics.connecting_since = self.context.clock.monotonic()
        self.connecting = self.context.pool.open(
            wanted, self._on_connected, self._on_connect_failed
        )
        # If the deadline passes meanwhile, the caller learns that the call has not run.
        self.reports.opening()

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
        """Return a message if the endpoint has been silent for too long."""
        if self.ended or self.mode is ResponseMode.PASSTHROUGH:
            return None
        if not self.call.position_certain:
            return None
        silence = self.silence.exceeded(self.reports.first_reported, now)
        if silence is None:
            return None
        return AttemptSilent(self.dispatch.request_id, self.dispatch.attempt, silence)

    def extend_timeout(self, now: timedelta) -> None:
        """Allow the endpoint a longer silence if it has taken its time already."""
        if self.connection is not None and now - self.sent_at >= SHORT_RESPONSE_TIME:
            self.connection.allow_silence()

    def pause(self) -> None:
        """Pause reading: the caller reads too slowly."""
        self.silence.paused = True
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self.silence.paused = False
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
        now = self.context.clock.monotonic()
        # The process may have been frozen while it connected. An expired call must not
        # run, since its caller has already been notified of the deadline.
        if now >= self.dispatch.deadline:
            self.context.pool.release(self.dispatch.endpoint, connection)
            self._fail(FailureKind.DEADLINE, Exposure.NEVER_SENT)
            return
        objection = self.context.sends.objection(self.dispatch, now)
        if objection is not None:
            self.context.pool.release(self.dispatch.endpoint, connection)
            self._fail(objection, Exposure.NEVER_SENT)
            return
        time_left = self.dispatch.deadline - now
        request = attempt_request(self.call, self.dispatch, self.context, time_left)
        self.connection = connection
        self.reused = connection.use_count > 0
        if not self.reused:
            # Report before the first byte: afterwards "not run" couldn't be guaranteed.
            self.reports.sent()
            if self.ended:
                return
        self.sent_at = now
        call_id = self.call.metadata.call_id
        self.diagnostics.note_sent(connection, call_id, now)
        self.reports.log_sent()
        sink = CallSink(self._on_head, self._on_data, self._on_end, self._on_lost)
        connection.send(request, sink, self.without_body, call_id)
        # Backpressure is signalled once per stall, possibly during an earlier attempt.
        if self.call.caller_stalled:
            self.pause()

    def _on_head(self, head: ResponseHead) -> None:
        metadata = self.context.dialect.parse_response_metadata(head)
        self.head = head
        self.metadata = metadata
        self.reports.head_received = True
        self.diagnostics.note_response(head, metadata)
        if not self.dispatch.via_peer:
            self.reports.statements(metadata, self.sent_at)
        self.body = BufferedBody()
        decide = mode_of_peer_response if self.dispatch.via_peer else mode_of
        must_state_id = self.reused and bool(self.call.metadata.call_id)
        self.mode = decide(head, metadata, self.without_body, must_state_id)
        if self.mode is ResponseMode.UNPROVEN:
            self._abort(FailureKind.INVALID)
        elif self.mode is ResponseMode.STREAM:
            self.call.begin_stream(head, end_to_end_headers(head.headers))
        elif self.mode is ResponseMode.REFUSAL and self.connection is not None:
            self.connection.after_parsing(self._await_refusal_end)

    def _on_data(self, data: bytes) -> None:
        if self.mode is ResponseMode.STREAM:
            self._forward_events(data)
        elif self.mode is ResponseMode.WHOLE:
            self.body.add(data)
            if self.body.exceeds_buffer:
                self._start_passthrough()
        elif self.mode is ResponseMode.PASSTHROUGH:
            self.call.responder.send_body(data)
        elif self.mode is ResponseMode.REFUSAL:
            self.body.skip(data)
            if self.body.exceeds_refusal:
                self._close_after_refusal()

    def _forward_events(self, data: bytes) -> None:
        now = self.context.clock.monotonic()
        self.silence.last_event_at = now
        try:
            for event in self.stream.read(data):
                if self.hedged:
                    self.reports.resumed()
                self.reports.first()
                self.stream.forward(event, now)
        except BadResponseError as error:
            self.stream.note_failure(error)
            self._abort(FailureKind.INVALID)

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
        self.reports.first()
        self.call.first_sent_at = self.context.clock.monotonic()
        self.call.begin_stream(self.head, end_to_end_headers(self.head.headers))
        for part in self.body.take():
            self.call.responder.send_body(part)

    @property
    def may_be_hedged(self) -> bool:
        """Whether the attempt stays open while another one is tried.

        This requires that the caller has received part of the response, and that no
        memory is reserved for the attempt: that is freed once the attempt has failed.
        """
        reserved = any(each.reservation for each in self.dispatch.helpers)
        return self.call.head_sent and not reserved

    def _on_end(self) -> None:
        if self.connection is not None:
            self.connection.after_parsing(self._after_end)

    def _after_end(self) -> None:
        assert self.head is not None
        streams = self.mode is ResponseMode.STREAM
        events = self.stream.reader.splitter if streams else None
        if end_of(self.head, events) is ResponseEnd.BROKEN_OFF:
            self._break_off()
            return
        if streams and self.stream.misses_position:
            self.call.position_certain = False
            self._abort(FailureKind.INVALID)
            return
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

    def _break_off(self) -> None:
        self.diagnostics.partial_event_bytes = len(self.stream.remainder)
        self._close()
        self._on_lost(ConnectionLoss.BROKEN_OFF)

    def _finish_stream(self) -> None:
        # Empty lines and comments after the last event.
        remainder = self.stream.remainder
        if remainder:
            self.call.responder.send_body(remainder)
        self.call.responder.end_response()
        self._finish()

    def _finish_whole(self) -> None:
        assert self.head is not None
        assert self.metadata is not None
        response = CompleteResponse(self.head, b"".join(self.body.take()))
        if response.head.status in SUCCESS and not self.call.head_sent:
            self.reports.first()
            self.call.first_sent_at = self.context.clock.monotonic()
            send_complete_response(self.call, response)
            self._finish()
            return
        kind = failure_of(self.head, self.metadata, self.dispatch.via_peer)
        if kind is not FailureKind.ENGINE_FAILED:
            self._fail(kind, Exposure.POSSIBLE)
            return
        self.call.endpoint_failure = response
        self._fail(kind, Exposure.POSSIBLE, status=response.head.status)

    def _finish(self) -> None:
        self.ended = True
        self.reports.finished()

    def _await_refusal_end(self) -> None:
        """Wait for the rest of a refusal for a limited time."""
        asyncio.get_running_loop().call_later(
            REFUSAL_BODY_TIMEOUT.total_seconds(), self._close_after_refusal
        )

    def _close_after_refusal(self) -> None:
        """Report a refusal whose body is too long or too late."""
        self._close()
        self._fail_refused()

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
        kind = FailureKind.BROKEN
        if self.dispatch.via_peer:
            kind = FailureKind.PEER_FAILED
        elif loss is ConnectionLoss.MALFORMED:
            kind = FailureKind.INVALID
        else:
            self.context.pool.note_connection_broken()
        # The caller already has the status; reporting it prevents a retry by policies.
        final = self.head if self.mode is ResponseMode.PASSTHROUGH else None
        status = None if final is None else final.status
        self._fail(kind, Exposure.POSSIBLE, status=status)

    def _abort(self, kind: FailureKind) -> None:
        self._close()
        self._fail(kind, Exposure.POSSIBLE)

    def _close(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            self.diagnostics.connection_loss = ConnectionLoss.CLOSED_LOCALLY
            connection.abort()

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
        self.reports.failed(kind, exposure, status, refusal, fault_at)

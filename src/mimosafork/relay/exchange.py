"""One request between its caller and the endpoints that its attempts run on."""

import socket
from selectors import EVENT_READ, EVENT_WRITE

from msgspec.structs import replace

from ..claims.replayer import AnswerToReplay
from ..endpoints.calls import OpenCall
from ..kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
    Usage,
)
from ..kernel.messages.claims import AnswerReplayed
from ..kernel.messages.dispatch import CancelAttempt, Dispatch
from ..kernel.messages.outcomes import Conclude, Outcome
from ..kernel.messages.problems import ProblemCode
from ..kernel.messages.requests import CallerGone
from .caller import Caller
from .cancelling import cancel_stream, drop_opened
from .capture import AnswerCapture
from .containment import contained
from .events import StreamEvent
from .messages import CallerAttached, Opened, OpenFailed
from .ports import RelayPorts
from .replay import replay
from .silence import is_stalled
from .upstream import (
    DUPLICATE,
    EngineUpstream,
    Failure,
    ServiceUpstream,
    Upstream,
    open_upstream,
)


class Exchange:
    """Moves one answer; owned by the relay's thread.

    Attributes
    ----------
    dispatch : Dispatch or None
        The attempt that is under way, from the kernel's word to its end.
    delivered : int
        Tokens that the answer has got, over all attempts.
    abandoned : list of Dispatch
        Attempts that failed while their engine may still run them.
    over : bool
        Nothing is left to do; the relay forgets the exchange.
    """

    def __init__(self, attached: CallerAttached, ports: RelayPorts) -> None:
        self.request = attached.request
        self.request_id = attached.request.request_id
        self.call = attached.call
        self.answer = attached.answer
        self.ports = ports
        self.dispatch: Dispatch | None = None
        self.upstream: Upstream | None = None
        self.paused = False
        self.delivered = 0
        self.first_token_of: Dispatch | None = None
        self.abandoned: list[Dispatch] = []
        self.capture = AnswerCapture()
        self.concluded = False
        self.caller_told_gone = False
        self.over = False
        self.caller = Caller(
            attached.sock, ports.selector, self.caller_ready, ports.now_s
        )

    # Effects of the kernel.

    @contained
    def dispatched(self, dispatch: Dispatch) -> None:
        """Begin an attempt."""
        if self.concluded:
            return
        self._leave_upstream()
        self._cancel_abandoned(unless=dispatch)
        self.dispatch = dispatch
        self.ports.connector.open(OpenCall(dispatch, self.call))

    @contained
    def cancelled(self, cancel: CancelAttempt) -> None:
        """Stop an attempt, whether or not it has been opened yet."""
        if self.dispatch is None or self.dispatch.attempt != cancel.attempt:
            return
        abandoned = self.dispatch
        self._leave_upstream()
        self.dispatch = None
        self._cancel_stream(abandoned)

    @contained
    def conclude(self, conclusion: Conclude) -> None:
        """Give the caller its final answer."""
        if self.concluded:
            return
        self.concluded = True
        self._leave_upstream()
        self.dispatch = None
        self._cancel_abandoned(unless=None)
        self.caller.write(self._last_bytes(conclusion), self.ports.now_s)
        self._end_if_flushed()

    def _last_bytes(self, conclusion: Conclude) -> bytes:
        if conclusion.outcome is Outcome.COMPLETED:
            return self.answer.complete(conclusion)
        problem = conclusion.problem
        if problem is not None and problem.code is ProblemCode.CALLER_GONE:
            return b""
        return self.answer.fail(conclusion)

    @contained
    def replay(self, kept: AnswerToReplay) -> None:
        """Deliver the answer that an earlier call under the same key got."""
        if self.concluded:
            return
        data = replay(kept.answer, self.answer, kept.offset)
        if data:
            self.caller.write(data, self.ports.now_s)
        self.ports.tell_kernel(AnswerReplayed(self.request_id, data is not None))

    # Messages of the connector.

    @contained
    def opened(self, opened: Opened) -> None:
        """Read an attempt's answer from its socket."""
        dispatch = opened.job.dispatch
        if dispatch is not self.dispatch:
            drop_opened(opened, self.ports)
            return
        ports = self.ports
        self.upstream = open_upstream(
            self.call, opened.sock, dispatch, ports.now_s, ports.counters
        )
        ports.counters.streams += 1
        ports.selector.register(opened.sock, EVENT_READ, self.upstream_ready)

    @contained
    def open_failed(self, failed: OpenFailed) -> None:
        """Tell the kernel that an attempt's call did not go out."""
        if failed.job.dispatch is self.dispatch:
            self._attempt_failed(Failure(failed.kind, failed.exposure, failed.detail))

    # Readiness of the sockets.

    @contained
    def caller_ready(self, mask: int) -> None:
        """Write what waits, or notice that the caller has gone."""
        if self.over:
            return
        if mask & EVENT_WRITE:
            self.caller.flush(self.ports.now_s)
        if mask & EVENT_READ and not self.caller.gone:
            self.caller.read()
        self._after_caller()

    @contained
    def upstream_ready(self, mask: int) -> None:
        """Move what the endpoint has sent."""
        upstream = self.upstream
        if upstream is None:
            return
        events = upstream.receive(self.ports.now_s)
        if events:
            self._deliver(events, upstream.dispatch)
        if upstream.ended:
            self._after_upstream(upstream)
        elif len(self.caller.waiting) > self.ports.limits.high_water:
            self._pause()

    def _deliver(self, events: list[StreamEvent], dispatch: Dispatch) -> None:
        if self.first_token_of is not dispatch:
            self.first_token_of = dispatch
            self.ports.tell_kernel(FirstToken(self.request_id, dispatch.attempt))
        token = self.answer.token
        attempt = dispatch.attempt
        data = b"".join([token(event, attempt) for event in events])
        self.delivered += sum([event.tokens for event in events])
        self.ports.counters.events += len(events)
        if dispatch.keep_answer:
            self.capture.take(events)
        if data:
            self.ports.counters.bytes_out += len(data)
            self.caller.write(data, self.ports.now_s)
            if self.caller.gone:
                self._after_caller()

    def _after_upstream(self, upstream: Upstream) -> None:
        """Tell the kernel how an attempt's answer ended."""
        if upstream is not self.upstream:
            return
        if upstream.failure is not None:
            self._attempt_failed(upstream.failure)
            return
        usage = self._take_ending(upstream)
        attempt = upstream.dispatch.attempt
        self._leave_upstream()
        self.ports.tell_kernel(AttemptFinished(self.request_id, attempt, usage))

    def _take_ending(self, upstream: Upstream) -> Usage | None:
        keep_answer = upstream.dispatch.keep_answer
        if isinstance(upstream, ServiceUpstream) and upstream.response is not None:
            response = upstream.response
            self.answer.respond(response)
            if keep_answer:
                captured = self.capture.whole_response(self.request_id, response)
                self.ports.keep_answer(captured)
        if not isinstance(upstream, EngineUpstream) or upstream.ending is None:
            return None
        ending = upstream.ending
        self.answer.finish(ending.finish or "", ending.usage)
        if keep_answer:
            self.ports.keep_answer(self.capture.whole_stream(self.request_id, ending))
        if ending.usage is None:
            return None
        return Usage(
            ending.usage.prompt_tokens,
            ending.usage.cached_tokens,
            ending.usage.completion_tokens,
        )

    def _attempt_failed(self, failure: Failure) -> None:
        dispatch = self.dispatch
        if dispatch is None:
            return
        self._leave_upstream()
        if failure.refusal == DUPLICATE and not dispatch.attach:
            # The engine has the stream already: an earlier call of the same
            # attempt reached it. Attaching can't run the prompt again.
            self.dispatch = replace(dispatch, attach=True)
            self.ports.connector.open(OpenCall(self.dispatch, self.call))
            return
        self.dispatch = None
        if failure.exposure is Exposure.POSSIBLE and not dispatch.shared:
            self.abandoned.append(dispatch)
        self.ports.tell_kernel(
            AttemptFailed(
                self.request_id,
                dispatch.attempt,
                failure.kind,
                failure.exposure,
                self.delivered,
                failure.refusal,
            )
        )

    # Time.

    @contained
    def sweep(self) -> None:
        """Notice silence: of the endpoint, towards the caller, and of the caller."""
        self._sweep_caller()
        self._keep_caller()
        upstream = self.upstream
        if upstream is None or self.paused:
            return
        begun = self.first_token_of is upstream.dispatch
        if is_stalled(upstream, begun, self.ports.limits, self.ports.now_s):
            self.ports.counters.stalled += 1
            upstream.fail(FailureKind.STALLED)
            self._after_upstream(upstream)

    def _keep_caller(self) -> None:
        """Write something harmless to a caller that has got nothing for a while.

        A balancer cuts a connection on which nothing moves, often after a minute:
        the answer to a long prompt would be lost before its first token.
        """
        silence_s = self.ports.now_s - self.caller.progress_s
        if self.concluded or self.caller.gone or self.caller.waiting:
            return
        if silence_s > self.ports.limits.keepalive_interval.total_seconds():
            attempt = self.dispatch.attempt if self.dispatch is not None else 0
            self.caller.write(self.answer.keep_alive(attempt), self.ports.now_s)

    def _sweep_caller(self) -> None:
        if not self.caller.waiting or self.caller.gone:
            return
        silence_s = self.ports.now_s - self.caller.progress_s
        if silence_s > self.ports.limits.caller_timeout.total_seconds():
            self.caller.gone = True
            self._after_caller()

    # Inner steps.

    def break_off(self) -> None:
        """End the request after a fault in the code.

        The kernel takes it for a caller that has gone, and cancels what runs.
        """
        self.caller.gone = True
        self.caller.close()
        self._leave_upstream()
        if self.concluded:
            self.over = True
        elif not self.caller_told_gone:
            self.caller_told_gone = True
            self.ports.tell_kernel(CallerGone(self.request_id))

    def _after_caller(self) -> None:
        """Go on after the caller took bytes, or went away."""
        if self.caller.gone and not self.caller_told_gone:
            self.caller_told_gone = True
            self.ports.counters.callers_gone += 1
            self.ports.tell_kernel(CallerGone(self.request_id))
            # A closed socket is ready for ever: watching it would spin.
            self.caller.unwatch()
            # Nor does it take bytes any more: an endpoint that was paused for it
            # would wait until the deadline, and an answer that is to be kept for
            # the caller's return would never become whole.
            self.caller.waiting.clear()
        if self.concluded:
            self._end_if_flushed()
        elif self.paused and len(self.caller.waiting) < self.ports.limits.low_water:
            self._resume()

    def _end_if_flushed(self) -> None:
        if self.caller.gone or not self.caller.waiting:
            self.caller.close()
            self.over = True

    def _pause(self) -> None:
        """Stop reading the endpoint: its caller takes less than it sends."""
        if self.upstream is not None and not self.paused:
            self.ports.selector.unregister(self.upstream.sock)
            self.paused = True

    def _resume(self) -> None:
        if self.upstream is None:
            return
        self.paused = False
        self.upstream.last_byte_s = self.ports.now_s
        self.ports.selector.register(
            self.upstream.sock, EVENT_READ, self.upstream_ready
        )

    def _leave_upstream(self) -> None:
        upstream = self.upstream
        if upstream is None:
            return
        self.upstream = None
        _close(upstream.sock, self.ports, registered=not self.paused)
        self.paused = False
        self.ports.counters.streams -= 1

    def _cancel_abandoned(self, unless: Dispatch | None) -> None:
        """Cancel earlier attempts, but for the stream that one attaches to.

        Guards against an engine that works on for nobody: an attempt whose
        connection broke runs on there until its deadline.
        """
        for dispatch in self.abandoned:
            if unless is None or dispatch.stream_id != unless.stream_id:
                self._cancel_stream(dispatch)
        self.abandoned.clear()

    def _cancel_stream(self, dispatch: Dispatch) -> None:
        cancel_stream(OpenCall(dispatch, self.call), self.ports)


def _close(sock: socket.socket, ports: RelayPorts, registered: bool) -> None:
    if registered:
        ports.selector.unregister(sock)
    sock.close()

"""Joins callers, the kernel and endpoints."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from itertools import count
from logging import getLogger
from random import Random

from msgspec.structs import astuple

from ..clock import Clock
from ..gossip.boot_clock import BootClock
from ..ids import RequestId
from ..kernel.core import TICK, Kernel
from ..kernel.messages.attempts import (
    AttemptFailed,
    AttemptHedged,
    EndSilentAttempt,
)
from ..kernel.messages.base import Effect, Message, Tick
from ..kernel.messages.dispatch import CancelAttempt, Dispatch, RestoreAttempt
from ..kernel.messages.outcomes import Conclude
from ..kernel.messages.placement import FreeOwnHolding, ReserveMemory
from ..kernel.messages.problems import ProblemCode
from ..kernel.messages.requests import CallerGone, Submit
from ..kernel.messages.timers import WakeAt
from ..routing.table import ClientLimits, RoutingTable
from ..telemetry.catalogue.gateway import (
    FREEZE_NOTICED,
    INTAKE_FAULT,
    MALFORMED_REQUEST,
    REQUEST_UNANSWERED,
)
from ..telemetry.catalogue.lifecycle import EFFECT_FAULT
from ..telemetry.logs import log_event
from .attempt import (
    AttemptContext,
    EndpointAttempt,
    dispatch_faulted,
    send_complete_response,
)
from .call import Call, Responder
from .call_log import CallLog
from .client_connection import ClientConnection
from .dialect import CallMetadata, Dialect
from .errors import BadRequestError
from .freeze_watch import FreezeWatch
from .heads import Header
from .instance_view import milliseconds
from .intake import INTERNAL_FAULT, STOPPING, AdmittedCall, CallRefusal, admit
from .order_client import OrderClient
from .policies.fleet_view import FleetView
from .pool import ConnectionPool
from .problems import DEFAULT_RETRY_AFTER, final_status
from .request_reader import RequestMessage
from .unanswered_request import CloseReason, UnansweredRequest
from .zone_watch import ZoneWatch

logger = getLogger(__name__)

DEFAULT_LIMITS = ClientLimits()

IDLE_TICK = timedelta(milliseconds=250)
"""Between two ticks while no call is open: only a freeze is looked for then. With 50 ms
a process without peers and calls woke up 24.1 times a second and took 2.2 million
instructions, with 250 ms 10.2 times and 1.1 million (`perf stat` over 15 s, one run
each)."""


class Gateway:
    """Takes calls, asks the kernel, and carries out what it decides.

    Parameters
    ----------
    kernel : Kernel
    dialect : Dialect
    clock : Clock
    random : random.Random
        Seeded by the caller.
    table : callable
        Returns the routing table in force, or None.
    """

    def __init__(
        self,
        kernel: Kernel,
        dialect: Dialect,
        clock: Clock,
        random: Random,
        table: Callable[[], RoutingTable | None],
    ) -> None:
        self.kernel = kernel
        self.dialect = dialect
        self.clock = clock
        self.random = random
        self.table = table
        self.pool = ConnectionPool(clock)
        self.tools = AttemptContext(clock, self.pool, dialect, self.post)
        self.lines = CallLog(clock)
        self.zones = ZoneWatch(self.post, kernel.plugin(FleetView).zone_of)
        self.freezes = FreezeWatch(clock, BootClock(), TICK)
        self.orders = OrderClient(clock, self.pool, dialect, self.post)
        self.connections: set[ClientConnection] = set()
        self.calls: dict[RequestId, Call] = {}
        self.by_connection: dict[Responder, RequestId] = {}
        self.attempts: dict[RequestId, EndpointAttempt] = {}
        self.hedged_attempts: dict[RequestId, EndpointAttempt] = {}
        """Silent attempts that stay open until another one of their call answers."""
        self.numbers = count(1)
        self.inbox: deque[Message] = deque()
        self.handling = False
        self.draining = False
        self.intake_ended = False
        self.tick_timer: asyncio.TimerHandle | None = None
        self.tick_interval = TICK
        self.performer: Callable[[Effect], None] = self.perform
        self.on_effect: Callable[[Effect], None] = lambda effect: None
        self.on_ended: Callable[[Call, Conclude], None] = lambda call, end: None

    @property
    def limits(self) -> ClientLimits:
        """Limits of callers' requests in force."""
        table = self.table()
        return DEFAULT_LIMITS if table is None else table.limits

    @property
    def busy(self) -> bool:
        """Whether a call is open, or a caller has yet to be heard or to take its rest.

        A call ends with its endpoint's answer. A process that ended then would cut
        an answer which its caller was still reading, and one that ended with a request
        in a socket would reset it unread.
        """
        connections = self.connections
        return bool(self.calls) or any(
            each.has_unsent_bytes or each.has_unread_bytes for each in connections
        )

    def start(self) -> None:
        """Begin to tell the kernel of time."""
        self._tick()

    def end_intake(self) -> None:
        """Take no further calls: callers in between two go elsewhere."""
        self.intake_ended = True
        for connection in list(self.connections):
            connection.stop_intake()

    def stop(self) -> None:
        """Close everything; open calls should have ended."""
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.pool.close()
        for connection in list(self.connections):
            connection.close(CloseReason.STOPPED)

    def _tick(self) -> None:
        planned = self.tick_interval
        self._tick_after(TICK if self.calls else IDLE_TICK)
        self._note_freeze(planned)
        self.zones.look(self.attempts.values(), self.clock.monotonic())
        if self.calls:
            self._report_silence()
            self.post(Tick())

    def _tick_after(self, gap: timedelta) -> None:
        self.tick_interval = gap
        loop = asyncio.get_running_loop()
        self.tick_timer = loop.call_later(gap.total_seconds(), self._tick)

    def _tick_soon(self) -> None:
        """Tell the kernel of time as often as calls need it, from now on."""
        if self.tick_interval > TICK and self.tick_timer is not None:
            self.tick_timer.cancel()
            self._tick_after(TICK)

    def _note_freeze(self, planned: timedelta) -> None:
        freeze = self.freezes.ticked(planned)
        if freeze is None:
            return
        log_event(
            logger,
            FREEZE_NOTICED,
            late_ms=milliseconds(freeze.late),
            suspended_ms=milliseconds(freeze.suspended),
            open=len(self.calls),
            waiting=len(self.kernel.state.waiting),
        )

    def _report_silence(self) -> None:
        now = self.clock.monotonic()
        for attempt in list(self.attempts.values()):
            silent = attempt.check_silence(now)
            if silent is not None:
                self.post(silent)

    def new_connection(self) -> ClientConnection:
        """Return the owner of a caller's connection that was just accepted."""
        return ClientConnection(self, self.clock, self.connections)

    def accept(
        self, connection: ClientConnection, message: RequestMessage, at: timedelta
    ) -> None:
        """Take a whole request; `at` is the instant of its first byte."""
        try:
            marks = self.dialect.parse_call_metadata(message.head)
        except BadRequestError as error:
            self._answer(
                connection, CallMetadata(""), CallRefusal(error.status, "malformed")
            )
            self.malformed_request(connection, error)
            return
        try:
            self._take(connection, message, marks, at)
        except Exception as error:
            # Once the kernel has it, nobody knows whether it runs.
            if connection in self.by_connection:
                raise
            self.intake_faulted(connection, error)
            self._answer(connection, marks, INTERNAL_FAULT)

    def _take(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        marks: CallMetadata,
        at: timedelta,
    ) -> None:
        request_id = RequestId(f"{next(self.numbers)}")
        found: AdmittedCall | CallRefusal = STOPPING
        if not self.intake_ended:
            found = admit(message, marks, self.table(), request_id, at, self.random)
        if isinstance(found, CallRefusal):
            self._refuse(connection, message, marks, found)
            return
        self._submit(connection, message, marks, found, at)

    def _submit(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        marks: CallMetadata,
        admission: AdmittedCall,
        at: timedelta,
    ) -> None:
        request = admission.request
        call = Call(
            request.request_id,
            message,
            marks,
            admission.route,
            admission.account,
            request,
            connection,
            at,
            last_event_id=marks.last_event_id,
            table_version=admission.version,
            caller_stalled=connection.write_paused,
        )
        self.calls[call.request_id] = call
        self.by_connection[connection] = call.request_id
        self._tick_soon()
        self.post(Submit(request))

    def _refuse(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        marks: CallMetadata,
        refusal: CallRefusal,
    ) -> None:
        self._answer(connection, marks, refusal)
        self.lines.refused(message, marks, refusal, self.table())

    def _answer(
        self, connection: ClientConnection, marks: CallMetadata, refusal: CallRefusal
    ) -> None:
        headers = self.dialect.local_response_headers(
            marks.call_id, refusal.retry_after
        )
        headers.append(Header(b"Content-Type", b"text/plain"))
        reason = refusal.status.phrase.encode()
        connection.send_response(
            refusal.status, reason, headers, refusal.reason.encode() + b"\n"
        )

    def malformed_request(
        self, connection: ClientConnection, error: BadRequestError
    ) -> None:
        """Log that a caller's bytes were no proper request."""
        log_event(logger, MALFORMED_REQUEST, status=int(error.status), why=error.detail)

    def retry_after_headers(self) -> list[Header]:
        """Return what tells a caller that is refused when to come back."""
        return self.dialect.local_response_headers("", DEFAULT_RETRY_AFTER)

    def request_unanswered(
        self, connection: ClientConnection, left: UnansweredRequest
    ) -> None:
        """Log what a caller had sent when its connection ends, and got no answer to."""
        table = self.table()
        log_event(
            logger,
            REQUEST_UNANSWERED,
            why=left.reason.value,
            read=left.bytes_read,
            waiting=left.bytes_waiting,
            unsent=left.bytes_unsent,
            whole=left.whole,
            idle_ms=milliseconds(left.idle),
            promised_ms=milliseconds(left.advertised_idle_timeout),
            version=None if table is None else table.version,
            draining=self.draining,
        )

    def intake_faulted(
        self, connection: ClientConnection, error: BaseException
    ) -> None:
        """Log a fault in the code while a caller's bytes were taken.

        A call that was begun of them is ended: its caller has been told, or is gone.
        """
        log_event(logger, INTAKE_FAULT, exc_info=error, fault=type(error).__name__)
        request_id = self.by_connection.get(connection)
        self.caller_disconnected(connection)
        # Left where the kernel never heard of it; nobody else would end it then.
        if request_id is not None:
            self.calls.pop(request_id, None)

    def caller_disconnected(self, connection: ClientConnection) -> None:
        """Have the kernel end the call of a caller that has left."""
        request_id = self.by_connection.pop(connection, None)
        if request_id is not None:
            self.post(CallerGone(request_id))

    def caller_stalled(self, connection: ClientConnection, stalled: bool) -> None:
        """Stop and go on reading from the endpoint as the caller keeps up."""
        request_id = self.by_connection.get(connection)
        if request_id is None:
            return
        self.calls[request_id].caller_stalled = stalled
        for attempts in (self.attempts, self.hedged_attempts):
            attempt = attempts.get(request_id)
            if attempt is not None and stalled:
                attempt.pause()
            elif attempt is not None:
                attempt.resume()

    def post(self, message: Message) -> None:
        """Have the kernel handle a message, and carry out what it decides.

        What an effect gives rise to at once, such as a connection that fails, waits
        until the effects before it have been carried out.
        """
        self.inbox.append(message)
        if self.handling:
            return
        self.handling = True
        try:
            while self.inbox:
                self._handle(self.inbox.popleft())
        finally:
            self.handling = False

    def _handle(self, message: Message) -> None:
        effects = self.kernel.handle(message)
        if isinstance(message, AttemptFailed):
            self._guarded(message, self._log_failure, effects)
            self._forget_hedged(message)
        for effect in effects:
            done = self._guarded(effect, self.performer)
            if isinstance(effect, Dispatch) and not done:
                self._end_faulted(effect)
            self._guarded(effect, self.on_effect)

    def _guarded(
        self, subject: Effect | Message, step: Callable[..., None], *more: object
    ) -> bool:
        """Run one step; return whether it went through.

        Guard: an exception that went further would lose the effects behind it, and
        with them final answers and the ends of attempts.
        """
        try:
            step(subject, *more)
        except Exception:
            effect = type(subject).__name__
            log_event(logger, EFFECT_FAULT, exc_info=True, effect=effect)
            return False
        return True

    def _end_faulted(self, dispatch: Dispatch) -> None:
        """Have the kernel end a call whose attempt could not be made.

        It is not tried again: a fault that comes with the call would come each time.
        """
        attempt = self.attempts.get(dispatch.request_id)
        sent = attempt is not None and attempt.connection is not None
        self.inbox.append(dispatch_faulted(dispatch, sent))

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Carry out an effect; those of other adapters are left to them."""

    @perform.register
    def _(self, effect: Dispatch) -> None:
        call = self.calls.get(effect.request_id)
        if call is None:
            return
        self.lines.placed(call, effect)
        attempt = EndpointAttempt(call, effect, self.tools)
        self.attempts[effect.request_id] = attempt
        attempt.start()

    @perform.register
    def _(self, effect: CancelAttempt) -> None:
        for attempts in (self.attempts, self.hedged_attempts):
            attempt = attempts.get(effect.request_id)
            if attempt is not None and attempt.dispatch.attempt == effect.attempt:
                del attempts[effect.request_id]
                attempt.cancel()

    @perform.register
    def _(self, effect: RestoreAttempt) -> None:
        attempt = self.hedged_attempts.pop(effect.request_id, None)
        call = self.calls.get(effect.request_id)
        if attempt is not None:
            attempt.hedged = False
            self.attempts[effect.request_id] = attempt
        if attempt is not None and call is not None:
            call.diagnostics = attempt.diagnostics
            self.lines.restored(call, attempt.dispatch)

    @perform.register
    def _(self, effect: ReserveMemory | FreeOwnHolding) -> None:
        self.orders.perform(effect)

    @perform.register
    def _(self, effect: EndSilentAttempt) -> None:
        request_id = effect.failure.request_id
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.ended:
            return
        self.pool.drop(attempt.dispatch.endpoint)
        if attempt.may_be_hedged and request_id not in self.hedged_attempts:
            attempt.hedged = True
            self.hedged_attempts[request_id] = self.attempts.pop(request_id)
            self.inbox.append(AttemptHedged(*astuple(effect.failure)))
            return
        attempt.cancel()
        self.inbox.append(effect.failure)

    @perform.register
    def _(self, effect: WakeAt) -> None:
        pause = effect.at - self.clock.monotonic()
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, pause.total_seconds()), self.post, effect.message)

    @perform.register
    def _(self, effect: Conclude) -> None:
        call = self.calls.pop(effect.request_id, None)
        for attempts in (self.attempts, self.hedged_attempts):
            attempt = attempts.pop(effect.request_id, None)
            if attempt is not None:
                attempt.ended = True
        if call is None:
            return
        call.concluded = True
        self._forget(call)
        if self.kernel.state.waiting.by_target:
            self.inbox.append(Tick())
        if effect.problem is not None and not self._guarded(
            effect, self._tell_problem, call
        ):
            call.responder.abort_response()
            if not call.cut:
                call.status = int(HTTPStatus.INTERNAL_SERVER_ERROR)
        self.lines.ended(call, effect)
        self.on_ended(call, effect)

    def _forget(self, call: Call) -> None:
        if self.by_connection.get(call.responder) == call.request_id:
            del self.by_connection[call.responder]

    def _tell_problem(self, conclusion: Conclude, call: Call) -> None:
        problem = conclusion.problem
        if problem is not None and problem.code is ProblemCode.CALLER_GONE:
            return
        if call.head_sent:
            call.cut = True
            call.responder.abort_response()
            return
        if call.endpoint_failure is not None:
            send_complete_response(call, call.endpoint_failure)
            return
        final = final_status(conclusion)
        call.status = int(final.status)
        code = ProblemCode.INTERNAL if problem is None else problem.code
        headers = self.dialect.local_response_headers(
            call.metadata.call_id, final.retry_after
        )
        headers.append(Header(b"Content-Type", b"text/plain"))
        call.responder.send_response(
            final.status,
            HTTPStatus(final.status).phrase.encode(),
            headers,
            f"{code.value}: {conclusion.outcome.value}\n".encode(),
        )

    def _forget_hedged(self, failure: AttemptFailed) -> None:
        """Forget a hedged attempt that has ended, so that a later one may be hedged."""
        hedged = self.hedged_attempts.get(failure.request_id)
        if hedged is not None and hedged.ended:
            del self.hedged_attempts[failure.request_id]

    def _log_failure(self, failure: AttemptFailed, then: list[Effect]) -> None:
        call = self.calls.get(failure.request_id)
        attempt = self.attempts.get(failure.request_id)
        if isinstance(failure, AttemptHedged):
            attempt = self.hedged_attempts.get(failure.request_id)
        if call is None or attempt is None:
            return
        self.lines.attempt_failed(call, failure, attempt.reused, then)

"""Connects callers, the kernel and endpoints."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod
from http import HTTPStatus
from itertools import count
from logging import getLogger
from random import Random

from ..clock import Clock
from ..gossip.boot_clock import BootClock
from ..ids import RequestId
from ..kernel.core import TICK, Kernel
from ..kernel.messages.attempts import AttemptFailed, EndSilentAttempt
from ..kernel.messages.base import Effect, Message, Tick
from ..kernel.messages.connectivity import ProbeConnections
from ..kernel.messages.dispatch import CancelAttempt, Dispatch, RestoreAttempt
from ..kernel.messages.lifecycle import ProcessResumed
from ..kernel.messages.outcomes import Conclude
from ..kernel.messages.placement import FreeOwnHolding, ReserveMemory
from ..kernel.messages.requests import CallerGone, Submit
from ..kernel.messages.timers import WakeAt
from ..routing.table import ClientLimits, RoutingTable
from .attempt_context import AttemptContext
from .call import Call, Responder, new_call
from .call_log import CallLog
from .caller_log import (
    log_intake_fault,
    log_malformed_request,
    log_unanswered_request,
)
from .client_connection import ClientConnection
from .connection_probes import ConnectionProbes
from .dialect import CallMetadata, Dialect
from .errors import BadRequestError
from .final_responses import dispatch_faulted
from .forwarding import Sender
from .freeze_watch import FreezeWatch, log_freeze
from .guarded import run_guarded
from .heads import Header
from .intake import (
    INTERNAL_FAULT,
    STOPPING,
    AdmittedCall,
    CallRefusal,
    admit,
    forwarded,
)
from .local_responses import send_problem, send_refusal
from .open_attempts import OpenAttempts
from .order_client import OrderClient
from .policies.fleet_view import FleetView
from .policies.home_regions import HomeRegions
from .policies.send_gate import EndpointSendGate
from .policies.send_permits import SendPermits
from .pool import ConnectionPool
from .problems import DEFAULT_RETRY_AFTER
from .request_reader import RequestMessage
from .ticker import Ticker
from .unanswered_request import CloseReason, UnansweredRequest
from .zone_watch import ZoneWatch

logger = getLogger(__name__)

DEFAULT_LIMITS = ClientLimits()


class Gateway:
    """Accepts calls, passes them to the kernel and executes its effects.

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
        self.pool = ConnectionPool(clock, dialect.response_id)
        fleet, homes = kernel.plugin(FleetView), kernel.plugin(HomeRegions)
        permits = SendPermits.of(kernel.plugin)
        send_gate = EndpointSendGate(fleet, permits, homes)
        instance = kernel.state.identity.instance
        self.attempt_context = AttemptContext(
            clock, self.pool, dialect, self.post, send_gate, instance
        )
        self.probes = ConnectionProbes(self.pool, self.post)
        self.call_log = CallLog(clock)
        self.zone_watch = ZoneWatch(self.post, fleet.zone_of)
        self.freeze_watch = FreezeWatch(clock, BootClock(), TICK)
        self.order_client = OrderClient(
            clock, self.pool, dialect, self.post, fleet.is_evacuated
        )
        self.connections: set[ClientConnection] = set()
        self.calls: dict[RequestId, Call] = {}
        self.by_connection: dict[Responder, RequestId] = {}
        self.attempts = OpenAttempts(self.attempt_context)
        self.request_numbers = count(1)
        self.inbox: deque[Message] = deque()
        self.handling = False
        self.draining = False
        self.intake_ended = False
        self.ticker = Ticker(lambda: bool(self.calls), self._tick)
        self.effect_handler: Callable[[Effect], None] = self.perform
        self.on_effect: Callable[[Effect], None] = lambda effect: None
        self.on_call_ended: Callable[[Call, Conclude], None] = lambda call, end: None

    @property
    def limits(self) -> ClientLimits:
        """Limits in force for callers' requests."""
        table = self.table()
        return DEFAULT_LIMITS if table is None else table.limits

    @property
    def busy(self) -> bool:
        """Whether a call is open, or a connection has bytes to be sent or read.

        A call ends with its endpoint's response. Exiting at that point would cut a
        response that the caller is still reading, and exiting with an unread request
        in a socket would reset its connection.
        """
        connections = self.connections
        return bool(self.calls) or any(
            each.has_unsent_bytes or each.has_unread_bytes for each in connections
        )

    def start(self) -> None:
        """Start the ticks."""
        self.ticker.tick()

    def end_intake(self) -> None:
        """Accept no further calls; idle connections are closed."""
        self.intake_ended = True
        for connection in list(self.connections):
            connection.stop_intake()

    def stop(self) -> None:
        """Close all connections; open calls should have ended."""
        self.ticker.stop()
        self.pool.close()
        for connection in list(self.connections):
            connection.close(CloseReason.STOPPED)

    def _tick(self, expected_interval: timedelta) -> None:
        freeze = self.freeze_watch.record_tick(expected_interval)
        if freeze is not None:
            log_freeze(freeze, len(self.calls), len(self.kernel.state.waiting))
            self.post(ProcessResumed())
        self.zone_watch.check(self.attempts.current.values(), self.clock.monotonic())
        if self.calls:
            for silent in self.attempts.tick(self.clock.monotonic()):
                self.post(silent)
            self.post(Tick())

    def new_connection(self) -> ClientConnection:
        """Return the protocol for a newly accepted client connection."""
        return ClientConnection(self, self.clock, self.connections)

    def accept(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        at: timedelta,
        forwarded_by: Sender | None = None,
    ) -> None:
        """Accept a complete request; `at` is the instant of its first byte."""
        try:
            metadata = self.dialect.parse_call_metadata(message.head)
        except BadRequestError as error:
            refusal = CallRefusal(error.status, "malformed")
            send_refusal(self.dialect, connection, CallMetadata(""), refusal)
            self.malformed_request(connection, error)
            return
        try:
            self._admit(connection, message, metadata, at, forwarded_by)
        except Exception as error:
            # Once the kernel has the call, it may be running: it must not be answered
            # as not run.
            if connection in self.by_connection:
                raise
            self.intake_faulted(connection, error)
            send_refusal(self.dialect, connection, metadata, INTERNAL_FAULT)

    def _admit(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        metadata: CallMetadata,
        at: timedelta,
        forwarded_by: Sender | None,
    ) -> None:
        request_id = RequestId(f"{next(self.request_numbers)}")
        decision: AdmittedCall | CallRefusal = STOPPING
        if not self.intake_ended:
            decision = admit(
                message, metadata, self.table(), request_id, at, self.random
            )
        if forwarded_by is not None:
            decision = forwarded(decision, forwarded_by)
        if isinstance(decision, CallRefusal):
            self._reject(connection, message, metadata, decision)
            return
        self._submit(connection, message, metadata, decision, at)

    def _submit(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        metadata: CallMetadata,
        admission: AdmittedCall,
        at: timedelta,
    ) -> None:
        call = new_call(message, metadata, admission, connection, at)
        call.caller_stalled = connection.write_paused
        self.calls[call.request_id] = call
        self.by_connection[connection] = call.request_id
        self.ticker.hurry()
        self.post(Submit(call.request))

    def _reject(
        self,
        connection: ClientConnection,
        message: RequestMessage,
        metadata: CallMetadata,
        refusal: CallRefusal,
    ) -> None:
        send_refusal(self.dialect, connection, metadata, refusal)
        self.call_log.refused(message, metadata, refusal, self.table())

    def malformed_request(
        self, connection: ClientConnection, error: BadRequestError
    ) -> None:
        """Log that a caller's bytes were not a valid request."""
        log_malformed_request(error, connection.reader.head, self.dialect)

    def retry_after_headers(self) -> list[Header]:
        """Return the headers that tell a rejected caller when to retry."""
        return self.dialect.local_response_headers("", DEFAULT_RETRY_AFTER)

    def request_unanswered(
        self, connection: ClientConnection, unanswered: UnansweredRequest
    ) -> None:
        """Log a request that was unanswered when its connection closed."""
        log_unanswered_request(unanswered, self.table(), self.draining)

    def intake_faulted(
        self, connection: ClientConnection, error: BaseException
    ) -> None:
        """Log an exception raised while a caller's bytes were processed.

        A call already started from them is ended: its caller has been answered or has
        disconnected.
        """
        log_intake_fault(error)
        request_id = self.by_connection.get(connection)
        self.caller_disconnected(connection)
        # A call that never reached the kernel is not removed by anything else.
        if request_id is not None:
            self.calls.pop(request_id, None)

    def caller_disconnected(self, connection: ClientConnection) -> None:
        """Have the kernel end the call of a caller that has disconnected."""
        request_id = self.by_connection.pop(connection, None)
        if request_id is not None:
            self.post(CallerGone(request_id))

    def caller_stalled(self, connection: ClientConnection, stalled: bool) -> None:
        """Pause or resume reading from the endpoint as the caller keeps up."""
        request_id = self.by_connection.get(connection)
        if request_id is None:
            return
        self.calls[request_id].caller_stalled = stalled
        self.attempts.stall(request_id, stalled)

    def post(self, message: Message) -> None:
        """Have the kernel handle a message, and execute its effects.

        Messages posted meanwhile, such as a connection that fails at once, are handled
        after the effects of the current message have been executed.
        """
        if self.freeze_watch.is_overdue():
            self.inbox.append(ProcessResumed())
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
            run_guarded(message, self._log_failure, effects)
            self.attempts.discard_ended_hedge(message)
        for effect in effects:
            done = run_guarded(effect, self.effect_handler)
            if isinstance(effect, Dispatch) and not done:
                self._fail_faulted_dispatch(effect)
            run_guarded(effect, self.on_effect)

    def _fail_faulted_dispatch(self, dispatch: Dispatch) -> None:
        """Have the kernel end a call whose attempt could not be started.

        It is not retried: a fault caused by the call itself would recur each time.
        """
        failure = dispatch_faulted(dispatch, self.attempts.was_sent(dispatch))
        self.inbox.append(failure)

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Execute an effect; effects for other adapters are ignored here."""

    @perform.register
    def _(self, effect: Dispatch) -> None:
        call = self.calls.get(effect.request_id)
        if call is None:
            return
        self.call_log.placed(call, effect)
        self.attempts.start(call, effect)

    @perform.register
    def _(self, effect: CancelAttempt) -> None:
        self.attempts.cancel(effect)

    @perform.register
    def _(self, effect: RestoreAttempt) -> None:
        attempt = self.attempts.restore(effect.request_id)
        call = self.calls.get(effect.request_id)
        if attempt is not None and call is not None:
            call.diagnostics = attempt.diagnostics
            self.call_log.restored(call, attempt.dispatch)

    @perform.register
    def _(self, effect: ReserveMemory | FreeOwnHolding) -> None:
        self.order_client.perform(effect)

    @perform.register
    def _(self, effect: ProbeConnections) -> None:
        self.probes.open(effect.targets)

    @perform.register
    def _(self, effect: EndSilentAttempt) -> None:
        message = self.attempts.end_silent(effect)
        if message is not None:
            self.inbox.append(message)

    @perform.register
    def _(self, effect: WakeAt) -> None:
        delay = effect.at - self.clock.monotonic()
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, delay.total_seconds()), self.post, effect.message)

    @perform.register
    def _(self, effect: Conclude) -> None:
        call = self.calls.pop(effect.request_id, None)
        self.attempts.end_call(effect.request_id)
        if call is None:
            return
        call.concluded = True
        if self.by_connection.get(call.responder) == call.request_id:
            del self.by_connection[call.responder]
        if self.kernel.state.waiting.by_target:
            self.inbox.append(Tick())
        if effect.problem is not None and not run_guarded(
            effect, send_problem, self.dialect, call
        ):
            call.responder.abort_response()
            if not call.cut:
                call.status = int(HTTPStatus.INTERNAL_SERVER_ERROR)
        self.call_log.ended(call, effect)
        self.on_call_ended(call, effect)

    def _log_failure(self, failure: AttemptFailed, effects: list[Effect]) -> None:
        call = self.calls.get(failure.request_id)
        attempt = self.attempts.failed(failure)
        if call is None or attempt is None:
            return
        self.call_log.attempt_failed(call, failure, attempt.reused, effects)

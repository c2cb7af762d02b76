"""A simulation of a gateway's kernel and directory with endpoints and a manual clock.

Replaces the gateway's sockets: executes the kernel's effects as they would, and reports
the events of each attempt.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from random import Random

from msgspec.structs import astuple

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.messages import (
    DirectoryChange,
    EndpointState,
    TableChanged,
    UpdateOrigin,
)
from mimosafork.directory.rows import Row
from mimosafork.gateway.intake import AdmittedCall, CallRefusal, admit
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.policies.rate_limits import EndpointRateLimits
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gateway.policies.retrying import BudgetedRetry
from mimosafork.gateway.policies.send_gate import EndpointSendGate
from mimosafork.gateway.problems import final_status
from mimosafork.ids import (
    AttemptNumber,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptHedged,
    AttemptSilent,
    EndSilentAttempt,
    Exposure,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
)
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.connectivity import ConnectionProbed, ProbeConnections
from mimosafork.kernel.messages.dispatch import (
    CancelAttempt,
    Dispatch,
    RestoreAttempt,
)
from mimosafork.kernel.messages.endpoint_statements import (
    BackoffRequested,
    LeavingAnnounced,
    MarkDraining,
)
from mimosafork.kernel.messages.lifecycle import StopNow
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import CallerGone, Submit
from mimosafork.kernel.messages.routing import (
    EndpointLeaving,
    EndpointUsable,
    RoutingTableChanged,
)
from mimosafork.kernel.messages.sharing import CrashSuspicionUpdated
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.registry import create

from .call_rules import (
    RETRY_RATIO,
    RETRY_SLACK,
    ModelCall,
    Phase,
    RuleChecker,
    SimulatedAttempt,
)
from .gateway_kernels import ZONE
from .gateway_tables import (
    FakeConfigurationHistory,
    FakeEndpointRows,
    marks_of,
    message_of,
)
from .reserving_engines import POOL, FakeModelEngine

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of opening a connection."""

ORDER_TIMEOUT = timedelta(milliseconds=250)
"""Timeout of an order's response."""

SLOW_ORDER_DELAY = timedelta(milliseconds=120)
"""Delay of an order's response while engines are slow."""

INSTANCES = 2
"""This instance and a peer, which share the retry budget."""

PEER_CALL = RequestId("peer")


class AttemptEvent(Enum):
    """Events that may happen to an attempt."""

    EVENT = "event"
    FINISHED = "finished"
    BROKEN = "broken"
    GARBLED = "garbled"
    REJECTED = "rejected"
    ELSEWHERE = "elsewhere"
    NOT_FOUND = "not found"
    FAILED = "failed"
    UNREACHED = "unreached"


FAILURE_STATUSES = {AttemptEvent.NOT_FOUND: 404, AttemptEvent.FAILED: 500}


@dataclass
class SimulatedEndpoint:
    """One incarnation of an endpoint.

    Attributes
    ----------
    reachable : bool
        Whether connections to it can be opened.
    loses_orders : bool
        Whether its orders get no response and are not executed.
    """

    name: EndpointId
    service: ServiceId
    address: str
    zone: str
    slots: int
    memory: FakeModelEngine
    reachable: bool = True
    loses_orders: bool = False

    def row(self, state: str, version: int) -> Row:
        """Return the endpoint's row in the list."""
        fields = (state, self.service, self.address, self.zone, str(self.slots))
        return Row("endpoints", "", self.name, " ".join(fields).encode(), version)


@dataclass(frozen=True)
class OrderReply:
    """Result of an order, and the time at which it is received."""

    order: ReserveMemory
    failure: GangStepFailure | None
    at: timedelta


class SimulatedGateway:
    """Simulated environment of one gateway's kernel.

    Attributes
    ----------
    endpoint_by_address : dict
        The endpoint that listens at each address.
    open : list of SimulatedAttempt
        All attempts that have not ended.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(start=timedelta(seconds=100))
        self.checker = RuleChecker()
        self.tables = FakeConfigurationHistory()
        identity = InstanceIdentity(InstanceId("entry-1"), Incarnation(1), ZONE)
        self.kernel = Kernel(identity, self.clock, Random(seed), create(PLUGINS))
        self.directory = Directory(
            self.tables, FakeEndpointRows(), self.clock, Random(seed)
        )
        self.directory.add_listener(self.directory_changed)
        self.random = Random(seed)
        self.share = SlackShare(INSTANCES)
        self.peer = BudgetedRetry()
        self.endpoints: dict[EndpointId, SimulatedEndpoint] = {}
        self.endpoint_by_address: dict[str, EndpointId] = {}
        self.reported_draining: set[EndpointId] = set()
        self.backoff_ends: dict[EndpointId, timedelta] = {}
        self.send_gate = EndpointSendGate(
            self.kernel.plugin(FleetView), self.kernel.plugin(EndpointRateLimits)
        )
        self.calls: dict[RequestId, ModelCall] = {}
        self.refusals: list[CallRefusal] = []
        self.open: list[SimulatedAttempt] = []
        self.wakes: list[WakeAt] = []
        self.replies: list[OrderReply] = []
        self.slow = False
        self.late_orders: list[ReserveMemory] = []
        self.inbox: deque[Message] = deque()
        self.handling = False
        self.stopped = False
        self.version = 0
        retry = self.kernel.plugin(BudgetedRetry)
        for each in (retry, self.peer):
            each.ratio, each.slack = RETRY_RATIO, RETRY_SLACK
        retry.slack_share = lambda: self.share
        self.peer.slack_share = lambda: SlackShare(INSTANCES, rank=1)

    @property
    def now(self) -> timedelta:
        """The kernel's instant."""
        return self.clock.monotonic()

    def next_version(self) -> int:
        """Return the next version of the store."""
        self.version += 1
        return self.version

    # Directory and peers

    def directory_changed(self, change: DirectoryChange) -> None:
        """Post a change to the kernel, as the gateway's server does."""
        if isinstance(change, TableChanged):
            self.post(RoutingTableChanged(change.table))
        elif change.entry.takes_new_work:
            self.post(EndpointUsable(change.entry.listed))
        else:
            final = change.entry.state is EndpointState.DRAINING
            self.post(EndpointLeaving(change.endpoint, final))

    def peer_spends(self, service: ServiceId, requests: int, repeats: int) -> None:
        """Let a peer accept requests and send the retries that its share allows."""
        budget = self.checker.budget(service)
        allowance = self.peer.budget(service)
        for _ in range(requests):
            allowance.count_request(self.now)
            budget.requests.append(self.now)
        for _ in range(repeats):
            if self.peer.available_retries(service, self.now) >= 1:
                allowance.count_retry(PEER_CALL, self.now)
                budget.repeats.append(self.now)
                budget.check(self.now)

    def receive_crashes(self, call: ModelCall, endpoints: set[EndpointId]) -> None:
        """Receive a peer's report of crashes on a content; an empty one clears it."""
        digest = call.request.body_digest
        if endpoints:
            self.checker.crashed(digest, endpoints, self.now)
        else:
            self.checker.cleared(digest)
        self.post(
            CrashSuspicionUpdated(digest, frozenset(endpoints), cleared=not endpoints)
        )

    def announce_leaving(self, endpoint: EndpointId) -> None:
        """Receive a response in which an endpoint announces that it leaves."""
        if self.kernel.plugin(FleetView).responding(endpoint) is not None:
            self.reported_draining.add(endpoint)
        self.post(LeavingAnnounced(endpoint, self.now))

    def request_backoff(self, endpoint: EndpointId, duration: timedelta) -> None:
        """Receive a rejection with which an endpoint requests a backoff."""
        if self.kernel.plugin(FleetView).responding(endpoint) is not None:
            former = self.backoff_ends.get(endpoint, self.now)
            self.backoff_ends[endpoint] = max(former, self.now + duration)
        self.post(BackoffRequested(endpoint, self.now, duration))

    # Callers

    @property
    def open_calls(self) -> list[ModelCall]:
        """Calls that have no final answer yet."""
        return [call for call in self.calls.values() if call.conclusion is None]

    def call(self, route: str, body: str, key: str) -> ModelCall | CallRefusal | None:
        """Submit a caller's request; return None once intake has ended."""
        if self.stopped:
            return None
        name = RequestId(str(len(self.calls) + len(self.refusals) + 1))
        found = admit(
            message_of(route, body),
            marks_of(route, name, key),
            self.directory.table,
            name,
            self.now,
            self.random,
        )
        if isinstance(found, CallRefusal):
            self.refusals.append(found)
            return found
        return self._submit(route, found)

    def _submit(self, route: str, admission: AdmittedCall) -> ModelCall:
        request = admission.request
        call = ModelCall(request, route)
        self.calls[request.request_id] = call
        self.checker.budget(ServiceId(request.target)).requests.append(self.now)
        quarantined = self.checker.is_quarantined(request.body_digest, self.now)
        self.post(Submit(request))
        if quarantined:
            end = call.conclusion
            assert end is not None, ("BUDGET: quarantined content was sent", call)
            assert end.problem is not None
            assert end.problem.code is ProblemCode.QUARANTINED, end
        return call

    def leave(self, call: ModelCall) -> None:
        """Disconnect a caller."""
        if call.conclusion is None:
            call.caller_gone = True
            self.post(CallerGone(call.request.request_id))

    def stop(self) -> None:
        """End all calls, as at the end of the grace period of a shutdown."""
        self.stopped = True
        self.post(StopNow())

    # The kernel's effects

    def post(self, message: Message) -> None:
        """Have the kernel handle a message, and execute its effects in turn."""
        self.inbox.append(message)
        if self.handling:
            return
        self.handling = True
        try:
            while self.inbox:
                for effect in self.kernel.handle(self.inbox.popleft()):
                    self.perform(effect)
        finally:
            self.handling = False

    def perform(self, effect: Effect) -> None:
        """Execute an effect."""
        if isinstance(effect, Dispatch):
            self.dispatch(effect)
        elif isinstance(effect, CancelAttempt):
            self.end_attempt(effect.request_id, effect.attempt)
        elif isinstance(effect, RestoreAttempt):
            for sent in self.open_attempts_of(effect.request_id, effect.attempt):
                sent.hedged = False
        elif isinstance(effect, EndSilentAttempt):
            self.end_silent(effect.failure)
        elif isinstance(effect, WakeAt):
            self.wakes.append(effect)
        elif isinstance(effect, ReserveMemory | FreeOwnHolding):
            self.order(effect)
        elif isinstance(effect, ProbeConnections):
            self.probe(effect)
        elif isinstance(effect, MarkDraining):
            self.directory.offer_draining(effect.endpoint, origin=UpdateOrigin.ENDPOINT)
        elif isinstance(effect, Conclude):
            self.conclude(effect)

    def probe(self, effect: ProbeConnections) -> None:
        """Open connections to endpoints; those that hang time out."""
        for target in effect.targets:
            opened = self.endpoints[target.endpoint].reachable
            at = self.now if opened else self.now + CONNECT_TIMEOUT
            self.wakes.append(WakeAt(at, ConnectionProbed(target, opened)))

    def dispatch(self, effect: Dispatch) -> None:
        """Start an attempt."""
        call = self.calls[effect.request_id]
        self.checker.dispatched(call, effect, self.now)
        self.check_place(call, effect)
        sent = SimulatedAttempt(call, effect, Phase.OPENING, self.now, self.now)
        call.attempts.append(sent)
        self.open.append(sent)
        self.check_slots(effect.endpoint)
        self.try_open(sent)

    def check_place(self, call: ModelCall, effect: Dispatch) -> None:
        """Check that an attempt and its helpers go to endpoints accepting new work."""
        places = {(effect.endpoint, effect.address)}
        places |= {(helper.endpoint, helper.address) for helper in effect.helpers}
        for endpoint, address in places:
            known = self.endpoints[endpoint]
            assert known.service == call.request.target, ("ROUTE", effect)
            assert known.address == address, ("ROUTE", effect)
            assert endpoint not in self.reported_draining, ("DRAIN", endpoint, effect)
            entry = self.directory.endpoints.get(endpoint)
            assert entry is not None, ("DRAIN: gone", endpoint, effect)
            assert entry.takes_new_work, ("DRAIN", endpoint, effect)
            self.check_backoff(endpoint)

    def check_backoff(self, endpoint: EndpointId) -> None:
        """Check that an endpoint gets nothing within the backoff that it requested."""
        end = self.backoff_ends.get(endpoint, self.now)
        assert end <= self.now, ("BUDGET: backoff", endpoint)

    def check_slots(self, endpoint: EndpointId) -> None:
        """Check that an engine hosts no more attempts than it has slots."""
        known = self.endpoints[endpoint]
        hosted = sum(sent.dispatch.endpoint == endpoint for sent in self.open)
        if known.service == POOL:
            assert hosted <= known.slots, ("slots", endpoint, hosted)

    def try_open(self, sent: SimulatedAttempt) -> None:
        """Send an attempt's request if its endpoint can be reached."""
        if not self.endpoints[sent.dispatch.endpoint].reachable:
            return
        if sent.dispatch.deadline <= self.now:
            self.fail(sent, FailureKind.DEADLINE, Exposure.NEVER_SENT)
            return
        objection = self.send_gate.objection(sent.dispatch, self.now)
        if objection is not None:
            self.fail(sent, objection, Exposure.NEVER_SENT)
            return
        self.check_backoff(sent.dispatch.endpoint)
        sent.phase = Phase.SENT
        self.checker.arrived(sent, self.now)

    def end_attempts(self, request_id: RequestId) -> None:
        """End the open attempts of a call, which may have run."""
        for sent in [s for s in self.open if s.dispatch.request_id == request_id]:
            self._close_attempt(sent)

    def open_attempts_of(
        self, request_id: RequestId, number: AttemptNumber
    ) -> list[SimulatedAttempt]:
        """Return the open attempt with a number, if any."""
        return [
            sent
            for sent in self.open
            if sent.dispatch.request_id == request_id
            and sent.dispatch.attempt == number
        ]

    def end_attempt(self, request_id: RequestId, number: AttemptNumber) -> None:
        """End one attempt of a call."""
        for sent in self.open_attempts_of(request_id, number):
            self._close_attempt(sent)

    def end_silent(self, failure: AttemptFailed) -> None:
        """Report a silent attempt as failed, or as hedged, as the gateway does."""
        for sent in self.open_attempts_of(failure.request_id, failure.attempt):
            others = [s for s in self.open if s.call is sent.call and s.hedged]
            if sent.call.head_sent and not sent.dispatch.helpers and not others:
                sent.hedged = True
                self.inbox.append(AttemptHedged(*astuple(failure)))
            else:
                self._close_attempt(sent)
                self.inbox.append(failure)

    def _close_attempt(self, sent: SimulatedAttempt) -> None:
        sent.phase = Phase.ENDED
        self.open.remove(sent)

    def conclude(self, effect: Conclude) -> None:
        """Record a call's final answer, as the gateway sends it."""
        call = self.calls[effect.request_id]
        self.end_attempts(effect.request_id)
        call.status = final_status_of(call, effect)
        self.checker.ended(call, effect)
        call.conclusion = effect
        if effect.outcome is Outcome.COMPLETED:
            self.checker.cleared(call.request.body_digest)
        if self.kernel.state.waiting.by_target:
            self.inbox.append(Tick())

    # Memory

    def order(self, effect: ReserveMemory | FreeOwnHolding) -> None:
        """Execute an order, or lose it."""
        known = self.endpoints[effect.endpoint]
        runs = self.endpoint_by_address.get(effect.address) == effect.endpoint
        if isinstance(effect, FreeOwnHolding):
            if runs and known.reachable and not known.loses_orders:
                known.memory.reservations.pop(effect.holding_id, None)
            return
        if not runs or not known.reachable:
            self.reply(effect, GangStepFailure.UNREACHED, timedelta(0))
        elif known.loses_orders:
            self.reply(effect, GangStepFailure.LOST, ORDER_TIMEOUT)
            self.late_orders.append(effect)
        else:
            failure = known.memory.reserve(effect, self.now)
            self.reply(effect, failure, SLOW_ORDER_DELAY if self.slow else timedelta(0))

    def reply(
        self, order: ReserveMemory, failure: GangStepFailure | None, after: timedelta
    ) -> None:
        """Deliver an order's result, at once or later."""
        if after:
            self.replies.append(OrderReply(order, failure, self.now + after))
            return
        request, name = order.request_id, order.reservation
        if failure is None:
            self.post(MemoryReserved(request, name))
        else:
            self.post(ReservationFailed(request, name, failure))

    # Attempts

    def fail(
        self,
        sent: SimulatedAttempt,
        kind: FailureKind,
        exposure: Exposure = Exposure.POSSIBLE,
        status: int | None = None,
        refusal: str | None = None,
        fault_at: str | None = None,
    ) -> None:
        """Fail an attempt."""
        self._close_attempt(sent)
        sent.may_have_run = exposure is Exposure.POSSIBLE
        digest = sent.call.request.body_digest
        if kind is FailureKind.BROKEN:
            self.checker.crashed(digest, {sent.dispatch.endpoint}, self.now)
        self.post(
            AttemptFailed(
                sent.dispatch.request_id,
                sent.dispatch.attempt,
                kind,
                exposure,
                delivered_tokens=sent.call.events,
                refusal=refusal,
                status=status,
                fault_at=fault_at,
                endpoint=sent.dispatch.endpoint,
                digest=digest,
            )
        )

    def apply_event(
        self,
        sent: SimulatedAttempt,
        event_kind: AttemptEvent,
        fault_at: str | None = None,
    ) -> None:
        """Apply an event to an attempt, if it is possible in its phase.

        An endpoint at a reused address rejects requests for another endpoint.
        """
        if sent.phase is Phase.ENDED:
            return
        if sent.phase is Phase.OPENING:
            if event_kind is AttemptEvent.UNREACHED:
                self.fail(sent, FailureKind.UNREACHED, Exposure.NEVER_SENT)
        elif event_kind is AttemptEvent.BROKEN:
            self.fail(sent, FailureKind.BROKEN)
        elif self.is_foreign(sent) or (
            event_kind is AttemptEvent.ELSEWHERE and not sent.started
        ):
            self.reject(sent, 421, "elsewhere")
        elif event_kind is AttemptEvent.EVENT:
            self.event(sent)
        elif event_kind is AttemptEvent.FINISHED:
            self.finish(sent)
        elif event_kind is AttemptEvent.GARBLED:
            self.fail(sent, FailureKind.INVALID)
        elif not sent.started and event_kind is AttemptEvent.REJECTED:
            self.reject(sent, 503, "not-run", fault_at)
        elif not sent.started and event_kind in FAILURE_STATUSES:
            sent.call.failure_status = status = FAILURE_STATUSES[event_kind]
            self.fail(sent, FailureKind.ENGINE_FAILED, status=status)

    def reject(
        self,
        sent: SimulatedAttempt,
        status: int,
        refusal: str,
        fault_at: str | None = None,
    ) -> None:
        """Have an endpoint report that it has not run a request."""
        kind, exposure = FailureKind.REFUSED, Exposure.REFUSED
        self.fail(sent, kind, exposure, status, refusal, fault_at)

    def event(self, sent: SimulatedAttempt) -> None:
        """Deliver an event of a stream, or the head of a response."""
        sent.last_event_at = self.now
        if sent.hedged:
            name, attempt = sent.dispatch.request_id, sent.dispatch.attempt
            self.post(HedgedAttemptResumed(name, attempt))
        if sent.call.request.terms is not None and sent.call.request.terms.streams:
            sent.call.events += 1
            sent.call.head_sent = True
        if not sent.started:
            sent.started = True
            self.post(FirstToken(sent.dispatch.request_id, sent.dispatch.attempt))

    def finish(self, sent: SimulatedAttempt) -> None:
        """Complete a response."""
        self.event(sent)
        if sent.phase is Phase.SENT:
            sent.call.head_sent = True
            self._close_attempt(sent)
            name, attempt = sent.dispatch.request_id, sent.dispatch.attempt
            self.post(AttemptFinished(name, attempt))

    def is_foreign(self, sent: SimulatedAttempt) -> bool:
        """Return whether another endpoint listens at an attempt's address."""
        return (
            self.endpoint_by_address.get(sent.dispatch.address)
            != sent.dispatch.endpoint
        )

    # Endpoints

    def reach(self, address: str, reachable: bool) -> None:
        """Make an endpoint unreachable or reachable; pending connections are opened."""
        name = self.endpoint_by_address.get(address)
        if name is None:
            return
        self.endpoints[name].reachable = reachable
        for sent in list(self.open):
            if sent.phase is Phase.OPENING and sent.dispatch.endpoint == name:
                self.try_open(sent)

    def end_endpoint(self, endpoint: SimulatedEndpoint, crashes: bool) -> None:
        """Stop an endpoint; a crash breaks its running attempts."""
        del self.endpoint_by_address[endpoint.address]
        endpoint.memory.reservations.clear()
        for sent in [s for s in self.open if s.dispatch.endpoint == endpoint.name]:
            if crashes and sent.phase is Phase.SENT:
                self.fail(sent, FailureKind.BROKEN)

    def execute_late_orders(self) -> None:
        """Execute orders that got no response."""
        late, self.late_orders = self.late_orders, []
        for order in late:
            endpoint = self.endpoints[order.endpoint]
            if self.endpoint_by_address.get(endpoint.address) == endpoint.name:
                endpoint.memory.reserve(order, self.now)

    # Time

    def run(self, span: timedelta, tick_first: bool = False) -> None:
        """Advance time in ticks.

        Parameters
        ----------
        tick_first : bool
            Whether a tick precedes other due events.
        """
        end = self.now + span
        while self.now < end:
            self.clock.advance(min(TICK, end - self.now))
            if tick_first:
                self.tick()
            self.deliver_due()
            if not tick_first:
                self.tick()

    def deliver_due(self) -> None:
        """Deliver all events that are due."""
        now = self.now
        for endpoint in self.endpoints.values():
            endpoint.memory.expire(now)
        due = sorted((w for w in self.wakes if w.at <= now), key=lambda w: w.at)
        self.wakes = [wake for wake in self.wakes if wake.at > now]
        for wake in due:
            self.post(wake.message)
        for sent in [s for s in self.open if s.phase is Phase.OPENING]:
            if sent in self.open and now - sent.started_at >= CONNECT_TIMEOUT:
                self.fail(sent, FailureKind.UNREACHED, Exposure.NEVER_SENT)
        replies = [each for each in self.replies if each.at <= now]
        self.replies = [each for each in self.replies if each.at > now]
        for reply in replies:
            self.reply(reply.order, reply.failure, timedelta(0))

    def tick(self) -> None:
        """Report silence and tick, as the gateway does while calls are open."""
        if not self.open_calls:
            return
        for sent in [each for each in self.open if not each.hedged]:
            self.report_silence(sent)
        self.post(Tick())
        late = [c for c in self.open_calls if c.request.deadline <= self.now]
        assert not late, ("STUCK", late)

    def report_silence(self, sent: SimulatedAttempt) -> None:
        """Report an attempt that has been silent for too long."""
        timeouts = sent.dispatch.silence_timeouts
        if timeouts is None or sent.phase is Phase.ENDED:
            return
        allowed = timeouts.between_events if sent.started else timeouts.first_event
        silence = self.now - sent.last_event_at
        if silence >= allowed:
            sent.last_event_at = self.now
            name, attempt = sent.dispatch.request_id, sent.dispatch.attempt
            self.post(AttemptSilent(name, attempt, silence))


def final_status_of(call: ModelCall, conclusion: Conclude) -> int | None:
    """Return the status of a call's final answer; None if the gateway sends none."""
    if conclusion.problem is None or call.caller_gone or call.head_sent:
        return None
    if call.failure_status is not None:
        return call.failure_status
    return int(final_status(conclusion).status)

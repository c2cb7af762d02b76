"""A gateway's kernel and directory among model endpoints, with a clock that is set.

Stands in for the gateway's sockets: carries out the kernel's effects as they do, and
reports what happens to each attempt.
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
)
from mimosafork.directory.rows import Row
from mimosafork.gateway.intake import AdmittedCall, CallRefusal, admit
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gateway.policies.retrying import BudgetedRetry
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
from mimosafork.kernel.messages.dispatch import (
    CancelAttempt,
    Dispatch,
    RestoreAttempt,
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

from .call_rules import RETRY_RATIO, RETRY_SLACK, Judge, ModelCall, Phase, Sent
from .gateway_kernels import ZONE
from .gateway_tables import (
    FakeConfigurationHistory,
    FakeEndpointRows,
    marks_of,
    message_of,
)
from .reserving_engines import POOL, FakeModelEngine

OPENED_WITHIN = timedelta(milliseconds=300)
"""A connection that takes longer is given up."""

ORDER_WITHIN = timedelta(milliseconds=250)
"""An order that gets no answer for longer is given up."""

ORDER_TAKES = timedelta(milliseconds=120)
"""An order's answer comes so much later while engines are slow."""

INSTANCES = 2
"""This one and a peer, which share the budget."""

PEERS_CALL = RequestId("peer")


class Fate(Enum):
    """What may happen to an attempt."""

    EVENT = "event"
    FINISHED = "finished"
    BROKEN = "broken"
    GARBLED = "garbled"
    REJECTED = "rejected"
    ELSEWHERE = "elsewhere"
    NOT_FOUND = "not found"
    FAILED = "failed"
    UNREACHED = "unreached"


OWN_FAILURES = {Fate.NOT_FOUND: 404, Fate.FAILED: 500}


@dataclass
class ModelEndpoint:
    """One life of an endpoint.

    Attributes
    ----------
    reachable : bool
        Connections to it can be opened.
    deaf : bool
        Its orders get no answer and are not carried out.
    """

    name: EndpointId
    service: ServiceId
    address: str
    zone: str
    slots: int
    memory: FakeModelEngine
    reachable: bool = True
    deaf: bool = False

    def row(self, state: str, version: int) -> Row:
        """Return its row in the list of endpoints."""
        words = (state, self.service, self.address, self.zone, str(self.slots))
        return Row("endpoints", "", self.name, " ".join(words).encode(), version)


@dataclass(frozen=True)
class Reply:
    """What an instance will learn of an order, and when."""

    order: ReserveMemory
    failure: GangStepFailure | None
    at: timedelta


class GatewayWorld:
    """Everything around one gateway's kernel.

    Attributes
    ----------
    living : dict
        Who answers at an address.
    fates : dict
        All attempts that have not ended, by their request.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock(start=timedelta(seconds=100))
        self.judge = Judge()
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
        self.endpoints: dict[EndpointId, ModelEndpoint] = {}
        self.living: dict[str, EndpointId] = {}
        self.told_draining: set[EndpointId] = set()
        self.calls: dict[RequestId, ModelCall] = {}
        self.refusals: list[CallRefusal] = []
        self.open: list[Sent] = []
        self.wakes: list[WakeAt] = []
        self.replies: list[Reply] = []
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
        """Return a version of the store's counter."""
        self.version += 1
        return self.version

    # What the directory tells, and peers

    def directory_changed(self, change: DirectoryChange) -> None:
        """Tell the kernel of a change, as the gateway's server does."""
        if isinstance(change, TableChanged):
            self.post(RoutingTableChanged(change.table))
        elif change.entry.takes_new_work:
            self.post(EndpointUsable(change.entry.listed))
        else:
            final = change.entry.state is EndpointState.DRAINING
            self.post(EndpointLeaving(change.endpoint, final))

    def peer_spends(self, service: ServiceId, requests: int, repeats: int) -> None:
        """Let a peer take requests and repeat as many as its part has room for."""
        budget = self.judge.budget(service)
        allowance = self.peer.budget(service)
        for _ in range(requests):
            allowance.count_request(self.now)
            budget.requests.append(self.now)
        for _ in range(repeats):
            if self.peer.available_retries(service, self.now) >= 1:
                allowance.count_retry(PEERS_CALL, self.now)
                budget.repeats.append(self.now)
                budget.check(self.now)

    def crash_told(self, call: ModelCall, endpoints: set[EndpointId]) -> None:
        """Let a peer tell of crashes under a content; of none: that it ran well."""
        digest = call.request.body_digest
        if endpoints:
            self.judge.crashed(digest, endpoints, self.now)
        else:
            self.judge.cleared(digest)
        self.post(
            CrashSuspicionUpdated(digest, frozenset(endpoints), cleared=not endpoints)
        )

    # Callers

    @property
    def open_calls(self) -> list[ModelCall]:
        """Calls that have no final answer yet."""
        return [call for call in self.calls.values() if call.conclusion is None]

    def call(self, route: str, body: str, key: str) -> ModelCall | CallRefusal | None:
        """Let a caller's whole request arrive; None once intake has ended."""
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
        self.judge.budget(ServiceId(request.target)).requests.append(self.now)
        poison = self.judge.is_poison(request.body_digest, self.now)
        self.post(Submit(request))
        if poison:
            end = call.conclusion
            assert end is not None, ("BUDGET: poison goes in", call)
            assert end.problem is not None
            assert end.problem.code is ProblemCode.QUARANTINED, end
        return call

    def leave(self, call: ModelCall) -> None:
        """Let a caller hang up."""
        if call.conclusion is None:
            call.caller_gone = True
            self.post(CallerGone(call.request.request_id))

    def stop(self) -> None:
        """End everything, as at the end of the grace of a planned stop."""
        self.stopped = True
        self.post(StopNow())

    # The kernel's effects

    def post(self, message: Message) -> None:
        """Have the kernel handle a message and carry out its effects, in turn."""
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
        """Carry out an effect."""
        if isinstance(effect, Dispatch):
            self.dispatch(effect)
        elif isinstance(effect, CancelAttempt):
            self.end_attempt(effect.request_id, effect.attempt)
        elif isinstance(effect, RestoreAttempt):
            for sent in self.sent_as(effect.request_id, effect.attempt):
                sent.hedged = False
        elif isinstance(effect, EndSilentAttempt):
            self.end_silent(effect.failure)
        elif isinstance(effect, WakeAt):
            self.wakes.append(effect)
        elif isinstance(effect, ReserveMemory | FreeOwnHolding):
            self.order(effect)
        elif isinstance(effect, Conclude):
            self.conclude(effect)

    def dispatch(self, effect: Dispatch) -> None:
        """Begin an attempt."""
        call = self.calls[effect.request_id]
        self.judge.dispatched(call, effect, self.now)
        self.check_place(call, effect)
        sent = Sent(call, effect, Phase.OPENING, self.now, self.now)
        call.attempts.append(sent)
        self.open.append(sent)
        self.check_slots(effect.endpoint)
        self.try_open(sent)

    def check_place(self, call: ModelCall, effect: Dispatch) -> None:
        """Check that an attempt and its helpers go where new work may go."""
        places = {(effect.endpoint, effect.address)}
        places |= {(helper.endpoint, helper.address) for helper in effect.helpers}
        for endpoint, address in places:
            known = self.endpoints[endpoint]
            assert known.service == call.request.target, ("ROUTE", effect)
            assert known.address == address, ("ROUTE", effect)
            assert endpoint not in self.told_draining, ("DRAIN", endpoint, effect)
            entry = self.directory.endpoints.get(endpoint)
            assert entry is not None, ("DRAIN: gone", endpoint, effect)
            assert entry.takes_new_work, ("DRAIN", endpoint, effect)

    def check_slots(self, endpoint: EndpointId) -> None:
        """Check that an engine hosts no more at once than it has slots."""
        known = self.endpoints[endpoint]
        hosted = sum(sent.dispatch.endpoint == endpoint for sent in self.open)
        if known.service == POOL:
            assert hosted <= known.slots, ("slots", endpoint, hosted)

    def try_open(self, sent: Sent) -> None:
        """Send an attempt's request if its endpoint can be reached."""
        if not self.endpoints[sent.dispatch.endpoint].reachable:
            return
        if sent.dispatch.deadline <= self.now:
            self.fail(sent, FailureKind.DEADLINE, Exposure.NEVER_SENT)
            return
        sent.phase = Phase.SENT
        self.judge.arrived(sent, self.now)

    def end_attempts(self, request_id: RequestId) -> None:
        """End what is open of a call; whether it has run is left open."""
        for sent in [s for s in self.open if s.dispatch.request_id == request_id]:
            self._end(sent)

    def sent_as(self, request_id: RequestId, number: AttemptNumber) -> list[Sent]:
        """Return an open attempt, if it is one."""
        return [
            sent
            for sent in self.open
            if sent.dispatch.request_id == request_id
            and sent.dispatch.attempt == number
        ]

    def end_attempt(self, request_id: RequestId, number: AttemptNumber) -> None:
        """End one attempt of a call."""
        for sent in self.sent_as(request_id, number):
            self._end(sent)

    def end_silent(self, failure: AttemptFailed) -> None:
        """Report a silent attempt as failed, or as hedged, as the gateway does."""
        for sent in self.sent_as(failure.request_id, failure.attempt):
            others = [s for s in self.open if s.call is sent.call and s.hedged]
            if sent.call.head_sent and not sent.dispatch.helpers and not others:
                sent.hedged = True
                self.inbox.append(AttemptHedged(*astuple(failure)))
            else:
                self._end(sent)
                self.inbox.append(failure)

    def _end(self, sent: Sent) -> None:
        sent.phase = Phase.ENDED
        self.open.remove(sent)

    def conclude(self, effect: Conclude) -> None:
        """Give a caller its final answer, as the gateway does."""
        call = self.calls[effect.request_id]
        self.end_attempts(effect.request_id)
        call.status = status_told(call, effect)
        self.judge.ended(call, effect)
        call.conclusion = effect
        if effect.outcome is Outcome.COMPLETED:
            self.judge.cleared(call.request.body_digest)
        if self.kernel.state.waiting.by_target:
            self.inbox.append(Tick())

    # Memory

    def order(self, effect: ReserveMemory | FreeOwnHolding) -> None:
        """Carry out an order, or lose it."""
        known = self.endpoints[effect.endpoint]
        lives = self.living.get(effect.address) == effect.endpoint
        if isinstance(effect, FreeOwnHolding):
            if lives and known.reachable and not known.deaf:
                known.memory.reservations.pop(effect.holding_id, None)
            return
        if not lives or not known.reachable:
            self.reply(effect, GangStepFailure.UNREACHED, timedelta(0))
        elif known.deaf:
            self.reply(effect, GangStepFailure.LOST, ORDER_WITHIN)
            self.late_orders.append(effect)
        else:
            failure = known.memory.reserve(effect, self.now)
            self.reply(effect, failure, ORDER_TAKES if self.slow else timedelta(0))

    def reply(
        self, order: ReserveMemory, failure: GangStepFailure | None, after: timedelta
    ) -> None:
        """Let an order's answer come, or that it got none."""
        if after:
            self.replies.append(Reply(order, failure, self.now + after))
            return
        request, name = order.request_id, order.reservation
        if failure is None:
            self.post(MemoryReserved(request, name))
        else:
            self.post(ReservationFailed(request, name, failure))

    # Attempts

    def fail(
        self,
        sent: Sent,
        kind: FailureKind,
        exposure: Exposure = Exposure.POSSIBLE,
        status: int | None = None,
        refusal: str | None = None,
        fault_at: str | None = None,
    ) -> None:
        """Let an attempt fail."""
        self._end(sent)
        sent.may_have_run = exposure is Exposure.POSSIBLE
        digest = sent.call.request.body_digest
        if kind is FailureKind.BROKEN:
            self.judge.crashed(digest, {sent.dispatch.endpoint}, self.now)
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

    def meet(self, sent: Sent, fate: Fate, fault_at: str | None = None) -> None:
        """Let something happen to an attempt, if it can.

        Whoever answers at an address that is used again rejects what is not for it.
        """
        if sent.phase is Phase.ENDED:
            return
        if sent.phase is Phase.OPENING:
            if fate is Fate.UNREACHED:
                self.fail(sent, FailureKind.UNREACHED, Exposure.NEVER_SENT)
        elif fate is Fate.BROKEN:
            self.fail(sent, FailureKind.BROKEN)
        elif self.is_foreign(sent) or (fate is Fate.ELSEWHERE and not sent.begun):
            self.reject(sent, 421, "elsewhere")
        elif fate is Fate.EVENT:
            self.event(sent)
        elif fate is Fate.FINISHED:
            self.finish(sent)
        elif fate is Fate.GARBLED:
            self.fail(sent, FailureKind.INVALID)
        elif not sent.begun and fate is Fate.REJECTED:
            self.reject(sent, 503, "not-run", fault_at)
        elif not sent.begun and fate in OWN_FAILURES:
            sent.call.failed_with = status = OWN_FAILURES[fate]
            self.fail(sent, FailureKind.ENGINE_FAILED, status=status)

    def reject(
        self, sent: Sent, status: int, refusal: str, fault_at: str | None = None
    ) -> None:
        """Let an endpoint say that it has not run a request."""
        kind, exposure = FailureKind.REFUSED, Exposure.REFUSED
        self.fail(sent, kind, exposure, status, refusal, fault_at)

    def event(self, sent: Sent) -> None:
        """Let an event of a stream, or the head of an answer, come."""
        sent.heard_at = self.now
        if sent.hedged:
            name, attempt = sent.dispatch.request_id, sent.dispatch.attempt
            self.post(HedgedAttemptResumed(name, attempt))
        if sent.call.request.terms is not None and sent.call.request.terms.streams:
            sent.call.events += 1
            sent.call.head_sent = True
        if not sent.begun:
            sent.begun = True
            self.post(FirstToken(sent.dispatch.request_id, sent.dispatch.attempt))

    def finish(self, sent: Sent) -> None:
        """Let an answer be whole."""
        self.event(sent)
        if sent.phase is Phase.SENT:
            sent.call.head_sent = True
            self._end(sent)
            name, attempt = sent.dispatch.request_id, sent.dispatch.attempt
            self.post(AttemptFinished(name, attempt))

    def is_foreign(self, sent: Sent) -> bool:
        """Whether somebody else answers at an attempt's address."""
        return self.living.get(sent.dispatch.address) != sent.dispatch.endpoint

    # Endpoints

    def reach(self, address: str, reachable: bool) -> None:
        """Cut the way to an endpoint, or mend it; what is being opened is sent."""
        name = self.living.get(address)
        if name is None:
            return
        self.endpoints[name].reachable = reachable
        for sent in list(self.open):
            if sent.phase is Phase.OPENING and sent.dispatch.endpoint == name:
                self.try_open(sent)

    def end_life(self, life: ModelEndpoint, crashes: bool) -> None:
        """Let an endpoint end; a crash breaks what it runs off."""
        del self.living[life.address]
        life.memory.reservations.clear()
        for sent in [s for s in self.open if s.dispatch.endpoint == life.name]:
            if crashes and sent.phase is Phase.SENT:
                self.fail(sent, FailureKind.BROKEN)

    def land_late_orders(self) -> None:
        """Let orders be carried out that got no answer."""
        landing, self.late_orders = self.late_orders, []
        for order in landing:
            life = self.endpoints[order.endpoint]
            if self.living.get(life.address) == life.name:
                life.memory.reserve(order, self.now)

    # Time

    def run(self, span: timedelta, tick_first: bool = False) -> None:
        """Let time pass in ticks.

        Parameters
        ----------
        tick_first : bool
            Whether a tick comes before what else is due by then.
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
        """Let all happen that was to happen by now."""
        now = self.now
        for endpoint in self.endpoints.values():
            endpoint.memory.expire(now)
        due = sorted((w for w in self.wakes if w.at <= now), key=lambda w: w.at)
        self.wakes = [wake for wake in self.wakes if wake.at > now]
        for wake in due:
            self.post(wake.message)
        for sent in [s for s in self.open if s.phase is Phase.OPENING]:
            if sent in self.open and now - sent.since >= OPENED_WITHIN:
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

    def report_silence(self, sent: Sent) -> None:
        """Tell the kernel of an attempt that has been silent for too long."""
        patience = sent.dispatch.silence_timeouts
        if patience is None or sent.phase is Phase.ENDED:
            return
        allowed = patience.between_events if sent.begun else patience.first_event
        silence = self.now - sent.heard_at
        if silence >= allowed:
            sent.heard_at = self.now
            name, attempt = sent.dispatch.request_id, sent.dispatch.attempt
            self.post(AttemptSilent(name, attempt, silence))


def status_told(call: ModelCall, conclusion: Conclude) -> int | None:
    """Return the status of a call's final answer; None if it has none of ours."""
    if conclusion.problem is None or call.caller_gone or call.head_sent:
        return None
    if call.failed_with is not None:
        return call.failed_with
    return int(final_status(conclusion).status)

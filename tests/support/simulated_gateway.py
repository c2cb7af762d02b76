"""A simulation of a gateway's kernel and directory with endpoints and a manual clock.

Replaces the gateway's sockets: executes the kernel's effects as they would, and reports
the events of each attempt.
"""

from datetime import timedelta

from mimosafork.directory.messages import (
    UpdateOrigin,
)
from mimosafork.gateway.intake import AdmittedCall, CallRefusal, admit
from mimosafork.gateway.problems import final_status
from mimosafork.ids import (
    RequestId,
    ServiceId,
)
from mimosafork.kernel.core import TICK
from mimosafork.kernel.messages.attempts import (
    AttemptSilent,
    EndSilentAttempt,
    Exposure,
    FailureKind,
)
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.connectivity import ConnectionProbed, ProbeConnections
from mimosafork.kernel.messages.dispatch import (
    CancelAttempt,
    Dispatch,
    RestoreAttempt,
)
from mimosafork.kernel.messages.endpoint_statements import (
    MarkDraining,
)
from mimosafork.kernel.messages.lifecycle import StopNow
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    ReserveMemory,
)
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import CallerGone, Submit
from mimosafork.kernel.messages.timers import WakeAt

from .call_rules import (
    ModelCall,
    Phase,
    SimulatedAttempt,
)
from .gateway_tables import (
    marks_of,
    message_of,
)
from .simulated_attempts import SimulatedAttempts
from .simulated_endpoints import CONNECT_TIMEOUT, SimulatedEndpoint


class SimulatedGateway(SimulatedAttempts):
    """Simulated environment of one gateway's kernel."""

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

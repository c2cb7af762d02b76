"""Attempts and orders of the simulated gateway."""

from datetime import timedelta

from msgspec.structs import astuple

from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.ids import (
    AttemptNumber,
    EndpointId,
    RequestId,
)
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptHedged,
    Exposure,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
)
from mimosafork.kernel.messages.crashes import InterruptedRun, RunPhase
from mimosafork.kernel.messages.dispatch import (
    Dispatch,
)
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)

from .call_rules import (
    ModelCall,
    Phase,
    SimulatedAttempt,
)
from .reserving_engines import POOL
from .simulated_endpoints import (
    FAILURE_STATUSES,
    ORDER_TIMEOUT,
    SLOW_ORDER_DELAY,
    AttemptEvent,
    OrderReply,
)
from .simulated_state import SimulatedState


class SimulatedAttempts(SimulatedState):
    """Sends attempts and orders to endpoints, and reports what becomes of them."""

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

    def check_zones(self, effect: Dispatch) -> None:
        """Check that neither endpoint nor helpers are in an evacuated zone."""
        used = {effect.endpoint, *(each.endpoint for each in effect.helpers)}
        zones = {self.endpoints[each].zone for each in used}
        assert not zones & self.evacuated_zones, ("EVACUATED", effect)

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
        self.check_zones(sent.dispatch)
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

    def order(self, effect: ReserveMemory | FreeOwnHolding) -> None:
        """Execute an order, or lose it."""
        known = self.endpoints[effect.endpoint]
        runs = self.endpoint_by_address.get(effect.address) == effect.endpoint
        if isinstance(effect, FreeOwnHolding):
            if runs and known.reachable and not known.loses_orders:
                known.memory.reservations.pop(effect.holding_id, None)
            return
        if not effect.renewal:
            assert known.zone not in self.evacuated_zones, ("EVACUATED", effect)
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
        endpoint = sent.dispatch.endpoint
        if kind is FailureKind.BROKEN and not self.is_leaving(endpoint):
            self.checker.crashed(digest, {endpoint}, self.now)
        elif exposure is Exposure.REFUSED and refusal != "elsewhere":
            self.checker.answered(endpoint, sent.started_at)
        request = sent.call.request
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
                interrupted=InterruptedRun(
                    digest,
                    request.account,
                    (),
                    RunPhase.PENDING,
                    sent.started_at,
                    self.now,
                )
                if kind is FailureKind.BROKEN
                else None,
            )
        )

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Return whether the instance knows that an endpoint is about to end."""
        known = self.kernel.plugin(FleetView).endpoints.get(endpoint)
        return known is not None and known.leaving

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
            self.checker.answered(sent.dispatch.endpoint, sent.started_at)
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

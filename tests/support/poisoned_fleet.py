"""Simulated fleet in front of endpoints that some prompts crash, in virtual time."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from msgspec.structs import replace

from mimosafork.gateway.crash_adapter import CrashAdapter, quarantine_note, run_note
from mimosafork.gateway.policies.quarantining import CrashQuarantine
from mimosafork.gossip.effects import (
    ContentJudged,
    ContentSucceeded,
    CrashRefuted,
    RunInterrupted,
)
from mimosafork.gossip.kinds.crashes import (
    INTERRUPTED_RUNS,
    QUARANTINES,
    REFUTATIONS,
    SUCCESSES,
    SuccessNote,
)
from mimosafork.ids import AccountId, Digest, EndpointId
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.base import Effect
from mimosafork.kernel.messages.connectivity import ConnectionProbed, ProbeConnections
from mimosafork.kernel.messages.crashes import (
    InterruptedRun,
    PublishInterruptedRun,
    PublishQuarantine,
    PublishRefutation,
    PublishSuccess,
    Quarantine,
    QuarantineReceived,
    RunPhase,
)
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import Request
from mimosafork.kernel.messages.routing import EndpointLeaving, EndpointUsable

from .gateway_kernels import listed, plain_request
from .gossip_network import STEP, ms
from .retrying_fleet import RetryingFleet, RetryingInstance

SECOND = timedelta(seconds=1)
ENDPOINTS = 8
PREFILL = ms(100)
FIRST_EVENT = ms(140)
CRASH = ms(200)
RUN = ms(500)
"""Times of a run after its arrival: head, first event, crash and end."""

DOWNTIME = 5 * SECOND
NOTICE = SECOND
"""Time after which a crashed endpoint is no longer listed."""

SYSTEM, POISON, TOPIC = Digest("s/system"), Digest("s/poison"), Digest("s/topic")
NOTED_CRASHES = 5
STABLE = 3 * SECOND


@dataclass(eq=False)
class SimulatedRun:
    """A request at an endpoint."""

    instance: "PoisonedInstance"
    dispatch: Dispatch
    request: Request
    arrived_at: timedelta
    answering: bool = False


@dataclass(eq=False)
class CrashingEndpoint:
    """An endpoint in successive incarnations."""

    number: int
    incarnation: int = 0
    up_at: timedelta = timedelta(0)
    delist_at: timedelta | None = None
    runs: list[SimulatedRun] = field(default_factory=list)

    @property
    def name(self) -> EndpointId:
        """Id of the current incarnation."""
        return EndpointId(f"desk-{self.number}-{self.incarnation}")


class PoisonedInstance(RetryingInstance):
    """One incarnation of an instance, with the quarantine's effects and messages."""

    fleet: "PoisonedFleet"

    def __init__(
        self, fleet: "PoisonedFleet", number: int, is_first_incarnation: bool
    ) -> None:
        self.requests: dict[str, Request] = {}
        super().__init__(fleet, number, is_first_incarnation)
        self.crashes = CrashAdapter(self.handle, fleet.network.clock)
        quarantine = self.kernel.plugin(CrashQuarantine)
        quarantine.register.rank = lambda content: number % fleet.size
        for endpoint in fleet.crashing:
            self.handle(EndpointUsable(listed(endpoint.name, 64)))
        if fleet.store_answers:
            for decision in fleet.store.values():
                self.handle(QuarantineReceived(decision))

    def submit(self, request: Request) -> None:
        """Submit a call."""
        self.requests[request.request_id] = request
        super().submit(request)

    def perform(self, effect: Effect) -> None:
        """Perform an effect; what is published travels by gossip."""
        now, say = self.now, self.exchange.say
        if isinstance(effect, PublishInterruptedRun):
            key = f"{effect.endpoint} {effect.run.content}"
            say(INTERRUPTED_RUNS, key, run_note(effect), now)
        elif isinstance(effect, PublishRefutation):
            age = (now - effect.sent_at) // ms(1)
            self.exchange.confirm(REFUTATIONS, effect.endpoint, age, now)
        elif isinstance(effect, PublishSuccess):
            note = SuccessNote((now - effect.at) // ms(1))
            self.exchange.confirm(SUCCESSES, effect.content, note, now)
        elif isinstance(effect, PublishQuarantine):
            decision = effect.quarantine
            decided = quarantine_note(decision, now)
            self.exchange.confirm(QUARANTINES, decision.content, decided, now)
            if effect.is_own and self.fleet.store_answers:
                self.fleet.store[decision.content] = decision
        elif isinstance(effect, Dispatch):
            self.fleet.arrive(self, effect, self.requests[effect.request_id])
        elif isinstance(effect, ProbeConnections):
            for target in effect.targets:
                opened = self.fleet.is_up(target.endpoint)
                self.later(now + ms(2), ConnectionProbed(target, opened))
        elif isinstance(effect, CancelAttempt):
            self.fleet.cancel(self, effect)
        elif isinstance(effect, Conclude):
            self.fleet.concluded(self.requests.pop(effect.request_id), effect)
        else:
            super().perform(effect)

    def step(self, now: timedelta) -> None:
        """Handle what peers have published, and what is due."""
        received = self.fleet.network.effects[self.exchange.me.instance]
        for each in received:
            if isinstance(each, RunInterrupted):
                self.crashes.receive_run(each.note, now - each.born)
            elif isinstance(each, CrashRefuted):
                age = now - each.born
                self.crashes.receive_refutation(each.endpoint, each.sent_ms, age)
            elif isinstance(each, ContentSucceeded):
                age = now - each.born
                self.crashes.receive_success(each.content, each.note, age)
            elif isinstance(each, ContentJudged):
                age = now - each.born
                self.crashes.receive_quarantine(each.content, each.note, age)
        received.clear()
        super().step(now)


class PoisonedFleet(RetryingFleet):
    """Instances in front of endpoints that crash under poisoned parts.

    Attributes
    ----------
    poisoned : set of Digest
        Parts that crash each endpoint that begins to answer a request with them.
    poison_crashes : list of timedelta
        Crashes that a poisoned part has caused.
    late_arrivals : int
        Poisoned requests that reached endpoints although the fifth crash was noted.
    served, refused : list of Request
        Sound calls that completed, and those that were refused for their content.
    store : dict of Digest to Quarantine
        Decisions as a store keeps them.
    """

    instance_type = PoisonedInstance
    instances: list[PoisonedInstance]  # type: ignore[assignment]
    endpoints = 0

    def __init__(self, size: int, seed: int = 1, loss: float = 0.0) -> None:
        self.crashing = [CrashingEndpoint(number) for number in range(ENDPOINTS)]
        self.poisoned: set[Digest] = set()
        self.poison_crashes: list[timedelta] = []
        self.late_arrivals = 0
        self.served: list[Request] = []
        self.refused: list[Request] = []
        self.store: dict[Digest, Quarantine] = {}
        self.bodies = count()
        self.excused_until = timedelta(0)
        super().__init__(size, slack=1000.0, seed=seed, loss=loss)

    def excuse(self, span: timedelta = timedelta(0)) -> None:
        """Count no arrival until the fleet has been undisturbed for the stable time."""
        self.excused_until = max(self.excused_until, self.network.now + span + STABLE)

    def send(self, parts: Sequence[Digest], account: str = "account-a") -> None:
        """Submit a call with a body of its own to a random instance."""
        number = next(self.bodies)
        request = plain_request(f"c{number}", self.network.now)
        request = replace(
            request,
            account=AccountId(account),
            body_digest=Digest(f"body-{number}"),
            prompt_parts=tuple(parts),
        )
        self.budget.requests.append(self.network.now)
        self.instances[self.random.randrange(len(self.instances))].submit(request)

    def is_poisoned(self, request: Request) -> bool:
        """Return whether a request crashes endpoints."""
        return bool(self.poisoned & set(request.prompt_parts))

    def arrive(
        self, instance: PoisonedInstance, dispatch: Dispatch, request: Request
    ) -> None:
        """Let a request reach its endpoint."""
        now = self.network.now
        endpoint = next(
            (each for each in self.crashing if each.name == dispatch.endpoint), None
        )
        if endpoint is None or now < endpoint.up_at:
            failure = failed(dispatch, request, FailureKind.UNREACHED)
            instance.later(now + ms(2), failure)
            return
        if self.is_poisoned(request) and self.is_noted:
            self.late_arrivals += 1
        endpoint.runs.append(SimulatedRun(instance, dispatch, request, now))

    def is_up(self, name: EndpointId) -> bool:
        """Return whether an incarnation of an endpoint can be reached."""
        now = self.network.now
        return any(each.name == name and now >= each.up_at for each in self.crashing)

    @property
    def is_noted(self) -> bool:
        """Whether poisoned requests may no longer be sent."""
        now = self.network.now
        if len(self.poison_crashes) < NOTED_CRASHES or now < self.excused_until:
            return False
        return now - self.poison_crashes[NOTED_CRASHES - 1] > STABLE

    def cancel(self, instance: PoisonedInstance, effect: CancelAttempt) -> None:
        """Stop a run."""
        for endpoint in self.crashing:
            endpoint.runs = [
                run
                for run in endpoint.runs
                if run.instance is not instance
                or run.dispatch.request_id != effect.request_id
            ]

    def concluded(self, request: Request, conclusion: Conclude) -> None:
        """Record the end of a call."""
        if self.is_poisoned(request):
            return
        if conclusion.outcome is Outcome.COMPLETED:
            self.served.append(request)
        problem = conclusion.problem
        if problem is not None and problem.code is ProblemCode.QUARANTINED:
            self.refused.append(request)

    def crash(self, endpoint: CrashingEndpoint) -> None:
        """Crash an endpoint; its runs break off."""
        now = self.network.now
        if now < endpoint.up_at:
            return
        endpoint.up_at = now + DOWNTIME
        endpoint.delist_at = now + NOTICE
        self.break_connections(endpoint)

    def break_connections(self, endpoint: CrashingEndpoint) -> None:
        """Reset the connections to an endpoint, which may go on."""
        now = self.network.now
        runs, endpoint.runs = endpoint.runs, []
        for run in runs:
            phase = self._phase(run)
            failure = failed(run.dispatch, run.request, FailureKind.BROKEN, phase, run)
            if run.instance in self.instances:
                run.instance.later(now + ms(1), failure)

    def _phase(self, run: SimulatedRun) -> RunPhase:
        if run.answering:
            return RunPhase.ANSWERING
        elapsed = self.network.now - run.arrived_at
        return RunPhase.BEGUN if elapsed >= PREFILL else RunPhase.PENDING

    def step_endpoints(self) -> None:
        """Let endpoints work, crash and return."""
        now = self.network.now
        for endpoint in self.crashing:
            if endpoint.delist_at is not None and now >= endpoint.delist_at:
                self._delist_or_return(endpoint, now)
            for run in list(endpoint.runs):
                if run in endpoint.runs:
                    self._work(endpoint, run, now - run.arrived_at)

    def _delist_or_return(self, endpoint: CrashingEndpoint, now: timedelta) -> None:
        if endpoint.delist_at == endpoint.up_at:
            endpoint.incarnation += 1
            endpoint.delist_at = None
            for instance in self.instances:
                instance.handle(EndpointUsable(listed(endpoint.name, 64)))
            return
        endpoint.delist_at = endpoint.up_at
        for instance in self.instances:
            instance.handle(EndpointLeaving(endpoint.name, final=True))

    def _work(
        self, endpoint: CrashingEndpoint, run: SimulatedRun, elapsed: timedelta
    ) -> None:
        attempt = run.dispatch.attempt
        if self.is_poisoned(run.request):
            if elapsed >= CRASH:
                self.poison_crashes.append(self.network.now)
                self.crash(endpoint)
            return
        if elapsed >= FIRST_EVENT and not run.answering:
            run.answering = True
            run.instance.handle(FirstToken(run.dispatch.request_id, attempt))
        if elapsed >= RUN and run in endpoint.runs:
            endpoint.runs.remove(run)
            run.instance.handle(AttemptFinished(run.dispatch.request_id, attempt))

    def advance(
        self, span: timedelta, sound_s: float = 0.0, poisoned_s: float = 0.0
    ) -> None:
        """Advance time while sound and poisoned calls arrive at steady rates."""
        end = self.network.now + span
        due = [0.0, 0.0]
        while self.network.now < end:
            self.network.run(STEP)
            self.step_endpoints()
            for each in list(self.instances):
                each.step(self.network.now)
            due[0] += sound_s * (STEP / SECOND)
            due[1] += poisoned_s * (STEP / SECOND)
            if due[0] >= 1:
                due[0] -= 1
                self.send((SYSTEM, TOPIC))
            if due[1] >= 1:
                due[1] -= 1
                self.send((SYSTEM, POISON, TOPIC))

    def quarantine(self, number: int) -> CrashQuarantine:
        """Return the plug-in of an instance."""
        return self.instances[number].kernel.plugin(CrashQuarantine)


def failed(
    dispatch: Dispatch,
    request: Request,
    kind: FailureKind,
    phase: RunPhase = RunPhase.PENDING,
    run: SimulatedRun | None = None,
) -> AttemptFailed:
    """Return the failure of an attempt."""
    sent = Exposure.NEVER_SENT if run is None else Exposure.POSSIBLE
    interrupted = None
    if run is not None:
        interrupted = InterruptedRun(
            request.body_digest,
            request.account,
            () if phase is RunPhase.ANSWERING else request.prompt_parts,
            phase,
            run.arrived_at,
            run.instance.now,
        )
    return AttemptFailed(
        dispatch.request_id,
        dispatch.attempt,
        kind,
        sent,
        endpoint=dispatch.endpoint,
        digest=request.body_digest,
        interrupted=interrupted,
    )

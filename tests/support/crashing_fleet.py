"""Kernels and engines in virtual time; a poisoned body crashes its engine."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import count
from random import Random

from msgspec.structs import replace

import mimosafork.policies  # noqa: F401  (registers the plug-ins)
from mimosafork.clock import ManualClock
from mimosafork.ids import Incarnation, InstanceId, RequestId
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch
from mimosafork.kernel.messages.fleet import (
    InstancesListed,
    LoadReported,
    ProbeFailed,
)
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.peers import Origin, Publish
from mimosafork.kernel.messages.quarantine import DropSuspicion, StoreSuspicion
from mimosafork.kernel.messages.requests import Request, Submit
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.registry import create
from mimosafork.peers.kinds.base import kind_of

from .kernels import ZONE, configuration, engine_entry, load_report

PLUGINS = (
    "known-target",
    "quarantine",
    "attach-to-run",
    "sole-run",
    "least-requests",
    "bounded-retry",
    "first-come",
)
RUN_S = 1.0
PREFILL_S = 0.3
PROBE_S = 0.25
DOWN_S = 3.0
GOSSIP_S = 0.3


@dataclass(slots=True)
class EngineRun:
    """One attempt on an engine."""

    kernel: Kernel
    dispatch: Dispatch
    body: str


@dataclass(slots=True)
class CrashingEngine:
    """Runs attempts until one of them is poisoned.

    Attributes
    ----------
    crashes : list of set
        The bodies that were in progress at each crash.
    """

    name: str
    incarnation: int = 1
    up_at_s: float = 0.0
    cut_until_s: float = 0.0
    sequence: int = 0
    runs: dict[str, EngineRun] = field(default_factory=dict)
    crashes: list[set[str]] = field(default_factory=list)


class CrashingFleet:
    """Several instances that gossip, and engines that can crash.

    Parameters
    ----------
    engines, kernels : int
    seed : int

    Attributes
    ----------
    poison : set of str
        Bodies that crash an engine `crash_after_s` after their run started there.
    crash_after_s : float
        The length of a prefill unless set; at most that.
    crash_log : list of set
        The bodies that were in progress at each crash, oldest first.
    unreached_bodies : list of str
        The bodies whose new runs were sent to an engine that was down.
    gossip_disabled : bool
        Nothing is received from peers.
    """

    def __init__(self, engines: int, kernels: int = 2, seed: int = 4) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.poison: set[str] = set()
        self.crash_after_s = PREFILL_S
        self.bodies: dict[RequestId, str] = {}
        self.conclusions: dict[RequestId, Conclude] = {}
        self.stored_effects: list[Effect] = []
        self.gossip_disabled = False
        self.crash_log: list[set[str]] = []
        self.unreached_bodies: list[str] = []
        self.engines = {f"e{n}": CrashingEngine(f"e{n}") for n in range(engines)}
        self.kernels = [self.kernel(n) for n in range(kernels)]
        for each in self.kernels:
            self._probe(each)
            self._tick(each)

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.clock.monotonic().total_seconds()

    def kernel(self, number: int) -> Kernel:
        """Return the kernel of an instance that has just started."""
        identity = InstanceIdentity(InstanceId(f"i{number}"), Incarnation(1), ZONE)
        kernel = Kernel(identity, self.clock, Random(number), create(PLUGINS))
        self.handle(kernel, ConfigurationReceived(configuration()))
        entries = tuple(engine_entry(name) for name in self.engines)
        self.handle(kernel, InstancesListed(entries, ()))
        return kernel

    def at(self, instant_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at an instant."""
        heapq.heappush(self.events, (instant_s, next(self.numbers), action))

    def run(self, span_s: float) -> None:
        """Advance the clock and run the events that are due."""
        end_s = self.now_s + span_s
        while self.events and self.events[0][0] <= end_s:
            instant_s, _, action = heapq.heappop(self.events)
            self.clock.instant = timedelta(seconds=instant_s)
            action()
        self.clock.instant = timedelta(seconds=end_s)

    def submit(self, request: Request, kernel: int = 0) -> None:
        """Submit a request at an instance."""
        self.bodies[request.request_id] = request.body_digest
        self.handle(self.kernels[kernel], Submit(request))

    def crash(self, name: str) -> None:
        """Crash an engine; it restarts after a while without any requests."""
        engine = self.engines[name]
        bodies = {run.body for run in engine.runs.values()}
        engine.crashes.append(bodies)
        self.crash_log.append(bodies)
        engine.up_at_s = self.now_s + DOWN_S
        engine.incarnation += 1
        engine.sequence = 0
        broken, engine.runs = engine.runs, {}
        for run in broken.values():
            self._fail(run, FailureKind.BROKEN, Exposure.POSSIBLE)

    def cut(self, name: str, span_s: float) -> None:
        """Cut the network to an engine, which stays up; its streams are lost."""
        engine = self.engines[name]
        engine.cut_until_s = self.now_s + span_s
        broken, engine.runs = engine.runs, {}
        for run in broken.values():
            self._fail(run, FailureKind.BROKEN, Exposure.POSSIBLE)

    def crashed(self, body: str) -> list[str]:
        """Return the engines that crashed with a body in progress, with repeats."""
        return [
            engine.name
            for engine in self.engines.values()
            for bodies in engine.crashes
            if body in bodies
        ]

    def handle(self, kernel: Kernel, message: Message) -> None:
        """Pass a message to a kernel and apply its effects."""
        for effect in kernel.handle(message):
            if isinstance(effect, WakeAt):
                wake = partial(self.handle, kernel, effect.message)
                self.at(effect.at.total_seconds(), wake)
            elif isinstance(effect, Dispatch):
                self._dispatch(kernel, effect)
            elif isinstance(effect, CancelAttempt):
                self.engines[effect.endpoint].runs.pop(effect.stream_id, None)
            elif isinstance(effect, Conclude):
                assert effect.request_id not in self.conclusions
                self.conclusions[effect.request_id] = effect
            elif isinstance(effect, Publish):
                self._publish(kernel, effect)
            elif isinstance(effect, StoreSuspicion | DropSuspicion):
                self.stored_effects.append(effect)

    def _tick(self, kernel: Kernel) -> None:
        self.handle(kernel, Tick())
        self.at(self.now_s + TICK.total_seconds(), partial(self._tick, kernel))

    def _probe(self, kernel: Kernel) -> None:
        for engine in self.engines.values():
            if not self._answers(engine):
                self.handle(kernel, ProbeFailed(engine_entry(engine.name).endpoint))
                continue
            engine.sequence += 1
            report = replace(
                load_report(engine.name, engine.sequence),
                incarnation=Incarnation(engine.incarnation),
                running=len(engine.runs),
                lag=timedelta(milliseconds=100),
            )
            self.handle(kernel, LoadReported(report))
        self.at(self.now_s + PROBE_S, partial(self._probe, kernel))

    def _answers(self, engine: CrashingEngine) -> bool:
        return self.now_s >= max(engine.up_at_s, engine.cut_until_s)

    def _dispatch(self, kernel: Kernel, dispatch: Dispatch) -> None:
        engine = self.engines[dispatch.endpoint]
        run = EngineRun(kernel, dispatch, self.bodies[dispatch.request_id])
        if not self._answers(engine):
            if not dispatch.attach:
                self.unreached_bodies.append(run.body)
            fail = partial(self._fail, run, FailureKind.UNREACHED, Exposure.NEVER_SENT)
            self.at(self.now_s + 0.001, fail)
        elif dispatch.attach:
            fail = partial(self._fail, run, FailureKind.REFUSED, Exposure.REFUSED)
            self.at(self.now_s + 0.001, fail)
        else:
            engine.runs[dispatch.stream_id] = run
            self.at(
                self.now_s + self.crash_after_s,
                partial(self._crash_if_poisoned, engine, run),
            )
            self.at(self.now_s + PREFILL_S, partial(self._finish_prefill, engine, run))
            self.at(self.now_s + RUN_S, partial(self._finish_run, engine, run))

    def _crash_if_poisoned(self, engine: CrashingEngine, run: EngineRun) -> None:
        is_running = engine.runs.get(run.dispatch.stream_id) is run
        if is_running and run.body in self.poison:
            self.crash(engine.name)

    def _finish_prefill(self, engine: CrashingEngine, run: EngineRun) -> None:
        if engine.runs.get(run.dispatch.stream_id) is not run:
            return
        dispatch = run.dispatch
        self.handle(run.kernel, FirstToken(dispatch.request_id, dispatch.attempt))

    def _finish_run(self, engine: CrashingEngine, run: EngineRun) -> None:
        if engine.runs.get(run.dispatch.stream_id) is not run:
            return
        del engine.runs[run.dispatch.stream_id]
        dispatch = run.dispatch
        self.handle(run.kernel, AttemptFinished(dispatch.request_id, dispatch.attempt))

    def _fail(self, run: EngineRun, kind: FailureKind, exposure: Exposure) -> None:
        dispatch = run.dispatch
        failed = AttemptFailed(dispatch.request_id, dispatch.attempt, kind, exposure)
        self.handle(run.kernel, failed)

    def _publish(self, writer: Kernel, published: Publish) -> None:
        if self.gossip_disabled:
            return
        kind = kind_of(published.value)
        decoded = kind.decode(kind.encode(published.value))
        assert len(kind.encode(published.value)) <= kind.max_bytes
        own = writer.state.identity
        origin = Origin(
            own.instance,
            own.incarnation,
            own.availability_zone,
            timedelta(seconds=GOSSIP_S),
        )
        message = kind.message(published.key, decoded, origin)
        for kernel in self.kernels:
            if kernel is not writer:
                deliver = partial(self.handle, kernel, message)
                self.at(self.now_s + GOSSIP_S, deliver)

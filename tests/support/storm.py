"""Simulation of kernels and small engines under overload, in virtual time.

An engine serves a bounded number of requests concurrently and queues the rest in
order of arrival. As in the data path, an attempt without an answer after
`STALL_TIMEOUT_S` is given up, and its work so far is lost.
"""

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import count
from random import Random

import mimosafork.policies  # noqa: F401  (registers the plug-ins)
from mimosafork.clock import ManualClock
from mimosafork.ids import (
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    RequestId,
    Revision,
)
from mimosafork.kernel.configuration import Configuration, FleetPolicy, ModelPolicy
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EndpointKind,
    InstancesListed,
    LifecycleState,
    LoadReport,
    LoadReported,
)
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.plugins import Plugin
from mimosafork.kernel.registry import create

from .requests import request

MODEL = ModelId("m")
ZONE = AvailabilityZoneId("az-1")
STALL_TIMEOUT_S = 2.0
SERVICE_S = 0.2
DEADLINE = timedelta(seconds=20)
SLOTS = 4
PLUGINS = ("known-target", "least-requests", "first-come", "bounded-retry")


@dataclass(slots=True)
class Work:
    """One attempt on a small engine."""

    kernel: Kernel
    dispatch: Dispatch
    given_up: bool = False
    answered: bool = False


@dataclass(slots=True)
class SmallEngine:
    """An engine with a bounded number of slots and a FIFO queue."""

    entry: EndpointEntry
    busy: int = 0
    waiting: deque[Work] = field(default_factory=deque)


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of a run.

    Attributes
    ----------
    submitted_at_s : dict of RequestId to float
    failed_s : list of float
        Submission times of the failed requests.
    answered_s, further_attempts_s : list of float
        Times of answers and of retries.
    """

    submitted_at_s: dict[RequestId, float] = field(default_factory=dict)
    failed_s: list[float] = field(default_factory=list)
    answered_s: list[float] = field(default_factory=list)
    further_attempts_s: list[float] = field(default_factory=list)


class StormFleet:
    """Kernels, engines and an event queue in virtual time.

    Parameters
    ----------
    fleet : FleetPolicy
    kernels, engines : int
    seed : int
    extra_plugins : sequence of Plugin
        In addition to `PLUGINS`; shared by all kernels.
    """

    def __init__(
        self,
        fleet: FleetPolicy,
        kernels: int,
        engines: int,
        seed: int,
        extra_plugins: Sequence[Plugin] = (),
    ) -> None:
        self.extra_plugins = extra_plugins
        self.clock = ManualClock()
        self.random = Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.tie_breaker = count()
        self.tally = Tally()
        self.factor = 1.0
        self.refusing = False
        self.engines = {
            entry.endpoint: SmallEngine(entry)
            for entry in (_entry(number) for number in range(engines))
        }
        self.kernels = [self._kernel(fleet, number) for number in range(kernels)]

    @property
    def now_s(self) -> float:
        """Virtual time."""
        return self.clock.monotonic().total_seconds()

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that all engines serve without faults."""
        return len(self.engines) * SLOTS / SERVICE_S

    def _kernel(self, fleet: FleetPolicy, number: int) -> Kernel:
        identity = InstanceIdentity(InstanceId(f"i{number}"), Incarnation(1), ZONE)
        plugins = [*self.extra_plugins, *create(PLUGINS)]
        kernel = Kernel(identity, self.clock, Random(number), plugins)
        model = ModelPolicy(MODEL, "1", 10_000, 100)
        configuration = Configuration(
            Revision(1), Digest("d"), fleet, models={MODEL: model}
        )
        self.deliver(kernel, ConfigurationReceived(configuration))
        entries = tuple(engine.entry for engine in self.engines.values())
        self.deliver(kernel, InstancesListed(entries, ()))
        for entry in entries:
            self.deliver(kernel, LoadReported(_report(entry)))
        return kernel

    def at(self, instant_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at an instant."""
        heapq.heappush(self.events, (instant_s, next(self.tie_breaker), action))

    def run_until(self, end_s: float) -> None:
        """Run all events up to an instant."""
        while self.events and self.events[0][0] <= end_s:
            instant_s, _, action = heapq.heappop(self.events)
            self.clock.instant = timedelta(seconds=instant_s)
            action()

    def offer(self, rate_per_s: float, end_s: float) -> None:
        """Submit requests at random instants until an end, and start the ticks."""
        instant_s = 0.0
        for number in count():
            instant_s += self.random.expovariate(rate_per_s)
            if instant_s > end_s:
                break
            self.at(instant_s, partial(self._submit, number))
        for kernel in self.kernels:
            self.at(0.0, partial(self._tick, kernel, end_s))

    def _tick(self, kernel: Kernel, end_s: float) -> None:
        self.deliver(kernel, Tick())
        if self.now_s < end_s:
            self.at(
                self.now_s + TICK.total_seconds(), partial(self._tick, kernel, end_s)
            )

    def _submit(self, number: int) -> None:
        deadline = self.clock.monotonic() + DEADLINE
        submitted = request(f"r{number}", MODEL, deadline)
        self.tally.submitted_at_s[submitted.request_id] = self.now_s
        self.deliver(self.kernels[number % len(self.kernels)], Submit(submitted))

    def deliver(self, kernel: Kernel, message: Message) -> None:
        """Deliver a message to a kernel and carry out its effects."""
        for effect in kernel.handle(message):
            if isinstance(effect, WakeAt):
                wake = partial(self.deliver, kernel, effect.message)
                self.at(effect.at.total_seconds(), wake)
            elif isinstance(effect, Dispatch):
                self._dispatch(kernel, effect)
            elif isinstance(effect, Conclude):
                self._conclude(effect)

    def _conclude(self, conclude: Conclude) -> None:
        if conclude.outcome is Outcome.COMPLETED:
            self.tally.answered_s.append(self.now_s)
            return
        submitted_s = self.tally.submitted_at_s[conclude.request_id]
        self.tally.failed_s.append(submitted_s)

    def _dispatch(self, kernel: Kernel, dispatch: Dispatch) -> None:
        if dispatch.attempt > 1:
            self.tally.further_attempts_s.append(self.now_s)
        work = Work(kernel, dispatch)
        if self.refusing:
            self.at(self.now_s + 0.001, partial(self._refuse, work))
            return
        self.at(self.now_s + STALL_TIMEOUT_S, partial(self._give_up, work))
        engine = self.engines[dispatch.endpoint]
        engine.waiting.append(work)
        self._serve(engine)

    def _serve(self, engine: SmallEngine) -> None:
        while engine.busy < SLOTS and engine.waiting:
            work = engine.waiting.popleft()
            if work.given_up:
                continue
            engine.busy += 1
            service_s = SERVICE_S * self.factor
            self.at(self.now_s + service_s, partial(self._served, engine, work))

    def _served(self, engine: SmallEngine, work: Work) -> None:
        engine.busy -= 1
        if not work.given_up:
            work.answered = True
            dispatch = work.dispatch
            first = FirstToken(dispatch.request_id, dispatch.attempt)
            self.deliver(work.kernel, first)
            finished = AttemptFinished(dispatch.request_id, dispatch.attempt)
            self.deliver(work.kernel, finished)
        self._serve(engine)

    def _give_up(self, work: Work) -> None:
        if work.answered:
            return
        work.given_up = True
        self._fail(work, FailureKind.STALLED, Exposure.POSSIBLE, None)

    def _refuse(self, work: Work) -> None:
        self._fail(work, FailureKind.REFUSED, Exposure.REFUSED, "busy")

    def _fail(
        self, work: Work, kind: FailureKind, exposure: Exposure, refusal: str | None
    ) -> None:
        dispatch = work.dispatch
        failed = AttemptFailed(
            dispatch.request_id, dispatch.attempt, kind, exposure, refusal=refusal
        )
        self.deliver(work.kernel, failed)


def _entry(number: int) -> EndpointEntry:
    return EndpointEntry(
        EndpointId(f"e{number}"),
        EndpointKind.MODEL_ENGINE,
        f"127.0.0.1:{number + 1}",
        ZONE,
        Incarnation(1),
        LifecycleState.LIVE,
    )


def _report(entry: EndpointEntry) -> LoadReport:
    return LoadReport(
        endpoint=entry.endpoint,
        incarnation=entry.incarnation,
        sequence=1,
        lag=timedelta(0),
        running=0,
        waiting=0,
        waiting_prefill_tokens=0,
        kv_used=0,
        kv_capacity=100_000,
        prefill_rate=10_000.0,
        models=(MODEL,),
        draining=False,
    )

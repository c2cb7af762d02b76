"""Cost of a decision as the fleet grows: ``python -m benchmarks.decisions``."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from time import process_time

from mimosafork.clock import ManualClock
from mimosafork.ids import (
    AccountId,
    AttemptNumber,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    RequestId,
    Revision,
)
from mimosafork.kernel import registry
from mimosafork.kernel.configuration import Configuration, ModelPolicy
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EndpointKind,
    InstancesListed,
    LifecycleState,
    LoadReport,
    LoadReported,
)
from mimosafork.kernel.messages.requests import Request, RequestKind, Submit
from mimosafork.policies import LOAD_PLUGINS

SIZES = (3, 20, 100, 600)
REQUESTS = 1_000
IN_PROGRESS = 20
"""Requests that run while each further one is decided."""

ZONES = 3
MODEL = ModelId("reader")
STEP = timedelta(milliseconds=50)
"""Between two requests: an instance's share of the design peak is 19 a second."""

ONE_ENGINE_STEP = timedelta(milliseconds=400)
"""Between two requests if there is one engine, which is then a third busy."""

REPORT_EVERY = 10
"""Requests between two reports of each endpoint: half a second."""

DEADLINE = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """Processor time of one kernel at one size of the fleet, in microseconds.

    Attributes
    ----------
    decision_us : float
        From a submitted request to its dispatch.
    life_us : float
        The whole life of a request: decision, first token, end.
    report_us : float
        Taking in a load report.
    tick_us : float
    """

    endpoints: int
    decision_us: float
    life_us: float
    report_us: float
    tick_us: float


class Meter:
    """A kernel with a fleet, and the time that it has spent."""

    def __init__(self, endpoints: int) -> None:
        self.clock = ManualClock()
        identity = InstanceIdentity(
            InstanceId("i1"), Incarnation(1), AvailabilityZoneId("az-1")
        )
        plugins = registry.create(LOAD_PLUGINS)
        self.kernel = Kernel(identity, self.clock, Random(1), plugins)
        self.names = [EndpointId(f"e{number:03}") for number in range(endpoints)]
        self.random = Random(2)
        self.sequence = 0
        policy = ModelPolicy(MODEL, "1", 1_000_000, 8_192)
        configuration = Configuration(Revision(1), Digest("0"), models={MODEL: policy})
        self.kernel.handle(ConfigurationReceived(configuration))
        entries = tuple(_entry(name, n) for n, name in enumerate(self.names))
        self.kernel.handle(InstancesListed(entries, ()))

    def report(self) -> None:
        """Have every endpoint report."""
        self.sequence += 1
        for name in self.names:
            report = LoadReport(
                endpoint=name,
                incarnation=Incarnation(1),
                sequence=self.sequence,
                lag=timedelta(milliseconds=400),
                running=4,
                waiting=0,
                waiting_prefill_tokens=self.random.randrange(20_000),
                kv_used=100_000,
                kv_capacity=400_000,
                prefill_rate=30_000.0,
                models=(MODEL,),
                draining=False,
            )
            self.kernel.handle(LoadReported(report))

    def submit(self, number: int) -> None:
        """Submit a short request."""
        request = Request(
            request_id=RequestId(f"r{number}"),
            account=AccountId(f"a{number % 10}"),
            kind=RequestKind.MODEL,
            target=MODEL,
            prompt_tokens=1_000 + self.random.randrange(6_000),
            max_tokens=100,
            deadline=self.clock.monotonic() + DEADLINE,
            body_digest=Digest(f"{number:016x}"),
        )
        self.kernel.handle(Submit(request))

    def end(self, number: int) -> None:
        """Let a request have its first token and end."""
        name = RequestId(f"r{number}")
        self.kernel.handle(FirstToken(name, AttemptNumber(1)))
        self.kernel.handle(AttemptFinished(name, AttemptNumber(1)))


def _entry(name: EndpointId, number: int) -> EndpointEntry:
    return EndpointEntry(
        endpoint=name,
        kind=EndpointKind.MODEL_ENGINE,
        address=f"{name}:1",
        availability_zone=AvailabilityZoneId(f"az-{number % ZONES + 1}"),
        incarnation=Incarnation(1),
        state=LifecycleState.LIVE,
    )


def _timed(action: Callable[[], None]) -> float:
    started = process_time()
    action()
    return process_time() - started


def measure(endpoints: int, requests: int = REQUESTS) -> DecisionCost:
    """Measure at one size; reports and ticks come at the pace of a real fleet."""
    meter = Meter(endpoints)
    meter.report()
    submit_s = end_s = report_s = tick_s = 0.0
    reports = ticks = 0
    step = max(STEP, ONE_ENGINE_STEP / endpoints)
    for number in range(requests):
        meter.clock.advance(step)
        tick_s += _timed(lambda: _tick(meter))
        ticks += 1
        if number % REPORT_EVERY == 0:
            report_s += _timed(meter.report)
            reports += endpoints
        submit_s += _timed(lambda n=number: meter.submit(n))  # type: ignore[misc]
        if number >= IN_PROGRESS:
            oldest = number - IN_PROGRESS
            end_s += _timed(lambda n=oldest: meter.end(n))  # type: ignore[misc]
    waiting = len(meter.kernel.state.waiting)
    if waiting:
        raise RuntimeError(f"{waiting} requests were not dispatched")
    decision_us = 1e6 * submit_s / requests
    return DecisionCost(
        endpoints=endpoints,
        decision_us=decision_us,
        life_us=decision_us + 1e6 * end_s / (requests - IN_PROGRESS),
        report_us=1e6 * report_s / reports,
        tick_us=1e6 * tick_s / ticks,
    )


def _tick(meter: Meter) -> None:
    meter.kernel.handle(Tick())


def decision_table(requests: int = REQUESTS) -> str:
    """Measure all sizes and return a table."""
    lines = [
        f"{'endpoints':>9}{'decision':>13}{'a second':>10}{'whole life':>14}"
        f"{'report':>11}{'tick':>11}"
    ]
    for size in SIZES:
        cost = measure(size, requests)
        lines.append(
            f"{size:9}{cost.decision_us:10.0f} us{1e6 / cost.decision_us:10.0f}"
            f"{cost.life_us:11.0f} us{cost.report_us:8.0f} us{cost.tick_us:8.0f} us"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    print(decision_table())

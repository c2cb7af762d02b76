"""Kernel test harness with a small fleet and a manual clock."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import TypeVar

from msgspec.structs import replace

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
    ServiceId,
)
from mimosafork.kernel.configuration import (
    AccountPolicy,
    Configuration,
    FleetPolicy,
    ModelPolicy,
    ServicePolicy,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.attempts import AttemptFailed, Exposure, FailureKind
from mimosafork.kernel.messages.base import Effect, Message
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
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.requests import Request, RequestKind, Submit
from mimosafork.kernel.plugins import Plugin

MODEL = ModelId("reader")
SERVICE = ServiceId("desk")
ACCOUNT = AccountId("parish")
ZONE = AvailabilityZoneId("az-1")

E = TypeVar("E", bound=Effect)


@dataclass
class Bench:
    """A kernel, its clock and its emitted effects.

    Attributes
    ----------
    effects : list of Effect
        All emitted effects, oldest first.
    """

    kernel: Kernel
    clock: ManualClock
    effects: list[Effect] = field(default_factory=list)
    sequence: int = 0

    def handle(self, message: Message) -> list[Effect]:
        """Handle a message; record and return the effects."""
        emitted = self.kernel.handle(message)
        self.effects.extend(emitted)
        return emitted

    def submit(self, request: Request) -> list[Effect]:
        """Submit a request."""
        return self.handle(Submit(request))

    def handle_after(self, step: timedelta, message: Message) -> list[Effect]:
        """Advance the clock, then handle a message."""
        self.clock.advance(step)
        return self.handle(message)

    def emitted(self, kind: type[E]) -> list[E]:
        """Return all recorded effects of a type."""
        return [effect for effect in self.effects if isinstance(effect, kind)]

    def conclusion(self, request_id: str) -> Conclude | None:
        """Return the final answer of a request; fail if there are several."""
        found = [
            effect
            for effect in self.emitted(Conclude)
            if effect.request_id == request_id
        ]
        assert len(found) <= 1, found
        return found[0] if found else None

    def dispatches(self, request_id: str) -> list[Dispatch]:
        """Return the dispatched attempts of a request."""
        return [
            effect
            for effect in self.emitted(Dispatch)
            if effect.request_id == request_id
        ]

    def report(self, endpoint: str, **changes: object) -> list[Effect]:
        """Deliver a load report of an idle engine with some fields changed."""
        self.sequence += 1
        base = load_report(endpoint, self.sequence)
        return self.handle(LoadReported(replace(base, **changes)))


def load_report(endpoint: str, sequence: int) -> LoadReport:
    """Return a load report of an idle engine that serves the model."""
    return LoadReport(
        endpoint=EndpointId(endpoint),
        incarnation=Incarnation(1),
        sequence=sequence,
        lag=timedelta(0),
        running=0,
        waiting=0,
        waiting_prefill_tokens=0,
        kv_used=0,
        kv_capacity=400_000,
        prefill_rate=30_000.0,
        models=(MODEL,),
        draining=False,
    )


def engine_entry(
    endpoint: str, zone: str = ZONE, incarnation: int = 1
) -> EndpointEntry:
    """Return the list entry of a live model engine."""
    return EndpointEntry(
        endpoint=EndpointId(endpoint),
        kind=EndpointKind.MODEL_ENGINE,
        address=f"{endpoint}:1",
        availability_zone=AvailabilityZoneId(zone),
        incarnation=Incarnation(incarnation),
        state=LifecycleState.LIVE,
    )


def service_entry(endpoint: str) -> EndpointEntry:
    """Return the list entry of a live plain service."""
    engine = engine_entry(endpoint)
    return replace(engine, kind=EndpointKind.PLAIN_SERVICE, service=SERVICE)


def configuration(
    fleet: FleetPolicy | None = None,
    accounts: Sequence[AccountPolicy] = (),
    revision: int = 1,
) -> Configuration:
    """Return a configuration with one model and one service."""
    return Configuration(
        revision=Revision(revision),
        digest=Digest("00"),
        fleet=fleet or FleetPolicy(),
        models={MODEL: ModelPolicy(MODEL, "1", 1_100_000, 8_192)},
        services={SERVICE: ServicePolicy(SERVICE, timedelta(seconds=5))},
        accounts={each.account: each for each in accounts},
    )


def model_request(
    name: str,
    prompt_tokens: int = 2_000,
    deadline: timedelta = timedelta(seconds=60),
    **changes: object,
) -> Request:
    """Return an idempotent request for the model."""
    request = Request(
        request_id=RequestId(name),
        account=ACCOUNT,
        kind=RequestKind.MODEL,
        target=MODEL,
        prompt_tokens=prompt_tokens,
        max_tokens=100,
        deadline=deadline,
        body_digest=Digest(f"body-{name}"),
    )
    return replace(request, **changes)


def attempt_failure(
    name: str,
    attempt: int = 1,
    kind: FailureKind = FailureKind.BROKEN,
    exposure: Exposure = Exposure.POSSIBLE,
    delivered_tokens: int = 0,
) -> AttemptFailed:
    """Return a failure message for an attempt of a request."""
    return AttemptFailed(
        RequestId(name), AttemptNumber(attempt), kind, exposure, delivered_tokens
    )


@contextmanager
def running_kernel(
    plugins: Sequence[Plugin],
    endpoints: Sequence[EndpointEntry] = (),
    settings: Configuration | None = None,
    seed: int = 7,
) -> Iterator[Bench]:
    """Yield a kernel that has its configuration and endpoints.

    All model engines have reported that they are idle.
    """
    clock = ManualClock()
    identity = InstanceIdentity(InstanceId("i1"), Incarnation(1), ZONE)
    bench = Bench(Kernel(identity, clock, Random(seed), plugins), clock)
    bench.handle(ConfigurationReceived(settings or configuration()))
    bench.handle(InstancesListed(tuple(endpoints), ()))
    for entry in endpoints:
        if entry.kind is EndpointKind.MODEL_ENGINE:
            bench.report(entry.endpoint, incarnation=entry.incarnation)
    bench.effects.clear()
    yield bench

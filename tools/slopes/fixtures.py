"""Kernels, fleets and requests of any size for the probes."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

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
from mimosafork.kernel.configuration import AccountPolicy, Configuration, ModelPolicy
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken, Usage
from mimosafork.kernel.messages.base import Effect
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
from mimosafork.kernel.messages.requests import Request, RequestKind, Submit
from mimosafork.kernel.registry import create
from mimosafork.policies import DEFAULT_PLUGINS

from .design_size import DesignSize

SEED = 20261202
SIZE = DesignSize()
MODELS = tuple(ModelId(f"model-{number}") for number in range(SIZE.models))
PROMPT_TOKENS = 6_000
ANSWER_TOKENS = 330
TIME_LIMIT = timedelta(seconds=120)
STEP = timedelta(milliseconds=5)


@dataclass(slots=True)
class Rig:
    """A kernel with its clock."""

    kernel: Kernel
    clock: ManualClock


def account_policies(number: int) -> dict[AccountId, AccountPolicy]:
    """Return policies of so many client accounts."""
    policies = {}
    for index in range(number):
        account = AccountId(f"account-{index:05d}")
        policies[account] = AccountPolicy(
            account=account,
            key_hashes=(Digest(f"{index:064x}"),),
            tokens_per_second=1e9,
            burst_tokens=10**9,
        )
    return policies


def configuration(accounts: int, revision: int = 1) -> Configuration:
    """Return a configuration with the design size's models."""
    models = {model: ModelPolicy(model, "1", 2_000_000, 100_000) for model in MODELS}
    return Configuration(
        revision=Revision(revision),
        digest=Digest(f"{revision:064x}"),
        models=models,
        accounts=account_policies(accounts),
    )


def entries(number: int) -> tuple[EndpointEntry, ...]:
    """Return so many model engines, spread over the availability zones."""
    return tuple(
        EndpointEntry(
            endpoint=EndpointId(f"endpoint-{index:05d}"),
            kind=EndpointKind.MODEL_ENGINE,
            address=f"10.0.{index // 250}.{index % 250}:8000",
            availability_zone=AvailabilityZoneId(
                f"zone-{index % SIZE.availability_zones}"
            ),
            incarnation=Incarnation(1),
            state=LifecycleState.LIVE,
        )
        for index in range(number)
    )


def report(index: int, sequence: int) -> LoadReport:
    """Return a load report of the endpoint with an index."""
    return LoadReport(
        endpoint=EndpointId(f"endpoint-{index:05d}"),
        incarnation=Incarnation(1),
        sequence=sequence,
        lag=timedelta(milliseconds=400),
        running=20,
        waiting=2,
        waiting_prefill_tokens=12_000,
        kv_used=150_000,
        kv_capacity=400_000,
        prefill_rate=30_000.0,
        models=(MODELS[index % len(MODELS)],),
        draining=False,
    )


def rig(endpoints: int, accounts: int = 10) -> Rig:
    """Return a kernel that knows so many endpoints and client accounts."""
    clock = ManualClock(start=timedelta(seconds=1))
    identity = InstanceIdentity(
        InstanceId("instance-0"), Incarnation(1), AvailabilityZoneId("zone-0")
    )
    kernel = Kernel(identity, clock, Random(SEED), create(DEFAULT_PLUGINS))
    kernel.handle(ConfigurationReceived(configuration(accounts)))
    kernel.handle(InstancesListed(entries(endpoints), ()))
    for index in range(endpoints):
        kernel.handle(LoadReported(report(index, 1)))
    return Rig(kernel, clock)


def request(number: int, now: timedelta, accounts: int = 10) -> Request:
    """Return the request with a number."""
    return Request(
        request_id=RequestId(f"request-{number:08d}"),
        account=AccountId(f"account-{number % accounts:05d}"),
        kind=RequestKind.MODEL,
        target=MODELS[number % len(MODELS)],
        prompt_tokens=PROMPT_TOKENS,
        max_tokens=ANSWER_TOKENS,
        deadline=now + TIME_LIMIT,
        body_digest=Digest(f"{number:032x}"),
    )


def submit(target: Rig, number: int, accounts: int = 10) -> Sequence[Effect]:
    """Submit the request with a number; return the effects."""
    target.clock.advance(STEP)
    now = target.clock.monotonic()
    return target.kernel.handle(Submit(request(number, now, accounts)))


def dispatched(effects: Sequence[Effect]) -> Dispatch:
    """Return the dispatch among the effects.

    Raises
    ------
    RuntimeError
        If there is none: the probe would then measure refusals.
    """
    for effect in effects:
        if isinstance(effect, Dispatch):
            return effect
    raise RuntimeError(f"the request was not dispatched: {effects}")


def serve(target: Rig, number: int, accounts: int = 10) -> None:
    """Take a request through its whole life on its first attempt."""
    place = dispatched(submit(target, number, accounts))
    attempt = AttemptNumber(1)
    target.kernel.handle(FirstToken(place.request_id, attempt))
    usage = Usage(PROMPT_TOKENS, 0, ANSWER_TOKENS)
    target.kernel.handle(AttemptFinished(place.request_id, attempt, usage))

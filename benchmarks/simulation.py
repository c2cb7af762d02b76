"""Real kernels of all entry instances against fake endpoints, in virtual time."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod
from random import Random

from mimosafork.ids import (
    AccountId,
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
from mimosafork.kernel import registry
from mimosafork.kernel.configuration import (
    AccountPolicy,
    Configuration,
    FleetPolicy,
    ModelPolicy,
    ServicePolicy,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.configuration import (
    ConfigurationChanged,
    ConfigurationReceived,
)
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EndpointKind,
    EntryInstance,
    InstancesListed,
    LifecycleState,
)
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.placement import (
    FreeOwnHolding,
    ImportKv,
    PrefillSegment,
    ReserveMemory,
)
from mimosafork.kernel.messages.requests import Request, RequestKind, Submit
from mimosafork.kernel.messages.timers import WakeAt

from .deployments import Deployment
from .fake_endpoints import EngineEndpoint, ServiceEndpoint
from .virtual_time import EventLoop
from .workload import Band, Call

MODEL = ModelId("reader")
SERVICE = ServiceId("desk")
FIRST_LIFE = Incarnation(1)
REPORT_EVERY_S = 0.25
REPORT_LAG_S = 0.4
FORCED_EXTRA_S = 600.0
"""Time that a forced call seems to have besides its own: it is let in, and judged by
its own time."""

DRAIN_S = 1_400.0
"""Time after the last arrival by which every request has ended."""


@dataclass(frozen=True, slots=True)
class PolicySet:
    """A choice of plug-ins under a name."""

    name: str
    plugins: tuple[str, ...]


@dataclass(slots=True)
class Instance:
    """An entry instance: its kernel and the calls that it serves."""

    name: str
    zone: str
    kernel: Kernel
    calls: dict[RequestId, Call] = field(default_factory=dict)


class Simulation:
    """One run of a policy over a list of calls.

    Parameters
    ----------
    deployment : Deployment
    policy : PolicySet
    calls : list of Call
        Their results are filled in.
    seed : int
    accounts : sequence of AccountPolicy, optional
        Limits; without any, accounts have none.
    """

    def __init__(
        self,
        deployment: Deployment,
        policy: PolicySet,
        calls: list[Call],
        seed: int,
        accounts: Sequence[AccountPolicy] = (),
    ) -> None:
        self.deployment = deployment
        self.policy = policy
        self.calls = calls
        self.loop = EventLoop()
        self.random = Random(seed)
        self.configuration = _configuration(deployment, accounts)
        self.engines = {
            EndpointId(f"e{n}"): EngineEndpoint(
                self, EndpointId(f"e{n}"), deployment.zone_of(n), n
            )
            for n in range(deployment.engines)
        }
        self.services = {
            EndpointId(f"s{n}"): ServiceEndpoint(
                self, EndpointId(f"s{n}"), deployment.zone_of(n), seed + n
            )
            for n in range(deployment.services)
        }
        self.instances = [
            self._make_instance(n, seed) for n in range(deployment.entry_instances)
        ]
        self.open_calls = len(calls)

    def _make_instance(self, number: int, seed: int) -> Instance:
        zone = self.deployment.zone_of(number)
        name = InstanceId(f"i{number}")
        identity = InstanceIdentity(name, FIRST_LIFE, AvailabilityZoneId(zone))
        plugins = registry.create(self.policy.plugins)
        kernel = Kernel(identity, self.loop, Random(seed * 100 + number), plugins)
        return Instance(name, zone, kernel)

    def run(self) -> None:
        """Run until every call has its final answer."""
        listed = self._instance_list()
        for number, instance in enumerate(self.instances):
            self.tell(instance, ConfigurationReceived(self.configuration))
            self.tell(instance, listed)
            offset_s = number * TICK.total_seconds() / len(self.instances)
            self.loop.after(offset_s, self._tick, instance)
        for number, endpoint in enumerate(self.engines.values()):
            offset_s = number * REPORT_EVERY_S / len(self.engines)
            self.loop.after(offset_s, self._report, endpoint)
        for call in self.calls:
            at_s = call.arrival_s + self.deployment.client_s
            self.loop.at(at_s, self._submit, call)
        last_s = max(call.arrival_s for call in self.calls)
        self.loop.run(last_s + DRAIN_S)

    def tell(self, instance: Instance, message: Message) -> None:
        """Have an instance's kernel handle a message and do what it wants."""
        for effect in instance.kernel.handle(message):
            self.carry_out(effect, instance)

    def tell_later(self, pause_s: float, instance: Instance, message: Message) -> None:
        """Tell an instance's kernel a message after a pause."""
        self.loop.after(pause_s, self.tell, instance, message)

    def _tick(self, instance: Instance) -> None:
        self.tell(instance, Tick())
        if self.open_calls:
            self.loop.after(TICK.total_seconds(), self._tick, instance)

    def _report(self, endpoint: EngineEndpoint) -> None:
        message = endpoint.load_report(timedelta(seconds=REPORT_LAG_S))
        for instance in self.instances:
            self.tell_later(REPORT_LAG_S, instance, message)
        if self.open_calls:
            self.loop.after(REPORT_EVERY_S, self._report, endpoint)

    def _submit(self, call: Call) -> None:
        instance = self.instances[call.entry]
        left_s = call.deadline_s - 2 * self.deployment.client_s
        if call.forced:
            left_s += FORCED_EXTRA_S
        is_service = call.band is Band.SERVICE
        request = Request(
            request_id=RequestId(f"r{call.number}"),
            account=AccountId(f"a{call.account}"),
            kind=RequestKind.SERVICE if is_service else RequestKind.MODEL,
            target=SERVICE if is_service else MODEL,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            deadline=timedelta(seconds=self.loop.now_s + left_s),
            body_digest=Digest(f"{call.number:016x}"),
            prefix_marks=call.marks,
        )
        instance.calls[request.request_id] = call
        self.tell(instance, Submit(request))

    @singledispatchmethod
    def carry_out(self, effect: Effect, instance: Instance) -> None:
        """Do what a kernel wants done."""
        raise TypeError(f"nothing carries out {type(effect).__name__}")

    @carry_out.register
    def _(self, effect: Dispatch, instance: Instance) -> None:
        endpoint = self.engines.get(effect.endpoint) or self.services[effect.endpoint]
        call = instance.calls[effect.request_id]
        call.attempts += 1
        pause_s = self.one_way_s(instance, endpoint.zone)
        self.loop.after(pause_s, endpoint.receive, effect, call, instance)

    @carry_out.register
    def _(self, effect: CancelAttempt, instance: Instance) -> None:
        endpoint = self.engines.get(effect.endpoint) or self.services[effect.endpoint]
        pause_s = self.one_way_s(instance, endpoint.zone)
        self.loop.after(pause_s, endpoint.cancel, effect.stream_id)

    @carry_out.register
    def _(self, effect: ConfigurationChanged, instance: Instance) -> None:
        """Do nothing: the server's adapters want to know, and there are none."""

    @carry_out.register
    def _(self, effect: ReserveMemory, instance: Instance) -> None:
        endpoint = self.engines[effect.endpoint]
        pause_s = self.one_way_s(instance, endpoint.zone)
        self.loop.after(pause_s, endpoint.reserve, effect, instance)

    @carry_out.register
    def _(self, effect: PrefillSegment, instance: Instance) -> None:
        endpoint = self.engines[effect.endpoint]
        pause_s = self.one_way_s(instance, endpoint.zone)
        self.loop.after(pause_s, endpoint.prefill, effect, instance)

    @carry_out.register
    def _(self, effect: ImportKv, instance: Instance) -> None:
        endpoint = self.engines[effect.endpoint]
        pause_s = self.one_way_s(instance, endpoint.zone)
        self.loop.after(pause_s, endpoint.import_kv, effect, instance)

    @carry_out.register
    def _(self, effect: FreeOwnHolding, instance: Instance) -> None:
        endpoint = self.engines[effect.endpoint]
        pause_s = self.one_way_s(instance, endpoint.zone)
        self.loop.after(pause_s, endpoint.free, effect)

    @carry_out.register
    def _(self, effect: WakeAt, instance: Instance) -> None:
        at_s = effect.at.total_seconds()
        self.loop.at(at_s, self.tell, instance, effect.message)

    @carry_out.register
    def _(self, effect: Conclude, instance: Instance) -> None:
        call = instance.calls.pop(effect.request_id)
        call.outcome = effect.outcome.value
        call.end_s = self.loop.now_s + self.deployment.client_s
        self.open_calls -= 1
        if effect.outcome is Outcome.COMPLETED or effect.problem is None:
            return
        call.problem = effect.problem.code.value
        if effect.problem.retry_after is not None:
            call.retry_after_s = effect.problem.retry_after.total_seconds()

    def engine_at(self, address: str) -> EngineEndpoint:
        """Return the engine of an address."""
        return self.engines[EndpointId(address.partition(":")[0])]

    def one_way_s(self, instance: Instance, zone: str) -> float:
        """Return the time that bytes take from an instance to a zone."""
        return self.deployment.one_way_s(instance.zone, zone)

    def _instance_list(self) -> InstancesListed:
        served: list[EngineEndpoint | ServiceEndpoint] = []
        served += self.engines.values()
        served += self.services.values()
        endpoints = [
            EndpointEntry(
                endpoint=each.name,
                kind=each.kind,
                address=f"{each.name}:1",
                availability_zone=AvailabilityZoneId(each.zone),
                incarnation=FIRST_LIFE,
                state=LifecycleState.LIVE,
                service=SERVICE if each.kind is EndpointKind.PLAIN_SERVICE else None,
            )
            for each in served
        ]
        instances = [
            EntryInstance(
                instance=InstanceId(each.name),
                address=f"{each.name}:1",
                peer_address=f"{each.name}:2",
                availability_zone=AvailabilityZoneId(each.zone),
                incarnation=FIRST_LIFE,
                state=LifecycleState.LIVE,
            )
            for each in self.instances
        ]
        return InstancesListed(tuple(endpoints), tuple(instances))


def _configuration(
    deployment: Deployment, accounts: Sequence[AccountPolicy]
) -> Configuration:
    return Configuration(
        revision=Revision(1),
        digest=Digest("00"),
        fleet=FleetPolicy(long_share=deployment.long_share),
        models={MODEL: ModelPolicy(MODEL, "1", 1_100_000, 8_192)},
        services={SERVICE: ServicePolicy(SERVICE, timedelta(seconds=2))},
        accounts={each.account: each for each in accounts},
    )

"""Kernels that exchange state with each other, in virtual time.

Each instance has the real kernel with the membership plug-ins and a real exchanger;
probes and exchanges happen when the test advances the clock.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.ids import EndpointId
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.fleet import (
    EndpointEntry,
    EntryInstance,
    InstancesListed,
    LifecycleState,
    LoadReport,
    LoadReported,
    ProbeFailed,
)
from mimosafork.kernel.messages.peers import (
    Member,
    MembersChanged,
    MemberState,
    Publish,
)
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.messages.watch import WatchedEndpoint, WatchEndpoints
from mimosafork.kernel.registry import create
from mimosafork.peers.members import MembersView
from tests.support.kernels import configuration, load_report, model_request
from tests.support.peer_nodes import Node, identity, node

PLUGINS = (
    "known-target",
    "first-come",
    "bounded-retry",
    "least-requests",
    "membership",
    "endpoint-words",
)
STEP = timedelta(seconds=1)


@dataclass
class FakeEndpoint:
    """An endpoint that answers probes."""

    entry: EndpointEntry
    sequence: int = 0
    draining: bool = False
    answers: bool = True

    def probe(self) -> LoadReport | None:
        """Return the current report; None if the endpoint does not answer."""
        if not self.answers:
            return None
        self.sequence += 1
        report = load_report(self.entry.endpoint, self.sequence)
        incarnation = self.entry.incarnation
        return replace(report, draining=self.draining, incarnation=incarnation)


@dataclass
class SimulatedInstance:
    """A kernel with its exchanger."""

    kernel: Kernel
    peer: Node
    view: MembersView
    watched: tuple[WatchedEndpoint, ...] = ()
    published: list[Publish] = field(default_factory=list)
    dispatched: list[Dispatch] = field(default_factory=list)
    frozen: bool = False
    unreachable: set[EndpointId] = field(default_factory=set)

    @property
    def name(self) -> str:
        """The instance's id."""
        return self.kernel.state.identity.instance

    @property
    def zone(self) -> str:
        """The instance's availability zone."""
        return self.kernel.state.identity.availability_zone

    def handle(self, message: Message) -> None:
        """Handle a message and apply the effects that the tests need."""
        for effect in self.kernel.handle(message):
            if isinstance(effect, WatchEndpoints):
                self.watched = effect.endpoints
            elif isinstance(effect, Publish):
                self.published.append(effect)
                exchanger = self.peer.exchanger
                exchanger.publish(effect.key, effect.value, effect.scope)
            elif isinstance(effect, Dispatch):
                self.dispatched.append(effect)

    def handle_received(self) -> None:
        """Pass the messages received from peers to the kernel."""
        messages, self.peer.told[:] = list(self.peer.told), []
        for message in messages:
            self.handle(message)


class Deployment:
    """Instances and endpoints that share one clock."""

    def __init__(
        self,
        zones: dict[str, int],
        endpoints: list[EndpointEntry],
        plugins: tuple[str, ...] = PLUGINS,
    ) -> None:
        self.plugins = plugins
        self.clock = ManualClock()
        self.random = Random(5)
        self.endpoints = {each.endpoint: FakeEndpoint(each) for each in endpoints}
        self.instances = [
            self._instance(f"{zone}-i{number}", zone)
            for zone, count in zones.items()
            for number in range(count)
        ]
        self.requests = 0
        for instance in self.instances:
            instance.handle(ConfigurationReceived(configuration()))

    def _instance(self, name: str, zone: str) -> SimulatedInstance:
        plugins = create(self.plugins)
        kernel = Kernel(identity(name, zone), self.clock, Random(name), plugins)
        peer = node(name, self.clock, zone)
        return SimulatedInstance(kernel, peer, MembersView(peer.exchanger.store, 0.0))

    def named(self, name: str) -> SimulatedInstance:
        """Return the instance of this name."""
        return next(each for each in self.instances if each.name == name)

    def list_endpoints(self, *entries: EndpointEntry) -> None:
        """Let every instance read the platform's list."""
        for instance in self._awake():
            instance.handle(InstancesListed(entries, ()))

    def list_all(self, *entries: EndpointEntry) -> None:
        """Let every instance read a list that includes the instances."""
        instances = tuple(
            EntryInstance(
                instance_identity.instance,
                "127.0.0.1:1",
                "127.0.0.1:2",
                instance_identity.availability_zone,
                instance_identity.incarnation,
                LifecycleState.LIVE,
            )
            for each in self.instances
            for instance_identity in [each.kernel.state.identity]
        )
        for instance in self._awake():
            instance.handle(InstancesListed(entries, instances))

    def step(self, exchanges: int = 2) -> None:
        """Advance by one second, with probes, ticks and some exchanges."""
        self.clock.advance(STEP)
        for instance in self._awake():
            self._probe(instance)
            instance.handle(Tick())
            instance.peer.exchanger.store.beat(instance.peer.exchanger.now_s())
        for instance in self._awake():
            self._exchange(instance, exchanges)
        for instance in self._awake():
            instance.handle_received()
            changed = instance.view.changed({}, instance.peer.exchanger.now_s())
            if changed is not None:
                instance.handle(changed)

    def steps(self, count: int) -> None:
        """Advance by some seconds."""
        for _ in range(count):
            self.step()

    def submit_everywhere(self) -> None:
        """Submit a request at each instance."""
        for instance in self._awake():
            self.requests += 1
            deadline = self.clock.monotonic() + timedelta(seconds=60)
            name = f"r{self.requests}"
            instance.handle(Submit(model_request(name, deadline=deadline)))

    def watchers(self, endpoint: str) -> list[str]:
        """Return the names of an endpoint's watchers."""
        return [
            instance.name
            for instance in self._awake()
            if endpoint in {each.endpoint for each in instance.watched}
        ]

    def _awake(self) -> list[SimulatedInstance]:
        return [instance for instance in self.instances if not instance.frozen]

    def _probe(self, instance: SimulatedInstance) -> None:
        for watched in instance.watched:
            endpoint = self.endpoints[watched.endpoint]
            cut = watched.endpoint in instance.unreachable
            report = None if cut else endpoint.probe()
            if report is None:
                instance.handle(ProbeFailed(watched.endpoint))
            else:
                instance.handle(LoadReported(report))

    def _exchange(self, instance: SimulatedInstance, exchanges: int) -> None:
        others = [each for each in self._awake() if each is not instance]
        same_zone = [each for each in others if each.zone == instance.zone]
        for other in self.random.sample(same_zone, min(exchanges, len(same_zone))):
            instance.peer.exchange_with(other.peer)
        for zone in sorted({each.zone for each in others} - {instance.zone}):
            other_zone = [each for each in others if each.zone == zone]
            instance.peer.exchange_with(
                self.random.choice(other_zone).peer, own_zone=False
            )


def members(*names: str, suspect: tuple[str, ...] = ()) -> MembersChanged:
    """Return a message that lists these instances as the zone's members."""
    found = []
    for name in names:
        instance_identity = identity(name)
        state = MemberState.SUSPECT if name in suspect else MemberState.LIVE
        found.append(
            Member(
                instance_identity.instance,
                instance_identity.incarnation,
                instance_identity.availability_zone,
                "",
                state,
                configuration().revision,
            )
        )
    return MembersChanged(tuple(found), ())

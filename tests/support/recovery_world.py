"""Simulated instances, engines, store and gossip in virtual time, with faults."""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

import mimosafork.policies  # noqa: F401  (registers the plug-ins)
from mimosafork.clock import ManualClock
from mimosafork.ids import Digest, Incarnation, InstanceId, RequestId
from mimosafork.kernel.configuration import Configuration, ModelPolicy
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch
from mimosafork.kernel.messages.fleet import (
    EntryInstance,
    FencingMode,
    InstancesListed,
    LifecycleState,
    LoadReported,
    ProbeFailed,
)
from mimosafork.kernel.messages.leases import Duty
from mimosafork.kernel.messages.orders import ReadState, SendOrder
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.peers import Origin, Publish
from mimosafork.kernel.messages.quarantine import DropSuspicion, StoreSuspicion
from mimosafork.kernel.messages.recovery import FreeHolding, ListHoldings
from mimosafork.kernel.messages.requests import Request, Submit
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.registry import create
from mimosafork.leases.keeper import LeaseKeeper
from mimosafork.leases.task import LeaseTask
from mimosafork.leases.view import LeaseView
from mimosafork.network.errors import NeverSentError
from mimosafork.network.http import Answer
from mimosafork.orders.budget import WeightBudget
from mimosafork.orders.sender import OrderSender
from mimosafork.orders.task import OrderTask
from mimosafork.peers.kinds.base import kind_of
from mimosafork.quarantine.task import SuspicionTask
from mimosafork.recovery.task import CleaningTask

from .fake_table import FakeTable
from .kernels import MODEL, ZONE, configuration
from .recovery_engine import PREFILL_TIME, RUN_TIME, Stream, WorldEngine

STEP = timedelta(milliseconds=250)
RESTART_TIME = timedelta(seconds=2)
LOAD_INTERVAL = timedelta(seconds=20)
GOSSIP_STEPS = 2
PLUGINS = (
    "known-target",
    "quarantine",
    "attach-to-run",
    "sole-run",
    "least-requests",
    "bounded-retry",
    "first-come",
    "rollout",
    "recovery",
)


class Node:
    """One incarnation of an entry instance."""

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        self.world = world
        clock = world.clock
        self.identity = InstanceIdentity(
            InstanceId(name), Incarnation(incarnation), ZONE
        )
        seed = Random(f"{name}/{incarnation}")
        self.kernel = Kernel(self.identity, clock, seed, create(PLUGINS))
        self.view = LeaseView()
        keepers = [
            LeaseKeeper(self.identity, duty, world.table, clock, seed) for duty in Duty
        ]
        self.leases = LeaseTask(keepers, clock, self.view, self.deliver)
        self.budget = WeightBudget(
            self.identity.instance, world.table, clock, seed, LOAD_INTERVAL
        )
        sender = OrderSender(self, clock, self.view)
        self.orders = OrderTask(sender, self.budget, clock, self.deliver)
        self.cleaning = CleaningTask(self, self.deliver)
        self.suspicions = SuspicionTask(world.table, clock, seed, self.deliver)
        self.is_frozen = False
        self.is_dead = False
        self.pending: deque[Message] = deque()
        self.timers: list[WakeAt] = []

    def deliver(self, message: Message) -> None:
        """Send the kernel a message, now or when the process resumes."""
        if self.is_dead:
            return
        if self.is_frozen:
            self.pending.append(message)
            return
        for effect in self.kernel.handle(message):
            self._carry_out(effect)

    def resume(self) -> None:
        """Resume after a freeze, with all messages that have arrived meanwhile."""
        self.is_frozen = False
        while self.pending:
            self.deliver(self.pending.popleft())

    def step(self) -> None:
        """Run what is due."""
        now = self.world.clock.monotonic()
        due = [timer for timer in self.timers if timer.at <= now]
        self.timers = [timer for timer in self.timers if timer.at > now]
        for timer in due:
            self.deliver(timer.message)
        self.leases.idle()
        self.deliver(Tick())
        self.orders.idle()
        self.suspicions.idle()

    def holds(self, duty: Duty) -> bool:
        """Return whether it holds a valid lease now."""
        lease = self.view.current(duty)
        return lease is not None and lease.covers(self.world.clock.monotonic())

    def call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        timeout: timedelta | None = None,
    ) -> Answer:
        """Call an engine, as the HTTP port of the order and the cleaning tasks."""
        now = self.world.clock.monotonic()
        engine = self.world.engines[address]
        if path == "/v1/orders" and not self.holds(Duty.ORDERS):
            self.world.orders_without_lease += 1
        if not engine.answers(now):
            raise NeverSentError("it can't be reached")
        return engine.call(method, path, body, now)

    def _carry_out(self, effect: object) -> None:
        if isinstance(effect, WakeAt):
            self.timers.append(effect)
        elif isinstance(effect, SendOrder | ReadState):
            self.orders.receive(effect)
        elif isinstance(effect, ListHoldings | FreeHolding):
            self.cleaning.receive(effect)
        elif isinstance(effect, StoreSuspicion | DropSuspicion):
            self.suspicions.receive(effect)
        elif isinstance(effect, Publish):
            self.world.publish(self, effect)
        elif isinstance(effect, Dispatch):
            self.world.dispatch(self, effect)
        elif isinstance(effect, CancelAttempt):
            self.world.engines[effect.endpoint].streams.pop(effect.stream_id, None)
        elif isinstance(effect, Conclude):
            self.world.conclude(effect)


@dataclass(slots=True)
class InTransitMessage:
    """A message on its way to one instance."""

    steps_left: int
    node: Node
    message: Message


@dataclass
class World:
    """Simulation of instances, engines, the store and the platform, stepped by hand.

    Attributes
    ----------
    crashing_bodies : set of Digest
        Bodies that crash an engine at the end of their prefill.
    replaced_nodes : list of Node
        Incarnations that have ended.
    is_partitioned, was_partitioned : bool
        Whether instances are, or ever were, partitioned from each other.
    max_crashing_engines : int
        Most engines that ran a crashing body at one time.
    orders_without_lease : int
        Orders that were sent without a valid lease.
    """

    names: tuple[str, ...] = ("i1", "i2", "i3")
    engine_count: int = 4
    clock: ManualClock = field(default_factory=ManualClock)
    table: FakeTable = field(default_factory=FakeTable)
    crashing_bodies: set[Digest] = field(default_factory=set)
    requests: dict[RequestId, Request] = field(default_factory=dict)
    home_nodes: dict[RequestId, Node] = field(default_factory=dict)
    conclusions: dict[RequestId, Conclude] = field(default_factory=dict)
    concluded_at: dict[RequestId, timedelta] = field(default_factory=dict)
    in_transit: list[InTransitMessage] = field(default_factory=list)
    latest_messages: dict[tuple[InstanceId, int, str], Message] = field(
        default_factory=dict
    )
    replaced_nodes: list[Node] = field(default_factory=list)
    is_partitioned: bool = False
    was_partitioned: bool = False
    max_crashing_engines: int = 0
    orders_without_lease: int = 0
    revision: int = 0
    model_version: str = "1"

    def __post_init__(self) -> None:
        modes = list(FencingMode)
        engines = [
            WorldEngine(f"e{number}", modes[number % len(modes)])
            for number in range(self.engine_count)
        ]
        self.engines = {engine.name: engine for engine in engines}
        for engine in engines:
            engine.models[self.model_version] = timedelta(0)
        self.nodes = {name: Node(self, name, 1) for name in self.names}
        self.set_model_version(self.model_version)
        self.publish_instance_list()

    @property
    def now(self) -> timedelta:
        """Virtual time."""
        return self.clock.monotonic()

    def run(self, span: timedelta) -> None:
        """Let time pass."""
        for _ in range(max(1, span // STEP)):
            self.clock.advance(STEP)
            self._run_engines()
            self._probe()
            self._deliver_messages()
            for node in list(self.nodes.values()):
                if not node.is_frozen:
                    node.step()

    def set_model_version(self, version: str) -> None:
        """Apply a configuration with a model version everywhere."""
        self.revision += 1
        self.model_version = version
        for node in self.nodes.values():
            node.deliver(ConfigurationReceived(self._configuration()))

    def publish_instance_list(self) -> None:
        """Have all instances read the platform's list."""
        engines = tuple(engine.entry for engine in self.engines.values())
        instances = tuple(
            EntryInstance(
                node.identity.instance,
                "a:1",
                "a:2",
                ZONE,
                node.identity.incarnation,
                LifecycleState.LIVE,
            )
            for node in self.nodes.values()
        )
        for node in self.nodes.values():
            node.deliver(InstancesListed(engines, instances))

    def replace(self, name: str) -> None:
        """Kill an instance and start it again under its id."""
        old = self.nodes[name]
        old.is_dead = True
        self.replaced_nodes.append(old)
        new_node = Node(self, name, old.identity.incarnation + 1)
        self.nodes[name] = new_node
        new_node.deliver(ConfigurationReceived(self._configuration()))
        self.publish_instance_list()
        self._catch_up(new_node)

    def submit(self, name: str, request: Request) -> None:
        """Have a client send a request to an instance."""
        self.requests[request.request_id] = request
        self.home_nodes[request.request_id] = self.nodes[name]
        self.nodes[name].deliver(Submit(request))

    def crash(self, name: str) -> None:
        """Crash an engine."""
        engine = self.engines[name]
        lost = engine.crash(self.now, RESTART_TIME)
        engine.observed_crashes.append(
            {each.body for each in lost if self._is_observed(each)}
        )
        for stream in lost:
            self._fail(stream, FailureKind.BROKEN, Exposure.POSSIBLE)

    def cut(self, name: str, span: timedelta) -> None:
        """Cut the network to an engine; its streams run on unread."""
        engine = self.engines[name]
        engine.cut_until = self.now + span
        for stream in engine.streams.values():
            self._fail(stream, FailureKind.BROKEN, Exposure.POSSIBLE)

    def dispatch(self, node: Node, dispatch: Dispatch) -> None:
        """Send an attempt to its engine."""
        engine = self.engines[dispatch.endpoint]
        stream = Stream(
            dispatch,
            node.identity.instance,
            node.identity.incarnation,
            self.requests[dispatch.request_id].body_digest,
            self.now,
        )
        if not engine.answers(self.now):
            self._fail(stream, FailureKind.UNREACHED, Exposure.NEVER_SENT)
        elif not dispatch.attach:
            engine.started.add(dispatch.request_id)
            engine.streams[dispatch.stream_id] = stream
            self._count_crashing_engines()
        elif dispatch.stream_id in engine.streams:
            engine.streams[dispatch.stream_id].dispatch = dispatch
        else:
            self._fail(stream, FailureKind.REFUSED, Exposure.REFUSED)

    def conclude(self, conclusion: Conclude) -> None:
        """Store a request's final answer, of which there is one."""
        assert conclusion.request_id not in self.conclusions
        self.conclusions[conclusion.request_id] = conclusion
        self.concluded_at[conclusion.request_id] = self.now

    def publish(self, writer: Node, published: Publish) -> None:
        """Send a published value to all other instances."""
        if self.is_partitioned or writer.is_dead:
            return
        kind = kind_of(published.value)
        value = kind.decode(kind.encode(published.value))
        own = writer.identity
        age = GOSSIP_STEPS * STEP
        origin = Origin(own.instance, own.incarnation, own.availability_zone, age)
        message = kind.message(published.key, value, origin)
        self.latest_messages[own.instance, kind.number, published.key] = message
        for node in self.nodes.values():
            if node is not writer:
                self.in_transit.append(InTransitMessage(GOSSIP_STEPS, node, message))

    def _is_observed(self, stream: Stream) -> bool:
        """Return whether a running instance observes the loss of a stream."""
        node = self.home_nodes[stream.dispatch.request_id]
        return not node.is_dead and not node.is_frozen

    def _count_crashing_engines(self) -> None:
        running = [
            engine
            for engine in self.engines.values()
            if any(
                stream.body in self.crashing_bodies
                for stream in engine.streams.values()
            )
        ]
        self.max_crashing_engines = max(self.max_crashing_engines, len(running))

    def _catch_up(self, new_node: Node) -> None:
        """Send a new incarnation the values of its peers, but not its own."""
        own = new_node.identity.instance
        self.latest_messages = {
            key: each for key, each in self.latest_messages.items() if key[0] != own
        }
        if self.is_partitioned:
            return
        for message in self.latest_messages.values():
            self.in_transit.append(InTransitMessage(GOSSIP_STEPS, new_node, message))

    def _deliver_messages(self) -> None:
        for message_in_transit in self.in_transit:
            message_in_transit.steps_left -= 1
        arrived = [each for each in self.in_transit if each.steps_left <= 0]
        self.in_transit = [each for each in self.in_transit if each.steps_left > 0]
        for message_in_transit in arrived:
            message_in_transit.node.deliver(message_in_transit.message)

    def _configuration(self) -> Configuration:
        plain = configuration(revision=self.revision)
        model = ModelPolicy(MODEL, self.model_version, 1_100_000, 8_192)
        return Configuration(
            plain.revision,
            Digest(self.model_version),
            plain.fleet,
            models={MODEL: model},
        )

    def _probe(self) -> None:
        for engine in self.engines.values():
            message: Message = ProbeFailed(engine.entry.endpoint)
            if engine.answers(self.now):
                message = LoadReported(engine.report())
            for node in self.nodes.values():
                if not node.is_frozen:
                    node.deliver(message)

    def _run_engines(self) -> None:
        for engine in self.engines.values():
            for stream in list(engine.streams.values()):
                if engine.streams.get(stream.dispatch.stream_id) is stream:
                    self._run_stream(engine, stream)

    def _run_stream(self, engine: WorldEngine, stream: Stream) -> None:
        dispatch = stream.dispatch
        elapsed = self.now - stream.started_at
        if dispatch.deadline <= self.now:
            del engine.streams[dispatch.stream_id]
        elif elapsed >= PREFILL_TIME and stream.body in self.crashing_bodies:
            self.crash(engine.name)
        elif elapsed >= RUN_TIME and engine.answers(self.now):
            del engine.streams[dispatch.stream_id]
            self._deliver_to_owner(
                stream, AttemptFinished(dispatch.request_id, dispatch.attempt)
            )
        elif PREFILL_TIME <= elapsed < PREFILL_TIME + STEP:
            self._deliver_to_owner(
                stream, FirstToken(dispatch.request_id, dispatch.attempt)
            )

    def _fail(self, stream: Stream, kind: FailureKind, exposure: Exposure) -> None:
        dispatch = stream.dispatch
        failed = AttemptFailed(dispatch.request_id, dispatch.attempt, kind, exposure)
        self._deliver_to_owner(stream, failed)

    def _deliver_to_owner(self, stream: Stream, message: Message) -> None:
        self.home_nodes[stream.dispatch.request_id].deliver(message)

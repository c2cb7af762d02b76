"""Instances, engines, a store and gossip in virtual time, all of which can fail."""

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
from .recovery_engine import PREFILL, RUN, Stream, WorldEngine

STEP = timedelta(milliseconds=250)
DOWN = timedelta(seconds=2)
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
    """One life of an entry instance."""

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
        self.leases = LeaseTask(keepers, clock, self.view, self.tell)
        self.budget = WeightBudget(
            self.identity.instance, world.table, clock, seed, LOAD_INTERVAL
        )
        sender = OrderSender(self, clock, self.view)
        self.orders = OrderTask(sender, self.budget, clock, self.tell)
        self.cleaning = CleaningTask(self, self.tell)
        self.suspicions = SuspicionTask(world.table, clock, seed, self.tell)
        self.is_asleep = False
        self.is_dead = False
        self.inbox: deque[Message] = deque()
        self.timers: list[WakeAt] = []

    def tell(self, message: Message) -> None:
        """Hand the kernel a message, now or when the process wakes up."""
        if self.is_dead:
            return
        if self.is_asleep:
            self.inbox.append(message)
            return
        for effect in self.kernel.handle(message):
            self._carry_out(effect)

    def wake(self) -> None:
        """Go on after a freeze, with all that has come meanwhile."""
        self.is_asleep = False
        while self.inbox:
            self.tell(self.inbox.popleft())

    def step(self) -> None:
        """Do what is due."""
        now = self.world.clock.monotonic()
        due = [timer for timer in self.timers if timer.at <= now]
        self.timers = [timer for timer in self.timers if timer.at > now]
        for timer in due:
            self.tell(timer.message)
        self.leases.idle()
        self.tell(Tick())
        self.orders.idle()
        self.suspicions.idle()

    def holds(self, duty: Duty) -> bool:
        """Return whether it may act under a lease now."""
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
        """Call an engine; fills the ports of the order and the cleaning tasks."""
        now = self.world.clock.monotonic()
        engine = self.world.engines[address]
        if path == "/v1/orders" and not self.holds(Duty.ORDERS):
            self.world.unheld_orders += 1
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
            self.world.spread(self, effect)
        elif isinstance(effect, Dispatch):
            self.world.dispatch(self, effect)
        elif isinstance(effect, CancelAttempt):
            self.world.engines[effect.endpoint].streams.pop(effect.stream_id, None)
        elif isinstance(effect, Conclude):
            self.world.conclude(effect)


@dataclass(slots=True)
class Rumour:
    """A word on its way to one instance."""

    steps_left: int
    node: Node
    message: Message


@dataclass
class World:
    """All that there is, stepped by hand.

    Attributes
    ----------
    poison : set of Digest
        Bodies that crash an engine at the end of their prefill.
    retired : list of Node
        Lives that have ended.
    is_silent, was_silent : bool
        Nobody hears of anybody; so it was some time.
    poison_width : int
        Most engines that ran a poisoned body at one time.
    unheld_orders : int
        Orders that were sent without a valid lease.
    """

    names: tuple[str, ...] = ("i1", "i2", "i3")
    engine_count: int = 4
    clock: ManualClock = field(default_factory=ManualClock)
    table: FakeTable = field(default_factory=FakeTable)
    poison: set[Digest] = field(default_factory=set)
    requests: dict[RequestId, Request] = field(default_factory=dict)
    homes: dict[RequestId, Node] = field(default_factory=dict)
    conclusions: dict[RequestId, Conclude] = field(default_factory=dict)
    concluded_at: dict[RequestId, timedelta] = field(default_factory=dict)
    rumours: list[Rumour] = field(default_factory=list)
    words: dict[tuple[InstanceId, int, str], Message] = field(default_factory=dict)
    retired: list[Node] = field(default_factory=list)
    is_silent: bool = False
    was_silent: bool = False
    poison_width: int = 0
    unheld_orders: int = 0
    revision: int = 0
    wanted: str = "1"

    def __post_init__(self) -> None:
        modes = list(FencingMode)
        made = [
            WorldEngine(f"e{number}", modes[number % len(modes)])
            for number in range(self.engine_count)
        ]
        self.engines = {engine.name: engine for engine in made}
        for engine in made:
            engine.models[self.wanted] = timedelta(0)
        self.nodes = {name: Node(self, name, 1) for name in self.names}
        self.want(self.wanted)
        self.list_all()

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
            self._pass_rumours()
            for node in list(self.nodes.values()):
                if not node.is_asleep:
                    node.step()

    def want(self, version: str) -> None:
        """Have a configuration with a model version accepted everywhere."""
        self.revision += 1
        self.wanted = version
        for node in self.nodes.values():
            node.tell(ConfigurationReceived(self._configuration()))

    def list_all(self) -> None:
        """Have everybody read the platform's list."""
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
            node.tell(InstancesListed(engines, instances))

    def replace(self, name: str) -> None:
        """Kill an instance and start it again under its name."""
        old = self.nodes[name]
        old.is_dead = True
        self.retired.append(old)
        fresh = Node(self, name, old.identity.incarnation + 1)
        self.nodes[name] = fresh
        fresh.tell(ConfigurationReceived(self._configuration()))
        self.list_all()
        self._catch_up(fresh)

    def submit(self, name: str, request: Request) -> None:
        """Have a caller send a request to an instance."""
        self.requests[request.request_id] = request
        self.homes[request.request_id] = self.nodes[name]
        self.nodes[name].tell(Submit(request))

    def crash(self, name: str) -> None:
        """End an engine's life."""
        engine = self.engines[name]
        lost = engine.crash(self.now, DOWN)
        engine.noticed.append({each.body for each in lost if self._is_read(each)})
        for stream in lost:
            self._fail(stream, FailureKind.BROKEN, Exposure.POSSIBLE)

    def cut(self, name: str, span: timedelta) -> None:
        """Cut the network to an engine; its streams run on unread."""
        engine = self.engines[name]
        engine.cut_until = self.now + span
        for stream in engine.streams.values():
            self._fail(stream, FailureKind.BROKEN, Exposure.POSSIBLE)

    def dispatch(self, node: Node, dispatch: Dispatch) -> None:
        """Take an attempt to its engine."""
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
            self._measure_width()
        elif dispatch.stream_id in engine.streams:
            engine.streams[dispatch.stream_id].dispatch = dispatch
        else:
            self._fail(stream, FailureKind.REFUSED, Exposure.REFUSED)

    def conclude(self, conclusion: Conclude) -> None:
        """Keep a request's final answer, of which there is one."""
        assert conclusion.request_id not in self.conclusions
        self.conclusions[conclusion.request_id] = conclusion
        self.concluded_at[conclusion.request_id] = self.now

    def spread(self, writer: Node, published: Publish) -> None:
        """Send a word to all other instances."""
        if self.is_silent or writer.is_dead:
            return
        kind = kind_of(published.value)
        value = kind.decode(kind.encode(published.value))
        own = writer.identity
        age = GOSSIP_STEPS * STEP
        origin = Origin(own.instance, own.incarnation, own.availability_zone, age)
        message = kind.message(published.key, value, origin)
        self.words[own.instance, kind.number, published.key] = message
        for node in self.nodes.values():
            if node is not writer:
                self.rumours.append(Rumour(GOSSIP_STEPS, node, message))

    def _is_read(self, stream: Stream) -> bool:
        """Return whether somebody notices when a stream is lost."""
        home = self.homes[stream.dispatch.request_id]
        return not home.is_dead and not home.is_asleep

    def _measure_width(self) -> None:
        running = [
            engine
            for engine in self.engines.values()
            if any(stream.body in self.poison for stream in engine.streams.values())
        ]
        self.poison_width = max(self.poison_width, len(running))

    def _catch_up(self, fresh: Node) -> None:
        """Tell a new life what peers' feeds hold; its own former one is gone."""
        own = fresh.identity.instance
        self.words = {key: each for key, each in self.words.items() if key[0] != own}
        if self.is_silent:
            return
        for message in self.words.values():
            self.rumours.append(Rumour(GOSSIP_STEPS, fresh, message))

    def _pass_rumours(self) -> None:
        for rumour in self.rumours:
            rumour.steps_left -= 1
        arrived = [each for each in self.rumours if each.steps_left <= 0]
        self.rumours = [each for each in self.rumours if each.steps_left > 0]
        for rumour in arrived:
            rumour.node.tell(rumour.message)

    def _configuration(self) -> Configuration:
        plain = configuration(revision=self.revision)
        model = ModelPolicy(MODEL, self.wanted, 1_100_000, 8_192)
        return Configuration(
            plain.revision, Digest(self.wanted), plain.fleet, models={MODEL: model}
        )

    def _probe(self) -> None:
        for engine in self.engines.values():
            message: Message = ProbeFailed(engine.entry.endpoint)
            if engine.answers(self.now):
                message = LoadReported(engine.report())
            for node in self.nodes.values():
                if not node.is_asleep:
                    node.tell(message)

    def _run_engines(self) -> None:
        for engine in self.engines.values():
            for stream in list(engine.streams.values()):
                if engine.streams.get(stream.dispatch.stream_id) is stream:
                    self._run_stream(engine, stream)

    def _run_stream(self, engine: WorldEngine, stream: Stream) -> None:
        dispatch = stream.dispatch
        spent = self.now - stream.started_at
        if dispatch.deadline <= self.now:
            del engine.streams[dispatch.stream_id]
        elif spent >= PREFILL and stream.body in self.poison:
            self.crash(engine.name)
        elif spent >= RUN and engine.answers(self.now):
            del engine.streams[dispatch.stream_id]
            self._tell_owner(
                stream, AttemptFinished(dispatch.request_id, dispatch.attempt)
            )
        elif PREFILL <= spent < PREFILL + STEP:
            self._tell_owner(stream, FirstToken(dispatch.request_id, dispatch.attempt))

    def _fail(self, stream: Stream, kind: FailureKind, exposure: Exposure) -> None:
        dispatch = stream.dispatch
        failed = AttemptFailed(dispatch.request_id, dispatch.attempt, kind, exposure)
        self._tell_owner(stream, failed)

    def _tell_owner(self, stream: Stream, message: Message) -> None:
        self.homes[stream.dispatch.request_id].tell(message)

"""Several instances' kernels and claim writers before one table and engines.

Nothing here happens by itself: each step is a call, so that a test chooses the
order in which messages, time and failures come.
"""

from collections import Counter, deque
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import singledispatchmethod
from random import Random

from msgspec.structs import replace

from mimosafork.claims.rows import TABLE, decoded
from mimosafork.claims.writer import ClaimWriter, StoreAnswer
from mimosafork.clock import ManualClock
from mimosafork.ids import Incarnation, InstanceId, StreamId
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.base import Effect, Message, Tick
from mimosafork.kernel.messages.claims import (
    AnswerReplayed,
    EndClaim,
    FindStream,
    KeepAnswer,
    PaceClaims,
    RecordStreamLocation,
    ReleaseClaim,
    ReplayAnswer,
    StreamLocation,
    StreamSearched,
    WriteClaim,
)
from mimosafork.kernel.messages.configuration import (
    ConfigurationChanged,
    ConfigurationReceived,
)
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch
from mimosafork.kernel.messages.fleet import (
    EntryInstance,
    InstancesListed,
    LifecycleState,
    LoadReported,
)
from mimosafork.kernel.messages.outcomes import Conclude
from mimosafork.kernel.messages.requests import Request, Submit
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.plugins import RetryPolicy
from mimosafork.storage.errors import PlatformError
from tests.support.claims import claim_plugins
from tests.support.fake_table import FakeTable
from tests.support.kernels import (
    ZONE,
    configuration,
    engine_entry,
    load_report,
)

ENGINES = ("e1", "e2")


class Fate(Enum):
    """What becomes of a call on its way to an engine."""

    ARRIVES = "arrives"
    NEVER_SENT = "never-sent"
    REFUSED = "refused"
    ANSWER_LOST = "answer-lost"
    """The engine runs it, and the connection breaks."""


@dataclass
class FakeStream:
    """A stream at an engine, with the calls that read it."""

    key: str
    body: str
    finished: bool = False
    readers: list[tuple["Node", Dispatch]] = field(default_factory=list)


@dataclass
class FakeEngine:
    """Runs streams, each id once in its life."""

    name: str
    incarnation: int = 1
    streams: dict[StreamId, FakeStream] = field(default_factory=dict)


@dataclass
class Call:
    """One call of a caller, and its final answer."""

    request: Request
    node: "Node"
    starts: int = 0
    answered_by: tuple[str, str] | None = None
    conclusion: Conclude | None = None

    @property
    def key(self) -> str:
        """What the call stands for."""
        return self.request.idempotency_key or self.request.request_id


class Node:
    """One life of an entry instance."""

    def __init__(
        self, world: "World", name: str, incarnation: int, retry: RetryPolicy | None
    ) -> None:
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.frozen = False
        self.inbox: deque[Message] = deque()
        self.outbox: list[Dispatch] = []
        self.timers: list[tuple[timedelta, Message]] = []
        self.writer = ClaimWriter(world.table, world.clock, self.inbox.append)
        identity = InstanceIdentity(InstanceId(name), Incarnation(incarnation), ZONE)
        seed = Random(f"{name}.{incarnation}")
        self.kernel = Kernel(identity, world.clock, seed, claim_plugins(retry))
        self.tell(ConfigurationReceived(configuration()))

    def tell(self, message: Message) -> None:
        """Handle a message and carry out what follows from it."""
        for effect in self.kernel.handle(message):
            self.carry_out(effect)

    def fire_timers(self) -> None:
        """Handle what has come due, then a tick."""
        now = self.world.clock.monotonic()
        due = sorted((each for each in self.timers if each[0] <= now), key=_instant)
        self.timers = [each for each in self.timers if each[0] > now]
        for _, message in due:
            self.tell(message)
        self.tell(Tick())

    def write_claims(self) -> None:
        """Let the claim writer send a transaction if it may."""
        self.writer.idle()

    def work(self) -> None:
        """Write claims and handle all mail."""
        self.write_claims()
        while self.inbox:
            self.tell(self.inbox.popleft())

    @singledispatchmethod
    def carry_out(self, effect: Effect) -> None:
        """Do what the kernel wants."""
        assert isinstance(effect, PaceClaims | ConfigurationChanged), effect

    @carry_out.register(WriteClaim)
    @carry_out.register(RecordStreamLocation)
    @carry_out.register(ReleaseClaim)
    @carry_out.register(EndClaim)
    def _(self, effect: Effect) -> None:
        self.writer.receive(effect)

    @carry_out.register
    def _(self, effect: KeepAnswer) -> None:
        call = self.world.calls[effect.request_id]
        assert call.answered_by is not None
        answer = "/".join(call.answered_by).encode()
        self.writer.receive(
            StoreAnswer(call.request.request_id, effect.claim_id, answer)
        )

    @carry_out.register
    def _(self, effect: ReplayAnswer) -> None:
        answer = None
        try:
            row = self.world.table.get(TABLE, effect.key)
            answer = decoded(row.value).answer if row is not None else None
        except PlatformError:
            pass
        if answer is not None:
            key, _, body = answer.decode().partition("/")
            self.world.calls[effect.request_id].answered_by = (key, body)
        self.inbox.append(AnswerReplayed(effect.request_id, answer is not None))

    @carry_out.register
    def _(self, effect: FindStream) -> None:
        place = self.world.find(effect)
        self.inbox.append(StreamSearched(effect.request_id, place))

    @carry_out.register
    def _(self, effect: WakeAt) -> None:
        self.timers.append((effect.at, effect.message))

    @carry_out.register
    def _(self, effect: Dispatch) -> None:
        self.outbox.append(effect)

    @carry_out.register
    def _(self, effect: CancelAttempt) -> None:
        streams = self.world.engines[effect.endpoint].streams
        stream = streams.get(effect.stream_id)
        if stream is not None and not stream.finished:
            self.world.break_stream(effect.endpoint, effect.stream_id)

    @carry_out.register
    def _(self, effect: Conclude) -> None:
        call = self.world.calls[effect.request_id]
        assert call.conclusion is None, "two final answers"
        call.conclusion = effect
        self.outbox = [
            each for each in self.outbox if each.request_id != effect.request_id
        ]


class World:
    """The table, the engines, the instances and their calls.

    Parameters
    ----------
    retry : type of RetryPolicy, optional
        In place of the product's.
    """

    def __init__(self, retry: type[RetryPolicy] | None = None) -> None:
        self.retry = retry
        self.clock = ManualClock()
        self.table = FakeTable()
        self.engines = {name: FakeEngine(name) for name in ENGINES}
        self.calls: dict[str, Call] = {}
        self.starts: Counter[str] = Counter()
        self.killed = False
        self.nodes = [self.make_node(name, 1) for name in ("i1", "i2")]
        self.publish()

    def make_node(self, name: str, incarnation: int) -> Node:
        """Return a new life of an instance."""
        retry = self.retry() if self.retry is not None else None
        return Node(self, name, incarnation, retry)

    def publish(self) -> None:
        """Have every running instance see the present list and loads."""
        instances = tuple(
            EntryInstance(
                InstanceId(node.name),
                "a:1",
                "a:2",
                ZONE,
                Incarnation(node.incarnation),
                LifecycleState.LIVE,
            )
            for node in self.nodes
        )
        engines = tuple(
            engine_entry(each.name, incarnation=each.incarnation)
            for each in self.engines.values()
        )
        for node in self.running():
            node.tell(InstancesListed(engines, instances))
            for each in self.engines.values():
                sequence = 1 + int(self.clock.monotonic() / timedelta(milliseconds=1))
                report = load_report(each.name, sequence)
                life = Incarnation(each.incarnation)
                node.tell(LoadReported(replace(report, incarnation=life)))

    def running(self) -> list[Node]:
        """Return the instances that are not frozen."""
        return [node for node in self.nodes if not node.frozen]

    def submit(self, node: Node, request: Request) -> Call:
        """Send a call to an instance."""
        call = Call(request, node)
        self.calls[request.request_id] = call
        node.tell(Submit(request))
        return call

    def advance(self, step: timedelta) -> None:
        """Let time pass for all; the frozen ones notice nothing of it."""
        self.clock.advance(step)
        for node in self.running():
            node.fire_timers()

    def find(self, search: FindStream) -> StreamLocation | None:
        """Return where a stream is, as the engines say."""
        for engine in self.engines.values():
            for stream_id in search.stream_ids:
                if stream_id in engine.streams:
                    entry = engine_entry(engine.name, incarnation=engine.incarnation)
                    return StreamLocation(
                        stream_id, entry.endpoint, entry.incarnation, entry.address
                    )
        return None

    def send(self, node: Node, dispatch: Dispatch, fate: Fate) -> None:
        """Send an attempt's call to its engine."""
        node.outbox.remove(dispatch)
        late = dispatch.deadline <= self.clock.monotonic()
        if late or fate is Fate.NEVER_SENT:
            kind = FailureKind.DEADLINE if late else FailureKind.UNREACHED
            self.fail(node, dispatch, kind, Exposure.NEVER_SENT)
            return
        if fate is Fate.REFUSED:
            self.fail(node, dispatch, FailureKind.REFUSED, Exposure.REFUSED)
            return
        engine = self.engines[dispatch.endpoint]
        stream = engine.streams.get(dispatch.stream_id)
        if stream is None and dispatch.attach:
            # A refusal of attaching: the engine does not have the stream.
            gone = FailureKind.ENGINE_FAILED
            self.fail(node, dispatch, gone, Exposure.POSSIBLE)
            return
        if stream is None:
            stream = self.start(engine, dispatch)
        if fate is Fate.ANSWER_LOST:
            self.fail(node, dispatch, FailureKind.BROKEN, Exposure.POSSIBLE)
            return
        stream.readers.append((node, dispatch))
        if stream.finished:
            self.finish(engine.name, dispatch.stream_id)
            return
        node.inbox.append(FirstToken(dispatch.request_id, dispatch.attempt))

    def start(self, engine: FakeEngine, dispatch: Dispatch) -> FakeStream:
        """Run a stream, and count it."""
        call = self.calls[dispatch.request_id]
        call.starts += 1
        self.starts[call.key] += 1
        stream = FakeStream(call.key, call.request.body_digest)
        engine.streams[dispatch.stream_id] = stream
        return stream

    def finish(self, engine: str, stream_id: StreamId) -> None:
        """End a stream well; its readers get the whole answer."""
        stream = self.engines[engine].streams[stream_id]
        stream.finished = True
        for node, dispatch in stream.readers:
            call = self.calls[dispatch.request_id]
            call.answered_by = (stream.key, stream.body)
            node.inbox.append(AttemptFinished(dispatch.request_id, dispatch.attempt))
        stream.readers.clear()

    def cut_readers(self, engine: str, stream_id: StreamId) -> None:
        """Break the connections of a stream, which runs on."""
        stream = self.engines[engine].streams[stream_id]
        for node, dispatch in stream.readers:
            self.fail(node, dispatch, FailureKind.BROKEN, Exposure.POSSIBLE)
        stream.readers.clear()

    def break_stream(self, engine: str, stream_id: StreamId) -> None:
        """End a stream for good."""
        self.cut_readers(engine, stream_id)
        del self.engines[engine].streams[stream_id]

    def crash(self, name: str) -> None:
        """Have an engine die and come back empty."""
        engine = self.engines[name]
        for stream_id in list(engine.streams):
            self.break_stream(name, stream_id)
        engine.incarnation += 1

    def kill(self, node: Node) -> None:
        """End an instance's life; another one takes its name."""
        self.killed = True
        for engine in self.engines.values():
            for stream in engine.streams.values():
                stream.readers = [
                    each for each in stream.readers if each[0] is not node
                ]
        index = self.nodes.index(node)
        self.nodes[index] = self.make_node(node.name, node.incarnation + 1)
        self.publish()

    def fail(
        self, node: Node, dispatch: Dispatch, kind: FailureKind, exposure: Exposure
    ) -> None:
        """Tell an instance that an attempt failed."""
        node.inbox.append(
            AttemptFailed(dispatch.request_id, dispatch.attempt, kind, exposure)
        )

    def settle(self, step: timedelta = timedelta(milliseconds=100)) -> None:
        """Heal everything and go on until nothing is left to do."""
        self.table.down = False
        self.table.faults.clear()
        self.table.deliver()
        for node in self.nodes:
            node.frozen = False
        for _ in range(2000):
            if not self._anything_left():
                return
            self._work_off()
            self.advance(step)
        raise AssertionError("the instances never come to rest")

    def _anything_left(self) -> bool:
        if any(node.inbox or node.outbox for node in self.nodes):
            return True
        if any(node.writer.book.dirty for node in self.nodes):
            return True
        return any(node.kernel.state.requests for node in self.nodes)

    def _work_off(self) -> None:
        for node in self.nodes:
            node.work()
            for dispatch in list(node.outbox):
                self.send(node, dispatch, Fate.ARRIVES)
        for engine in self.engines.values():
            for stream_id in list(engine.streams):
                self.finish(engine.name, stream_id)


def _instant(timer: tuple[timedelta, Message]) -> timedelta:
    return timer[0]

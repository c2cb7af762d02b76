"""What an instance among 64 costs: ``python -m benchmarks.instance_cost``.

One instance has its gossip, its sharing with the kernel, the kernel with the gateway's
plug-ins, and the gateway's timers; 63 have their gossip. All are the real ones, with
virtual time and a network without loss in place of the loop's and the system's. At rest
heartbeats pass and eight of the peers tell that the endpoints have not changed; in the
flood works begin as in `tests.unit.gossip.test_flood`, each told at its begin and end.

Told are, for a second of virtual time of that one instance, the median and the least
processor time of several spans, the calls of functions (the same in each run) and the
instants at which its loop wakes up. Sockets, and the attempts at endpoints, are not in
it; `benchmarks.gossip_processes` has them at rest.
``--profile`` prints the dearest functions.
"""

import argparse
import asyncio
import cProfile
import gc
import io
import pstats
import statistics
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any, cast

from mimosafork.directory.directory import Directory
from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.row_version import RowVersion
from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.gossip_adapter import GossipAdapter
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.subset_selector import SubsetSelector
from mimosafork.gossip.callbacks import Callbacks
from mimosafork.gossip.kinds.load import WorkNote
from mimosafork.gossip.members import Address, Identity
from mimosafork.gossip.options import GossipOptions
from mimosafork.gossip.service import Gossip
from mimosafork.gossip.sockets import DatagramPort, Sockets
from mimosafork.ids import (
    AccountId,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    RequestId,
    Revision,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity as OwnIdentity
from mimosafork.kernel.core import TICK, Kernel
from mimosafork.kernel.messages.attempts import AttemptFinished, FirstToken
from mimosafork.kernel.messages.base import Effect, Tick
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import (
    CallTerms,
    Request,
    RequestKind,
    Submit,
)
from mimosafork.kernel.messages.routing import EndpointUsable, RoutingTableChanged
from mimosafork.kernel.registry import create
from mimosafork.platform.calls import PreparedDialect
from mimosafork.routing.engine import EngineFigures
from mimosafork.routing.listing import ListedEndpoint, ListedState
from mimosafork.routing.table import ClientLimits, RoutingTable, Service
from tests.support.directories import ScriptedConfigurations, ScriptedEndpoints

from .gateway_size import FIGURES
from .jumping_loop import JumpingLoop

INSTANCES = 64
ENGINES = 45
WORKS_S = 110.0
FLIGHT_S = 0.002
"""A datagram's way."""
FIRST_EVENT_S = 0.15
ANSWER_S = 1.5
READERS = 8
FEED_EVERY_S = 1.55
"""What an instance that follows the store's feed tells of it, on the average."""
WARM_S = 6.0
SPAN_S = 4.0
SPANS = 5
SHOWN = 40
FLEET = "blue"
ZONES = 3
PORT = 7340
POOL = ServiceId("pool")
PROMPT, ANSWER = 5_000, 600
LONG = timedelta(seconds=30)


def name_of(number: int) -> InstanceId:
    """Return the name of the numbered instance."""
    return InstanceId(f"front-{number}")


def zone_of(number: int) -> AvailabilityZoneId:
    """Return the zone of the numbered instance or engine."""
    return AvailabilityZoneId(f"zone-{number % ZONES}")


def engine(number: int) -> EndpointId:
    """Return the id of the numbered engine."""
    return EndpointId(f"i-{number:08x}")


class Meter:
    """Adds up what the measured instance takes.

    Attributes
    ----------
    used_s : float
        Processor seconds.
    instants : int
        Instants at which something woke it up.
    profile : cProfile.Profile or None
        Of its calls alone.
    """

    def __init__(self, loop: JumpingLoop) -> None:
        self.loop = loop
        self.used_s = 0.0
        self.instants = 0
        self.last_s = 0.0
        self.profile: cProfile.Profile | None = None
        self.inside = False

    @contextmanager
    def measured(self) -> Iterator[None]:
        """Measure what is done inside."""
        if self.inside:
            yield
            return
        self.inside = True
        if self.loop.time() > self.last_s:
            self.last_s = self.loop.time()
            self.instants += 1
        began = time.thread_time()
        if self.profile is not None:
            self.profile.enable()
        try:
            yield
        finally:
            if self.profile is not None:
                self.profile.disable()
            self.used_s += time.thread_time() - began
            self.inside = False

    def wrap(self, owner: object, name: str) -> None:
        """Measure all calls of a method of one object."""
        method = getattr(owner, name)

        def measured(*arguments: Any) -> Any:
            with self.measured():
                return method(*arguments)

        setattr(owner, name, measured)


class Wire:
    """Carries datagrams among the instances, each after the same time."""

    def __init__(self, loop: JumpingLoop) -> None:
        self.loop = loop
        self.nodes: dict[Address, Gossip] = {}

    def deliver(self, data: bytes, source: Address, target: Address) -> None:
        """Hand a datagram over."""
        node = self.nodes.get(target)
        if node is not None:
            node.received(data, source)


class WirePort(DatagramPort):
    """One instance's end of it."""

    def __init__(self, wire: Wire, address: Address) -> None:
        super().__init__(lambda data, source: None)
        self.wire = wire
        self.address = address

    @property
    def is_open(self) -> bool:
        """Whether datagrams come and go."""
        return True

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram."""
        loop = self.wire.loop
        loop.call_later(FLIGHT_S, self.wire.deliver, data, self.address, address)


class Fleet:
    """All instances on one loop, the first of which is measured.

    Parameters
    ----------
    size : int
        Instances.
    """

    def __init__(self, loop: JumpingLoop, size: int) -> None:
        self.loop = loop
        self.random = Random(7)
        self.wire = Wire(loop)
        self.meter = Meter(loop)
        self.directory = Directory(
            ScriptedConfigurations(), ScriptedEndpoints(), loop, Random(3)
        )
        self.kernel = Kernel(
            OwnIdentity(name_of(0), Incarnation(1), zone_of(0)),
            loop,
            Random(4),
            create(PLUGINS),
        )
        self.gateway = Gateway(
            self.kernel, PreparedDialect(), loop, Random(5), lambda: None
        )
        fleet_view = self.kernel.plugin(FleetView)
        neighbours = SubsetSelector(name_of(0), fleet_view)
        self.sharing = GossipAdapter(
            self.directory, self.gateway.post, self.figures_of, loop, neighbours
        )
        self.gateway.on_effect = self.effect
        self.nodes = [self.node(each) for each in range(size)]
        self.sharing.gossip = self.nodes[0]
        self.works = 0
        self.open: set[RequestId] = set()
        self.own_placed = 0
        self.list_engines()
        for owner, name in (
            (self.nodes[0], "received"),
            (self.nodes[0], "tick"),
            (self.gateway, "_tick"),
            (self.gateway, "post"),
        ):
            self.meter.wrap(owner, name)

    def node(self, number: int) -> Gossip:
        """Return a new instance's gossip."""
        address = Address(f"10.0.0.{number + 1}", PORT)
        callbacks = self.sharing.callbacks if number == 0 else Callbacks()
        gossip = Gossip(
            GossipOptions(name_of(number), zone_of(number), FLEET),
            Sockets(cast(Any, None), cast(Any, None), address),
            lambda matter: None,
            callbacks,
            clock=self.loop,
            random=Random(1000 + number),
        )
        gossip.port = WirePort(self.wire, address)
        self.wire.nodes[address] = gossip
        return gossip

    def figures_of(self, endpoint: EndpointId) -> EngineFigures | None:
        """Return the figures of all engines."""
        return FIGURES

    def list_engines(self) -> None:
        """Tell the kernel which engines there are."""
        service = Service(POOL, "/health", 64, engine=FIGURES)
        table = RoutingTable(Revision(1), (), {POOL: service}, ClientLimits(), ())
        self.kernel.handle(RoutingTableChanged(table))
        for number in range(ENGINES):
            listed = ListedEndpoint(
                engine(number),
                POOL,
                f"10.1.0.{number}:80",
                zone_of(number),
                FIGURES.slots,
                ListedState.READY,
            )
            self.kernel.handle(EndpointUsable(listed))

    def start(self) -> None:
        """Have all know each other, and their timers run at all instants."""
        identities: list[Identity] = [each.exchange.me for each in self.nodes]
        for node in self.nodes:
            for other in identities:
                node.learn(other)
            self.loop.call_later(self.random.random(), node.tick)
        for node in self.nodes[1 : READERS + 1]:
            self.loop.call_later(self.random.random(), self.tell_feed, node, 1)
        self.gateway.start()

    # What goes on

    def tell_feed(self, node: Gossip, version: int) -> None:
        """Have an instance tell that the endpoints have not changed."""
        node.publish_feed_update(FeedUpdate(RowVersion(1, 1), RowVersion(1, version)))
        after = FEED_EVERY_S * self.random.uniform(0.6, 1.4)
        self.loop.call_later(after, self.tell_feed, node, version + 1)

    def flood(self, until_s: float) -> None:
        """Let works begin at random instances until an instant."""
        if self.loop.time() >= until_s:
            return
        self.works += 1
        number = self.random.randrange(len(self.nodes))
        if number == 0:
            self.submit(RequestId(str(self.works)))
        else:
            self.begin(self.nodes[number])
        self.loop.call_later(1 / WORKS_S, self.flood, until_s)

    def begin(self, node: Gossip) -> None:
        """Let a work begin at a peer, on some engine."""
        host = engine(self.random.randrange(ENGINES))
        note = WorkNote(self.works, host, PROMPT, ANSWER, 250)
        node.publish_work(note)
        self.loop.call_later(ANSWER_S, node.publish_work_end, self.works)

    def submit(self, request_id: RequestId) -> None:
        """Let a call come to the measured instance."""
        now = self.loop.monotonic()
        request = Request(
            request_id=request_id,
            account=AccountId("account-a"),
            kind=RequestKind.SERVICE,
            target=POOL,
            prompt_tokens=PROMPT,
            max_tokens=3_000,
            deadline=now + LONG,
            body_digest=Digest("00"),
            terms=CallTerms(
                max_attempts=3,
                objective=timedelta(milliseconds=300),
                longest_pause=timedelta(milliseconds=250),
                expected_tokens=ANSWER,
            ),
        )
        self.open.add(request_id)
        if len(self.open) == 1:
            self.kernel_tick()
        self.gateway.post(Submit(request))

    def kernel_tick(self) -> None:
        """Tell the kernel of time while a call is open, as the gateway does."""
        if self.open:
            self.gateway.post(Tick())
            self.loop.call_later(TICK.total_seconds(), self.kernel_tick)

    def effect(self, effect: Effect) -> None:
        """Share an effect; answer a call that is sent to its engine."""
        self.sharing.publish_effect(effect)
        if isinstance(effect, Dispatch):
            self.own_placed += 1
            request, attempt = effect.request_id, effect.attempt
            first = FirstToken(request, attempt)
            self.loop.call_later(FIRST_EVENT_S, self.gateway.post, first)
            self.loop.call_later(ANSWER_S, self.finish, effect)

    def finish(self, dispatch: Dispatch) -> None:
        """End a call."""
        self.open.discard(dispatch.request_id)
        self.gateway.post(AttemptFinished(dispatch.request_id, dispatch.attempt))

    def run(self, span_s: float, flooded: bool) -> None:
        """Let virtual time pass."""
        until_s = self.loop.time() + span_s
        if flooded:
            self.loop.call_soon(self.flood, until_s)
        self.loop.call_at(until_s, self.loop.stop)
        self.loop.run_forever()


@dataclass(frozen=True, slots=True)
class Cost:
    """What a second of virtual time takes of the measured instance.

    Parameters
    ----------
    median_ms, least_ms : float
        Processor time.
    wakes, sent, received : float
        Wake-ups, and datagrams.
    calls : float
        Calls of Python functions.
    profile : pstats.Stats
        Of the same, split by function.
    """

    median_ms: float
    least_ms: float
    wakes: float
    sent: float
    received: float
    calls: float
    profile: pstats.Stats


def cost_of(fleet: Fleet, flooded: bool, spans: int = SPANS) -> Cost:
    """Measure one kind of load."""
    meter, counters = fleet.meter, fleet.nodes[0].exchange.counters
    fleet.run(WARM_S, flooded)
    tries = []
    gc.collect()
    gc.disable()
    instants, sent, received = meter.instants, counters.sent, counters.received
    for _ in range(spans):
        meter.used_s = 0.0
        fleet.run(SPAN_S, flooded)
        tries.append(meter.used_s / SPAN_S * 1e3)
    gc.enable()
    seconds = spans * SPAN_S
    wakes = (meter.instants - instants) / seconds
    sent_s = (counters.sent - sent) / seconds
    received_s = (counters.received - received) / seconds
    meter.profile = cProfile.Profile()
    fleet.run(SPAN_S, flooded)
    stats = pstats.Stats(meter.profile, stream=io.StringIO())
    meter.profile = None
    calls = cast(Any, stats).total_calls / SPAN_S
    return Cost(
        statistics.median(tries), min(tries), wakes, sent_s, received_s, calls, stats
    )


def fleet_of(size: int) -> Fleet:
    """Return a fleet whose instances all know each other."""
    fleet = Fleet(JumpingLoop(), size)
    asyncio.set_event_loop(fleet.loop)
    fleet.loop.call_soon(fleet.start)
    return fleet


def print_cost(name: str, size: int, cost: Cost, shown: int) -> None:
    """Print a kind of load."""
    print(
        f"{size} instances, {name}: {cost.median_ms:.2f} ms of processor a second "
        f"(least {cost.least_ms:.2f}), {cost.calls:.0f} calls, {cost.wakes:.1f} "
        f"wake-ups, {cost.received:.1f} datagrams in, {cost.sent:.1f} out",
        flush=True,
    )
    if shown:
        text = cast(io.StringIO, cast(Any, cost.profile).stream)
        cost.profile.sort_stats("tottime").print_stats(shown)
        print(text.getvalue())


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=INSTANCES)
    parser.add_argument("--spans", type=int, default=SPANS)
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    fleet = fleet_of(options.instances)
    shown = SHOWN if options.profile else 0
    for name, flooded in (("at rest", False), ("in the flood", True)):
        cost = cost_of(fleet, flooded, options.spans)
        print_cost(name, options.instances, cost, shown)
    peers = len(fleet.nodes[0].peers)
    print(f"{peers} peers heard, {fleet.own_placed} own calls placed")


if __name__ == "__main__":
    main()

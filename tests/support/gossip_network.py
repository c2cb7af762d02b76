"""A network of exchanges in virtual time, which loses, doubles and reorders."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heappop, heappush
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.gossip.effects import Effect
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.members import Address, Identity
from mimosafork.gossip.timing import Timing
from mimosafork.ids import AvailabilityZoneId, InstanceId

STEP = timedelta(milliseconds=5)
PORT = 7340
FLEET = "blue"
ZONES = 3


def ms(count: float) -> timedelta:
    """Return a span of milliseconds."""
    return timedelta(milliseconds=count)


def identity(number: int, boot: int | None = None, started_ms: int = 1) -> Identity:
    """Return the identity of the numbered instance."""
    return Identity(
        InstanceId(f"front-{number}"),
        AvailabilityZoneId(f"zone-{number % ZONES}"),
        Address(f"10.0.{number // 250}.{number % 250 + 1}", PORT),
        boot if boot is not None else 1000 + number,
        started_ms,
    )


@dataclass(order=True)
class Packet:
    """A datagram under way."""

    arrival: timedelta
    order: int
    source: Address = field(compare=False)
    target: Address = field(compare=False)
    data: bytes = field(compare=False)


class Network:
    """Exchanges that send each other datagrams.

    Parameters
    ----------
    loss, doubled : float
        Shares of datagrams that are lost, and that arrive twice.
    spread : timedelta
        A datagram takes up to so much longer than the shortest way of 2 ms.
    lag : timedelta
        Each datagram takes so much longer, as where receivers are behind.
    """

    def __init__(
        self,
        seed: int = 1,
        loss: float = 0.0,
        doubled: float = 0.0,
        spread: timedelta = timedelta(0),
        lag: timedelta = timedelta(0),
    ) -> None:
        self.random = Random(seed)
        self.clock = ManualClock(timedelta(seconds=100))
        self.loss = loss
        self.doubled = doubled
        self.spread = spread
        self.lag = lag
        self.nodes: dict[Address, Exchange] = {}
        self.packets: list[Packet] = []
        self.order = 0
        self.cut: Callable[[Address, Address], bool] = lambda source, target: False
        self.frozen: dict[Address, deque[Packet]] = {}
        self.effects: dict[InstanceId, list[Effect]] = {}
        self.longest = 0
        self.due: dict[Address, timedelta] = {}

    @property
    def now(self) -> timedelta:
        """The present instant."""
        return self.clock.monotonic()

    def add(
        self,
        me: Identity,
        seeds: Iterable[Address] = (),
        timing: Timing | None = None,
    ) -> Exchange:
        """Start an instance, over an earlier life at its address."""
        node = Exchange(me, FLEET, Random(me.boot), seeds, timing)
        self.nodes[me.address] = node
        self.due[me.address] = self.now
        self.effects.setdefault(me.instance, [])
        return node

    def fleet(self, size: int, timing: Timing | None = None) -> list[Exchange]:
        """Start instances that all have the first as their seed."""
        seed = identity(0).address
        return [self.add(identity(each), [seed], timing) for each in range(size)]

    def run(self, span: timedelta) -> None:
        """Let time pass."""
        end = self.now + span
        while self.now < end:
            self.clock.advance(STEP)
            self.deliver()
            for address, node in self.nodes.items():
                if address not in self.frozen:
                    self.tick(address, node)

    def tick(self, address: Address, node: Exchange) -> None:
        """Tick an exchange if it is due, as a timer would."""
        if min(self.due[address], node.next_due(self.now)) > self.now:
            return
        ticked = node.tick(self.now)
        self.effects[node.me.instance] += ticked.effects
        for each in ticked.datagrams:
            self.send(address, each.address, each.data)
        self.due[address] = node.next_due(self.now)

    def send(self, source: Address, target: Address, data: bytes) -> None:
        """Put a datagram on its way, or lose it, or double it."""
        self.longest = max(self.longest, len(data))
        copies = 2 if self.random.random() < self.doubled else 1
        for _ in range(copies):
            if self.random.random() < self.loss or self.cut(source, target):
                continue
            self.order += 1
            late = self.spread * self.random.random()
            arrival = self.now + ms(2) + self.lag + late
            heappush(self.packets, Packet(arrival, self.order, source, target, data))

    def deliver(self) -> None:
        """Deliver what has arrived; a frozen instance's socket keeps it."""
        while self.packets and self.packets[0].arrival <= self.now:
            packet = heappop(self.packets)
            if packet.target in self.frozen:
                self.frozen[packet.target].append(packet)
            else:
                self.hand_over(packet)

    def hand_over(self, packet: Packet) -> None:
        """Give a datagram to its receiver."""
        node = self.nodes.get(packet.target)
        if node is not None:
            effects = node.datagram_received(packet.data, packet.source, self.now)
            self.effects[node.me.instance] += effects

    def freeze(self, node: Exchange) -> None:
        """Suspend an instance."""
        self.frozen[node.me.address] = deque()

    def thaw(self, node: Exchange) -> None:
        """Let it go on: first it reads what its socket has kept."""
        for packet in self.frozen.pop(node.me.address):
            self.hand_over(packet)

    def stop(self, node: Exchange) -> None:
        """Kill an instance."""
        del self.nodes[node.me.address]

    def part(self, island: Iterable[Exchange]) -> None:
        """Cut the network between some instances and all others."""
        inside = {node.me.address for node in island}
        self.cut = lambda source, target: (source in inside) != (target in inside)

    def heal(self) -> None:
        """Mend all cuts."""
        self.cut = lambda source, target: False


def names(node: Exchange) -> list[str]:
    """Return the living peers of an exchange."""
    return sorted(each.identity.instance for each in node.roster.alive())

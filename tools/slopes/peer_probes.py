"""What gossip among entry instances costs a node, in bytes and processor time.

One availability zone is run in one process: real exchangers and partner choices,
real encoding to the wire, a clock that is moved by hand. The fleet-wide feed of the
other zones is written by instances that stand for them.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.messages.fleet import EntryInstance, LifecycleState
from mimosafork.kernel.messages.limits import (
    INSTANCE_DEMAND,
    ZONE_DEMAND,
    AccountDemand,
    AccountKey,
)
from mimosafork.kernel.messages.peers import Scope
from mimosafork.kernel.messages.watch import EndpointLoad, endpoint_key
from mimosafork.kernel.rendezvous import ranked
from mimosafork.peers.configuration import ConfigurationShare
from mimosafork.peers.exchanger import Exchanger, PeerIdentity
from mimosafork.peers.partners import Partners
from mimosafork.peers.task import FAN_OUT
from mimosafork.peers.wire import reply_to_wire, request_to_wire
from mimosafork.policies.endpoint_publisher import (
    FLEET_INTERVAL_PER_ENDPOINT,
    ZONE_INTERVAL_PER_ENDPOINT,
)
from mimosafork.policies.limits.demand_publisher import (
    FLEET_PACE,
    MAX_ACCOUNTS,
    MAX_ZONE_ACCOUNTS,
    ZONE_PACE_PER_INSTANCE,
)

from .design_size import DesignSize
from .probe import Unit, memory, probe

SEED = 20261202
SIZE = DesignSize()
ROUND = timedelta(seconds=1)
WARM_UP_ROUNDS = 9
ROUNDS = 9
ZONE_NODES = round(SIZE.nodes_per_zone)
ZONE_ENDPOINTS = round(SIZE.endpoints_per_zone)
FAR_ENDPOINTS = SIZE.endpoints - ZONE_ENDPOINTS
ZONE_WORDS = round(timedelta(seconds=1) / ZONE_INTERVAL_PER_ENDPOINT)
"""Loads that a zone's watchers tell in a second, whatever its size."""
DEMANDS = round(timedelta(seconds=1) / ZONE_PACE_PER_INSTANCE)
"""Demands of client accounts that a zone's instances tell in a second."""
FAR_WORDS = round(
    (SIZE.availability_zones - 1) * timedelta(seconds=1) / FLEET_INTERVAL_PER_ENDPOINT
)
"""Loads that all other zones' speakers tell in a second."""
CALL_OVERHEAD_BYTES = 200
"""TCP, IP and HTTP/2 headers of one call and its answer, counted on top."""
OWN_ZONE = AvailabilityZoneId("zone-0")


@dataclass(slots=True)
class Traffic:
    """What the rounds cost, all nodes together."""

    sent_bytes: int = 0
    processor_s: float = 0.0


@dataclass(slots=True)
class Node:
    """An entry instance's exchanger and its partners."""

    exchanger: Exchanger
    partners: Partners


@dataclass(slots=True)
class Zone:
    """An availability zone in one process.

    Attributes
    ----------
    words, far_words : int
        Loads of endpoints that are told in a round, here and by the other zones.
    far : list of Node
        Instances that stand for the other zones, in contact with two of ours.
    with_demand : bool
        The demand of client accounts is told too, as much of it as ever is.
    """

    clock: ManualClock
    nodes: dict[InstanceId, Node]
    words: int
    far: list[Node]
    far_words: int
    sequence: int = 0
    with_demand: bool = False
    traffic: Traffic = field(default_factory=Traffic)

    def run_round(self) -> None:
        """Publish what is new and let each node exchange."""
        self.clock.advance(ROUND)
        self.sequence += 1
        begun = time.process_time()
        self._publish()
        for node in self.nodes.values():
            self._exchange(node)
        for node, far in zip(self._links(), self.far, strict=False):
            self._call(node, far, own_zone=False)
        self.traffic.processor_s += time.process_time() - begun

    def _publish(self) -> None:
        names = list(self.nodes)
        now_s = self.clock.monotonic().total_seconds()
        for node in self.nodes.values():
            node.exchanger.store.beat(now_s)
        for word in range(self.words):
            index = (self.sequence * self.words + word) % ZONE_ENDPOINTS
            first = ranked(f"endpoint-{index:05d}", names)[0]
            self._publish_load(self.nodes[first], index, Scope.ZONE)
        for word in range(self.far_words):
            index = (self.sequence * self.far_words + word) % FAR_ENDPOINTS
            far = self.far[index % len(self.far)]
            self._publish_load(far, 100_000 + index, Scope.FLEET)
        if self.with_demand:
            self._publish_demand(names)

    def _publish_demand(self, names: list[InstanceId]) -> None:
        for word in range(DEMANDS):
            name = names[(self.sequence * DEMANDS + word) % len(names)]
            value = _demand(MAX_ACCOUNTS, self.sequence + word)
            self.nodes[name].exchanger.publish(INSTANCE_DEMAND, value)
        if self.sequence % round(FLEET_PACE / ROUND) == 0:
            for far in self.far[::2]:
                value = _demand(MAX_ZONE_ACCOUNTS, self.sequence)
                far.exchanger.publish(ZONE_DEMAND, value, Scope.FLEET)

    def _publish_load(self, node: Node, index: int, scope: Scope) -> None:
        load = EndpointLoad(
            1, self.sequence, 400, 20, 2, 47, 24_000 + index % 40_000, False
        )
        key = endpoint_key(EndpointId(f"endpoint-{index:05d}"))
        node.exchanger.publish(key, load, scope)

    def _exchange(self, node: Node) -> None:
        now_s = self.clock.monotonic().total_seconds()
        for contact in node.partners.for_round(FAN_OUT, now_s):
            self._call(node, self.nodes[contact.instance], own_zone=True)

    def _call(self, node: Node, other: Node, own_zone: bool) -> None:
        request = node.exchanger.request(own_zone)
        self._count(request_to_wire(request))
        reply = other.exchanger.answer(request)
        self._count(reply_to_wire(reply))
        push = node.exchanger.take_reply(reply)
        if push is not None:
            self._count(request_to_wire(push))
            other.exchanger.answer(push)

    def _links(self) -> Iterator[Node]:
        names = list(self.nodes)
        for index in range(len(self.far)):
            yield self.nodes[ranked(f"link {index}", names)[0]]

    def _count(self, message: object) -> None:
        size = len(message.SerializeToString())  # type: ignore[attr-defined]
        self.traffic.sent_bytes += size + CALL_OVERHEAD_BYTES


def _demand(accounts: int, variant: int) -> AccountDemand:
    """Return a demand of so many accounts, different for each variant."""
    keys = tuple(AccountKey(2**24 + 7919 * each) for each in range(accounts))
    return AccountDemand(
        keys, tuple(1_000 + variant + each for each in range(accounts))
    )


def zone(nodes: int, words: int, far_words: int) -> Zone:
    """Return a zone whose instances know each other."""
    clock = ManualClock(start=timedelta(seconds=1))
    listed = tuple(_listed(f"instance-{index:03d}") for index in range(nodes))
    members = {each.instance: _node(each, clock) for each in listed}
    for node in members.values():
        node.partners.meet(listed)
    zones = SIZE.availability_zones - 1 if far_words else 0
    far = [
        _node(_listed(f"far-{index}", f"zone-{index + 1}"), clock)
        for index in range(2 * zones)
    ]
    return Zone(clock, members, words, far, far_words)


def _listed(name: str, zone_name: str = OWN_ZONE) -> EntryInstance:
    return EntryInstance(
        InstanceId(name),
        "10.0.0.1:8000",
        "10.0.0.1:8002",
        AvailabilityZoneId(zone_name),
        Incarnation(1),
        LifecycleState.LIVE,
    )


def _node(entry: EntryInstance, clock: ManualClock) -> Node:
    identity = InstanceIdentity(
        entry.instance, entry.incarnation, entry.availability_zone
    )
    exchanger = Exchanger(
        PeerIdentity(identity, "fleet", entry.peer_address),
        clock,
        Random(entry.instance),
        ConfigurationShare(lambda offered: None),
        lambda message: None,
    )
    partners = Partners(entry.instance, entry.availability_zone, Random(entry.instance))
    return Node(exchanger, partners)


@lru_cache
def measured(
    nodes: int, words: int, far_words: int, with_demand: bool, repeat: int
) -> Traffic:
    """Return what `ROUNDS` rounds cost once the nodes have met."""
    del repeat
    target = zone(nodes, words, far_words)
    target.with_demand = with_demand
    for _ in range(WARM_UP_ROUNDS):
        target.run_round()
    target.traffic = Traffic()
    for _ in range(ROUNDS):
        target.run_round()
    return target.traffic


def bytes_per_node(
    nodes: int, words: int, far_words: int, with_demand: bool = False
) -> float:
    """Return the bytes that a node sends in a second."""
    traffic = measured(nodes, words, far_words, with_demand, 0)
    return traffic.sent_bytes / nodes / ROUNDS


def time_per_node(
    nodes: int, words: int, far_words: int, with_demand: bool = False
) -> float:
    """Return the processor time of a node in a second, in microseconds."""
    traffic = measured(nodes, words, far_words, with_demand, time.monotonic_ns())
    return traffic.processor_s * 1e6 / nodes / ROUNDS


@probe(
    "gossip_bytes_per_node",
    "entry instances of a zone",
    Unit.BYTES_A_SECOND,
    "peers/exchanger.py, peers/feeds.py",
    (14, 28, ZONE_NODES),
)
def gossip_bytes_per_node(size: int) -> float:
    """Return a node's bytes a second in a zone of so many nodes."""
    return bytes_per_node(size, ZONE_WORDS, 0)


@probe(
    "gossip_bytes_per_word",
    "loads told in a second",
    Unit.BYTES_A_SECOND,
    "peers/exchanger.py, policies/endpoint_publisher.py",
    (12, 25, ZONE_WORDS),
)
def gossip_bytes_per_word(size: int) -> float:
    """Return a node's bytes a second when its zone tells so many loads."""
    return bytes_per_node(28, size, 0)


@probe(
    "gossip_bytes_per_far_word",
    "loads of other zones told in a second",
    Unit.BYTES_A_SECOND,
    "peers/exchanger.py, policies/endpoint_publisher.py",
    (20, 40, FAR_WORDS),
)
def gossip_bytes_per_far_word(size: int) -> float:
    """Return a node's bytes a second when the other zones tell so many loads."""
    return bytes_per_node(28, 10, size)


@probe(
    "gossip_time_per_node",
    "entry instances of a zone",
    Unit.MICROSECONDS_A_SECOND,
    "peers/exchanger.py, peers/feeds.py",
    (14, 28, ZONE_NODES),
)
def gossip_time_per_node(size: int) -> float:
    """Return a node's processor time a second in a zone of so many nodes."""
    return time_per_node(size, ZONE_WORDS, 0)


@probe(
    "gossip_time_per_word",
    "loads told in a second",
    Unit.MICROSECONDS_A_SECOND,
    "peers/exchanger.py, policies/endpoint_publisher.py",
    (12, 25, ZONE_WORDS),
)
def gossip_time_per_word(size: int) -> float:
    """Return a node's processor time a second when its zone tells so many loads."""
    return time_per_node(28, size, 0)


@probe(
    "gossip_memory_per_peer",
    "entry instances of a zone",
    Unit.BYTES,
    "peers/feeds.py, peers/partners.py",
    (14, 28, ZONE_NODES),
)
def gossip_memory_per_peer(size: int) -> float:
    """Return a node's memory for what it knows of so many peers."""
    with memory() as meter:
        target = zone(size, 0, 0)
        for _ in range(3):
            target.run_round()
    del target
    return meter.cost / size


def whole_zone_bytes() -> float:
    """Return a node's gossip in bytes a second at the design size itself."""
    return bytes_per_node(ZONE_NODES, ZONE_WORDS, FAR_WORDS, with_demand=True)


def whole_zone_time() -> float:
    """Return a node's gossip in microseconds a second at the design size itself."""
    return time_per_node(ZONE_NODES, ZONE_WORDS, FAR_WORDS, with_demand=True)

"""One availability zone of real exchangers and kernels, in virtual time.

Every message is encoded and decoded as on the wire and its bytes are counted; the
calls themselves are measured apart (`calls`). The other zones are one exchanger
each, which stands for all of its instances.
"""

import time
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mimosafork.clock import ManualClock
from mimosafork.ids import (
    AvailabilityZoneId,
    Digest,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.fleet import (
    CacheEvent,
    CacheEventKind,
    CacheEventsReported,
    CacheSnapshotReported,
    EndpointEntry,
    EndpointKind,
    EntryInstance,
    InstancesListed,
    LifecycleState,
    LoadReport,
    LoadReported,
)
from mimosafork.kernel.messages.peers import AddPeerCandidates, Publish, Scope
from mimosafork.kernel.messages.watch import WatchEndpoints, endpoint_key
from mimosafork.kernel.registry import create
from mimosafork.peers import wire
from mimosafork.peers.configuration import ConfigurationShare
from mimosafork.peers.exchanger import Exchanger, PeerIdentity
from mimosafork.peers.generated import exchange_pb2 as pb
from mimosafork.peers.members import MembersView
from mimosafork.peers.partners import Contact, Partners
from mimosafork.peers.task import CLEANING_PERIOD_S, FAN_OUT, ROUND_PERIOD
from mimosafork.policies.endpoint_publisher import FLEET_INTERVAL_PER_ENDPOINT
from mimosafork.policies.endpoint_values import load_of, profile_of

PLUGINS = (
    "known-target",
    "first-come",
    "bounded-retry",
    "least-requests",
    "membership",
    "endpoint-words",
    "cache-index",
)
STEP = timedelta(milliseconds=100)
PROBE_PERIOD_S = 1.0
FIRST_LIFE = 1_790_000_000_000
"""Incarnations are wall time in milliseconds, so they are long on the wire."""
MODELS = tuple(ModelId(f"model-{number}") for number in range(6))


@dataclass(frozen=True, slots=True)
class ZoneSize:
    """How large the fleet is."""

    zones: int = 6
    instances: int = 55
    endpoints: int = 100
    cache_events_per_s: float = 40.0
    """Of one engine: ten requests a second with two to four marks each, stored and
    evicted again."""


@dataclass(slots=True)
class Usage:
    """What one node has spent on control."""

    sent: int = 0
    received: int = 0
    calls: int = 0
    exchange_s: float = 0.0
    kernel_s: float = 0.0


@dataclass(slots=True)
class SimulatedNode:
    """An instance without its network."""

    exchanger: Exchanger
    partners: Partners
    kernel: Kernel | None
    told: list[Message]
    view: MembersView | None = None
    watched: dict[EndpointId, bool] = field(default_factory=dict)
    next_round_s: float = 0.0
    next_probe_s: float = 0.0
    next_cleaning_s: float = 0.0
    usage: Usage = field(default_factory=Usage)


def instance_name(zone: int, number: int) -> InstanceId:
    """Return an instance's id, as long as those of a real deployment."""
    return InstanceId(f"az-{zone}-entry-{number:04d}")


def endpoint_name(zone: int, number: int) -> EndpointId:
    """Return an endpoint's id."""
    return EndpointId(f"az-{zone}-reader-{number:04d}")


def zone_name(zone: int) -> AvailabilityZoneId:
    """Return an availability zone's id."""
    return AvailabilityZoneId(f"az-{zone}")


class SimulatedZone:
    """The instances of zone 0, and one exchanger for each other zone."""

    def __init__(self, size: ZoneSize, seed: int = 1) -> None:
        self.size = size
        self.random = Random(seed)
        self.clock = ManualClock()
        self.sequences: dict[EndpointId, int] = {}
        self.cache_positions: dict[EndpointId, int] = {}
        self.nodes = {
            node.exchanger.who.identity.instance: node
            for number in range(size.instances)
            for node in [self._node(0, number)]
        }
        self.gateways = {
            zone_name(zone): self._gateway(zone) for zone in range(1, size.zones)
        }
        self.published: dict[str, list[int]] = {}
        self.draining: set[EndpointId] = set()

    def _identity(self, zone: int, number: int) -> InstanceIdentity:
        return InstanceIdentity(
            instance_name(zone, number),
            Incarnation(FIRST_LIFE + number),
            zone_name(zone),
        )

    def _exchanger(self, identity: InstanceIdentity, told: list[Message]) -> Exchanger:
        who = PeerIdentity(identity, "fleet", "10.20.30.40:7443")
        share = ConfigurationShare(lambda offered: None)
        random = Random(self.random.getrandbits(32))
        return Exchanger(who, self.clock, random, share, told.append)

    def _node(self, zone: int, number: int) -> SimulatedNode:
        told: list[Message] = []
        identity = self._identity(zone, number)
        exchanger = self._exchanger(identity, told)
        random = Random(self.random.getrandbits(32))
        partners = Partners(identity.instance, identity.availability_zone, random)
        kernel = Kernel(identity, self.clock, random, create(PLUGINS))
        view = MembersView(exchanger.store, 0.0)
        node = SimulatedNode(exchanger, partners, kernel, told, view)
        node.next_round_s = random.random()
        node.next_probe_s = random.random()
        return node

    def _gateway(self, zone: int) -> SimulatedNode:
        told: list[Message] = []
        identity = self._identity(zone, 0)
        exchanger = self._exchanger(identity, told)
        partners = Partners(identity.instance, identity.availability_zone, Random(zone))
        return SimulatedNode(exchanger, partners, None, told)

    def listed(self) -> InstancesListed:
        """Return the platform's list of the whole fleet."""
        size = self.size
        endpoints = tuple(
            EndpointEntry(
                endpoint_name(zone, number),
                EndpointKind.MODEL_ENGINE,
                "10.1.2.3:8000",
                zone_name(zone),
                Incarnation(FIRST_LIFE),
                LifecycleState.LIVE,
            )
            for zone in range(size.zones)
            for number in range(size.endpoints)
        )
        instances = tuple(
            EntryInstance(
                instance_name(zone, number),
                "10.20.30.40:80",
                "10.20.30.40:7443",
                zone_name(zone),
                Incarnation(FIRST_LIFE + number),
                LifecycleState.LIVE,
            )
            for zone in range(size.zones)
            for number in range(size.instances)
        )
        return InstancesListed(endpoints, instances)

    def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        ends = self.clock.monotonic() + timedelta(seconds=duration_s)
        while self.clock.monotonic() < ends:
            self.clock.advance(STEP)
            now_s = self.clock.monotonic().total_seconds()
            self._gateways_speak(now_s)
            for node in self.nodes.values():
                self._act(node, now_s)

    def reset(self) -> None:
        """Begin to measure."""
        for node in self.nodes.values():
            node.usage = Usage()
        self.published.clear()

    def tell(self, node: SimulatedNode, message: Message) -> None:
        """Have a node's kernel handle a message, timed."""
        assert node.kernel is not None
        began = time.perf_counter()
        effects = node.kernel.handle(message)
        node.usage.kernel_s += time.perf_counter() - began
        for effect in effects:
            if isinstance(effect, WatchEndpoints):
                node.watched = {
                    each.endpoint: each.is_primary for each in effect.endpoints
                }
            elif isinstance(effect, AddPeerCandidates):
                node.partners.meet(effect.instances)
            elif isinstance(effect, Publish):
                name = type(effect.value).__name__ + effect.scope.name.lower()
                self.published.setdefault(name, []).append(1)
                began = time.perf_counter()
                node.exchanger.publish(effect.key, effect.value, effect.scope)
                node.usage.exchange_s += time.perf_counter() - began

    def _act(self, node: SimulatedNode, now_s: float) -> None:
        self.tell(node, Tick())
        if now_s >= node.next_probe_s:
            node.next_probe_s = now_s + PROBE_PERIOD_S
            for endpoint, first in node.watched.items():
                self._probe(node, endpoint, first)
        if now_s >= node.next_round_s:
            spread = self.random.uniform(0.8, 1.2)
            node.next_round_s = now_s + ROUND_PERIOD.total_seconds() * spread
            self._round(node, now_s)
        told, node.told[:] = list(node.told), []
        for message in told:
            self.tell(node, message)

    def _round(self, node: SimulatedNode, now_s: float) -> None:
        began = time.perf_counter()
        store = node.exchanger.store
        if now_s >= node.next_cleaning_s:
            node.next_cleaning_s = now_s + CLEANING_PERIOD_S
            store.drop_expired(now_s)
        store.beat(now_s)
        assert node.view is not None
        contacts = node.partners.for_round(FAN_OUT, now_s)
        live = node.view.live_names(now_s)
        links = node.partners.for_links(live, now_s)
        changed = node.view.changed(node.partners.contacts, now_s)
        node.usage.exchange_s += time.perf_counter() - began
        if changed is not None:
            self.tell(node, changed)
        for contact in contacts + links:
            self._exchange(node, contact)

    def _exchange(self, node: SimulatedNode, contact: Contact) -> None:
        own_zone = contact.availability_zone == zone_name(0)
        if own_zone:
            other = self.nodes[contact.instance]
        else:
            other = self.gateways[contact.availability_zone]
        began = time.perf_counter()
        message = wire.request_to_wire(node.exchanger.request(own_zone))
        request = message.SerializeToString()
        node.usage.exchange_s += time.perf_counter() - began
        reply = self._answer(other, request)
        self._count(node, other, len(request), len(reply))
        began = time.perf_counter()
        decoded = wire.reply_from_wire(pb.ExchangeReply.FromString(reply))
        push = node.exchanger.take_reply(decoded)
        encoded = b""
        if push is not None:
            encoded = wire.request_to_wire(push).SerializeToString()
        node.usage.exchange_s += time.perf_counter() - began
        if push is not None:
            self._count(node, other, len(encoded), len(self._answer(other, encoded)))

    def _answer(self, other: SimulatedNode, request: bytes) -> bytes:
        began = time.perf_counter()
        decoded = wire.request_from_wire(pb.ExchangeRequest.FromString(request))
        reply = wire.reply_to_wire(other.exchanger.answer(decoded))
        encoded: bytes = reply.SerializeToString()
        other.usage.exchange_s += time.perf_counter() - began
        return encoded

    def _count(
        self, caller: SimulatedNode, called: SimulatedNode, sent: int, received: int
    ) -> None:
        caller.usage.calls += 1
        called.usage.calls += 1
        caller.usage.sent += sent
        caller.usage.received += received
        called.usage.sent += received
        called.usage.received += sent

    def _probe(self, node: SimulatedNode, endpoint: EndpointId, first: bool) -> None:
        self.sequences[endpoint] = self.sequences.get(endpoint, 0) + 1
        self.tell(node, LoadReported(self._report(endpoint)))
        if first:
            self._read_cache(node, endpoint)

    def _report(self, endpoint: EndpointId) -> LoadReport:
        return LoadReport(
            endpoint=endpoint,
            incarnation=Incarnation(FIRST_LIFE),
            sequence=self.sequences[endpoint],
            lag=timedelta(milliseconds=400),
            running=self.random.randrange(100, 300),
            waiting=self.random.randrange(0, 50),
            waiting_prefill_tokens=self.random.randrange(0, 500_000),
            kv_used=self.random.randrange(1_000_000, 3_000_000),
            kv_capacity=4_000_000,
            prefill_rate=60_000.0,
            models=MODELS[:2],
            draining=endpoint in self.draining,
        )

    def _read_cache(self, node: SimulatedNode, endpoint: EndpointId) -> None:
        after = self.cache_positions.get(endpoint, 0)
        life = Incarnation(FIRST_LIFE)
        if node.usage.calls == 0 or after == 0:
            snapshot = CacheSnapshotReported(endpoint, life, after, ())
            self.tell(node, snapshot)
        count = int(self.size.cache_events_per_s * PROBE_PERIOD_S)
        events = tuple(
            CacheEvent(
                after + 1 + number,
                CacheEventKind.STORED if number % 2 else CacheEventKind.EVICTED,
                Digest(f"{self.random.getrandbits(64):016x}"),
                1024 * 2 ** min(9, int(self.random.expovariate(0.5))),
            )
            for number in range(count)
        )
        self.cache_positions[endpoint] = after + count
        message = CacheEventsReported(endpoint, life, after, after + count, events)
        self.tell(node, message)

    def _gateways_speak(self, now_s: float) -> None:
        """Have each other zone's speaker tell its endpoints' loads at its pace."""
        pace_s = FLEET_INTERVAL_PER_ENDPOINT.total_seconds() * self.size.endpoints
        for number, gateway in enumerate(self.gateways.values(), start=1):
            if now_s < gateway.next_round_s:
                continue
            first = gateway.next_round_s == 0.0
            gateway.next_round_s = now_s + max(1.0, pace_s)
            for each in range(self.size.endpoints):
                endpoint = endpoint_name(number, each)
                self.sequences[endpoint] = self.sequences.get(endpoint, 0) + 1
                report = self._report(endpoint)
                key = endpoint_key(endpoint)
                if first:
                    gateway.exchanger.publish(key, profile_of(report), Scope.FLEET)
                load = load_of(report, report.lag)
                gateway.exchanger.publish(key, load, Scope.FLEET)

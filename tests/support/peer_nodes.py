"""Entry instances' exchangers and peers tasks for tests."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mimosafork.clock import Clock, ManualClock, SystemClock
from mimosafork.ids import AvailabilityZoneId, Incarnation, InstanceId
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.fleet import EntryInstance, LifecycleState
from mimosafork.kernel.messages.peers import AddPeerCandidates
from mimosafork.peers.configuration import ConfigurationShare
from mimosafork.peers.exchanger import Exchanger, PeerIdentity
from mimosafork.peers.frames import ConfigurationText
from mimosafork.peers.task import HoldConfiguration, PeersTask


def identity(name: str, zone: str = "az-1", incarnation: int = 1) -> InstanceIdentity:
    """Return an instance's identity."""
    return InstanceIdentity(
        InstanceId(name), Incarnation(incarnation), AvailabilityZoneId(zone)
    )


@dataclass
class Node:
    """An exchanger without a network, and what its kernel was told."""

    exchanger: Exchanger
    told: list[Message] = field(default_factory=list)
    offered: list[ConfigurationText] = field(default_factory=list)

    def exchange_with(self, other: "Node", own_zone: bool = True) -> None:
        """Run one whole exchange, both calls."""
        reply = other.exchanger.answer(self.exchanger.request(own_zone))
        push = self.exchanger.take_reply(reply)
        if push is not None:
            other.exchanger.answer(push)


def node(
    name: str,
    clock: Clock | None = None,
    zone: str = "az-1",
    incarnation: int = 1,
    fleet: str = "fleet",
) -> Node:
    """Return a node that shares a clock with others, or has one of its own."""
    told: list[Message] = []
    offered: list[ConfigurationText] = []
    exchanger = Exchanger(
        PeerIdentity(identity(name, zone, incarnation), fleet, "127.0.0.1:1"),
        clock or ManualClock(),
        Random(name),
        ConfigurationShare(offered.append),
        told.append,
    )
    return Node(exchanger, told, offered)


@dataclass
class RunningNode:
    """A peers task on loopback, and what it told."""

    task: PeersTask
    told: list[Message]

    @property
    def listed(self) -> EntryInstance:
        """How the platform's list shows the node."""
        who = self.task.exchanger.who
        return EntryInstance(
            who.identity.instance,
            "127.0.0.1:1",
            who.address,
            who.identity.availability_zone,
            who.identity.incarnation,
            LifecycleState.LIVE,
        )


@contextmanager
def running_node(
    name: str, zone: str = "az-1", incarnation: int = 1
) -> Iterator[RunningNode]:
    """Run a peers task that takes over each configuration it is offered."""
    told: list[Message] = []
    task = PeersTask(
        PeerIdentity(identity(name, zone, incarnation), "fleet", "127.0.0.1:0"),
        SystemClock(),
        Random(name),
        told.append,
        lambda offered: task.send(HoldConfiguration(offered)),
        "127.0.0.1:0",
        period=timedelta(milliseconds=100),
    )
    task.start()
    try:
        yield RunningNode(task, told)
    finally:
        task.stop()


def introduce(*nodes: RunningNode) -> None:
    """Let each node read a list with all of them."""
    listed = tuple(each.listed for each in nodes)
    for each in nodes:
        each.task.send(AddPeerCandidates(listed))

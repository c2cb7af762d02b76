"""Tests of incremental updates of peers' work in the kernel."""

from datetime import timedelta
from random import Random
from typing import Any, cast
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.messages import TableChanged, UpdateOrigin
from mimosafork.gateway.gossip_adapter import GossipAdapter
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.subset_selector import SubsetSelector
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.options import GossipOptions
from mimosafork.gossip.service import Gossip
from mimosafork.gossip.sockets import Sockets
from mimosafork.ids import EndpointId, Revision
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.routing import (
    PeerWorkChanged,
    PeerWorkReplaced,
    PeerWorkUnknown,
)
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker
from mimosafork.routing.engine import EngineFigures
from mimosafork.routing.table import ClientLimits, RoutingTable

from ...support.directories import ScriptedConfigurations, ScriptedEndpoints
from ...support.functions import function_tests
from ...support.gossip_network import Network, identity, ms
from ...support.reserving_engines import FIGURES

case = TestCase()

ENGINES = 5
STEPS = 400
EMPTY = RoutingTable(Revision(1), (), {}, ClientLimits(), ())


class ReceivingInstance:
    """A gossip adapter, and a load tracker fed by the messages that it posts.

    Attributes
    ----------
    replacements : int
        Number of messages that replaced a peer's whole work.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.node = network.add(identity(0))
        self.steady = ManualClock(timedelta(seconds=100))
        self.book = LoadTracker()
        self.figures: EngineFigures | None = FIGURES
        self.replacements = 0
        me = self.node.me
        directory = Directory(
            ScriptedConfigurations(), ScriptedEndpoints(), self.steady, Random(1)
        )
        self.sharing = GossipAdapter(
            directory,
            self.take,
            lambda endpoint: self.figures,
            self.steady,
            SubsetSelector(me.instance, FleetView()),
        )
        self.gossip = Gossip(
            GossipOptions(me.instance, me.zone, "blue"),
            Sockets(cast(Any, None), cast(Any, None), me.address),
            lambda matter: None,
            self.sharing.callbacks,
            clock=network.clock,
        )
        self.gossip.exchange = self.node
        self.sharing.gossip = self.gossip

    def take(self, message: Message) -> None:
        """Update the load tracker as the kernel does."""
        now = self.steady.monotonic()
        if isinstance(message, PeerWorkReplaced):
            self.replacements += 1
            self.book.replace_peer(message.instance, message.works, now)
        elif isinstance(message, PeerWorkChanged):
            works, ended = message.works, message.ended
            self.book.update_peer(message.instance, works, ended, now)
        elif isinstance(message, PeerWorkUnknown):
            self.book.remove_peer(message.instance)

    def run(self, span: timedelta, suspended: bool = False) -> None:
        """Advance time; the steady clock stops while the machine is suspended."""
        self.network.run(span)
        if not suspended:
            self.steady.advance(span)
        effects = self.network.effects[self.node.me.instance]
        self.gossip.tell(effects, self.network.now)
        effects.clear()

    def expected(self) -> dict[str, dict[str, InFlightRequest]]:
        """Return the work of all live peers, computed from the gossip's full state."""
        found = {}
        for load in self.gossip.loads():
            works = [
                self.sharing.peer_request(load.instance, each) for each in load.works
            ]
            found[str(load.instance)] = {str(each.request): each for each in works}
        return {name: works for name, works in found.items() if works}

    def work_by_engine(self) -> list[tuple[str, str]]:
        """Return the work on each engine in the load tracker."""
        return sorted(
            (str(engine), str(work.request))
            for engine, works in self.book.by_engine.items()
            for work in works.values()
        )

    def tracked_work(self) -> dict[str, dict[str, InFlightRequest]]:
        """Return the work of peers in the load tracker."""
        return {
            str(name): {str(request): work for request, work in works.items()}
            for name, works in self.book.peers.items()
            if works
        }


def note(number: int, host: int, prompt: int = 5_000) -> WorkNote:
    return WorkNote(number, EndpointId(f"i-{host:08x}"), prompt, 600, 250)


def test_incremental_changes_match_full_state() -> None:
    """Engines seem full of ended work, or idle while peers use them.

    The kernel receives only the work of each datagram. Peers exit, restart, are
    partitioned and lose datagrams; after each step the load tracker must match the
    full state.
    """
    network = Network(seed=3, loss=0.05, doubled=0.05, spread=ms(20))
    receiver = ReceivingInstance(network)
    random = Random(4)
    seed = receiver.node.me.address
    peers = {each: network.add(identity(each), [seed]) for each in range(1, 6)}
    boots = 0
    running: list[tuple[Exchange, int]] = []
    compared = 0
    for step in range(STEPS):
        node = random.choice(list(peers.values()))
        node.say(LOAD, step, note(step, random.randrange(ENGINES)), network.now)
        running.append((node, step))
        if len(running) > 12:
            ending, number = running.pop(random.randrange(len(running)))
            ending.say(LOAD, number, None, network.now)
        if step % 7 == 0:
            moved, number = random.choice(running)
            host = random.randrange(ENGINES)
            moved.say(LOAD, number, note(number, host), network.now)
        if step % 40 == 20:
            boots += 1
            number = random.randrange(1, 6)
            network.stop(peers[number])
            restarted = identity(number, 5000 + boots, 1 + boots)
            peers[number] = network.add(restarted, [seed])
        if step % 100 == 50:
            network.part([peers[1], peers[2]])
        if step % 100 == 95:
            network.heal()
        receiver.run(ms(100))
        tracked_work = receiver.tracked_work()
        case.assertEqual(receiver.expected(), tracked_work, step)
        works = [each for known in tracked_work.values() for each in known.values()]
        hosts = sorted((str(each.host), str(each.request)) for each in works)
        case.assertEqual(hosts, receiver.work_by_engine(), step)
        compared += len(receiver.tracked_work())
    case.assertGreater(compared, STEPS)
    case.assertLess(receiver.replacements, STEPS / 4)


def test_work_ages_by_suspension_with_next_update() -> None:
    """Prefill of a peer's prompt seems to last longer by the time of a suspension.

    The kernel's clock stops meanwhile, so that work received before seems younger
    than it is.
    """
    network = Network()
    receiver = ReceivingInstance(network)
    peer = network.add(identity(1), [receiver.node.me.address])
    receiver.run(timedelta(seconds=2))
    peer.say(LOAD, 1, note(1, 1), network.now)
    receiver.run(ms(100))
    (work,) = receiver.tracked_work()["front-1"].values()
    receiver.run(timedelta(seconds=2), suspended=True)
    peer.say(LOAD, 2, note(2, 2), network.now)
    receiver.run(ms(100))
    older = receiver.tracked_work()["front-1"][str(work.request)]
    case.assertEqual(timedelta(seconds=2), work.started_at - older.started_at)
    case.assertEqual(receiver.expected(), receiver.tracked_work())


def test_prefill_parts_follow_configuration_with_next_update() -> None:
    """Engines busy with long prefills seem idle to an instance that just started.

    It receives peers' work before its own configuration, which has the engine figures
    that prefill times are computed from.
    """
    network = Network()
    receiver = ReceivingInstance(network)
    receiver.figures = None
    peer = network.add(identity(1), [receiver.node.me.address])
    receiver.run(timedelta(seconds=2))
    peer.say(LOAD, 1, note(1, 1, 60_000), network.now)
    receiver.run(ms(100))
    receiver.figures = FIGURES
    receiver.sharing.schedule_configuration_offer = lambda: None  # type: ignore[method-assign]
    receiver.sharing.directory_changed(TableChanged(EMPTY, UpdateOrigin.STORE))
    peer.say(LOAD, 2, note(2, 2), network.now)
    receiver.run(ms(100))
    first, _ = receiver.tracked_work()["front-1"].values()
    case.assertEqual(["i-00000001"], [part.endpoint for part in first.parts])
    case.assertEqual(receiver.expected(), receiver.tracked_work())


load_tests = function_tests(__name__)

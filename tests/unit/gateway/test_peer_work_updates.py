"""Tests of what the kernel knows of peers' works, told only what changes."""

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
from mimosafork.gossip.service import Gossip, GossipOptions
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


class Hearer:
    """An instance's sharing, and a book of the works that it tells the kernel.

    Attributes
    ----------
    whole : int
        Times that all works of a peer were told.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.node = network.add(identity(0))
        self.steady = ManualClock(timedelta(seconds=100))
        self.book = LoadTracker()
        self.figures: EngineFigures | None = FIGURES
        self.whole = 0
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
        """Keep the book as the kernel does."""
        now = self.steady.monotonic()
        if isinstance(message, PeerWorkReplaced):
            self.whole += 1
            self.book.replace_peer(message.instance, message.works, now)
        elif isinstance(message, PeerWorkChanged):
            works, ended = message.works, message.ended
            self.book.update_peer(message.instance, works, ended, now)
        elif isinstance(message, PeerWorkUnknown):
            self.book.remove_peer(message.instance)

    def run(self, span: timedelta, suspended: bool = False) -> None:
        """Let time pass; a suspended machine's steady clock stands still."""
        self.network.run(span)
        if not suspended:
            self.steady.advance(span)
        effects = self.network.effects[self.node.me.instance]
        self.gossip.tell(effects, self.network.now)
        effects.clear()

    def expected(self) -> dict[str, dict[str, InFlightRequest]]:
        """Return the works of all living peers, each worked out anew."""
        found = {}
        for load in self.gossip.loads():
            works = [
                self.sharing.in_flight_request(load.instance, each)
                for each in load.works
            ]
            found[str(load.instance)] = {str(each.request): each for each in works}
        return {name: works for name, works in found.items() if works}

    def on_engines(self) -> list[tuple[str, str]]:
        """Return the works on each engine, as the book sums them up."""
        return sorted(
            (str(engine), str(work.request))
            for engine, works in self.book.by_engine.items()
            for work in works.values()
        )

    def told(self) -> dict[str, dict[str, InFlightRequest]]:
        """Return what the book has of peers."""
        return {
            str(name): {str(request): work for request, work in works.items()}
            for name, works in self.book.peers.items()
            if works
        }


def note(number: int, host: int, prompt: int = 5_000) -> WorkNote:
    return WorkNote(number, EndpointId(f"i-{host:08x}"), prompt, 600, 250)


def test_changes_told_one_by_one_make_the_same_book() -> None:
    """Engines seem full of works that ended long ago, or idle while peers fill them.

    The kernel is told only the works of a datagram. Peers die, come back as another
    life, are cut off and lose datagrams; after each step its book must hold what a
    whole telling of all works would bring.
    """
    network = Network(seed=3, loss=0.05, doubled=0.05, spread=ms(20))
    hearer = Hearer(network)
    random = Random(4)
    seed = hearer.node.me.address
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
            reborn = identity(number, 5000 + boots, 1 + boots)
            peers[number] = network.add(reborn, [seed])
        if step % 100 == 50:
            network.part([peers[1], peers[2]])
        if step % 100 == 95:
            network.heal()
        hearer.run(ms(100))
        told = hearer.told()
        case.assertEqual(hearer.expected(), told, step)
        works = [each for known in told.values() for each in known.values()]
        hosts = sorted((str(each.host), str(each.request)) for each in works)
        case.assertEqual(hosts, hearer.on_engines(), step)
        compared += len(hearer.told())
    case.assertGreater(compared, STEPS)
    case.assertLess(hearer.whole, STEPS / 4)


def test_works_are_older_after_a_suspension_from_the_next_word_on() -> None:
    """An engine seems to read a prompt for as long again as the machine was suspended.

    The kernel's clock stands still meanwhile, so that works which it was told before
    seem younger than they are.
    """
    network = Network()
    hearer = Hearer(network)
    peer = network.add(identity(1), [hearer.node.me.address])
    hearer.run(timedelta(seconds=2))
    peer.say(LOAD, 1, note(1, 1), network.now)
    hearer.run(ms(100))
    (work,) = hearer.told()["front-1"].values()
    hearer.run(timedelta(seconds=2), suspended=True)
    peer.say(LOAD, 2, note(2, 2), network.now)
    hearer.run(ms(100))
    older = hearer.told()["front-1"][str(work.request)]
    case.assertEqual(timedelta(seconds=2), work.started_at - older.started_at)
    case.assertEqual(hearer.expected(), hearer.told())


def test_what_engines_read_is_known_from_the_next_word_after_their_figures() -> None:
    """Engines that read long prompts seem idle to an instance that has just started.

    It hears peers' works before its own configuration, without which nobody knows how
    long an engine reads.
    """
    network = Network()
    hearer = Hearer(network)
    hearer.figures = None
    peer = network.add(identity(1), [hearer.node.me.address])
    hearer.run(timedelta(seconds=2))
    peer.say(LOAD, 1, note(1, 1, 60_000), network.now)
    hearer.run(ms(100))
    hearer.figures = FIGURES
    hearer.sharing.schedule_configuration_offer = lambda: None  # type: ignore[method-assign]
    hearer.sharing.directory_changed(TableChanged(EMPTY, UpdateOrigin.STORE))
    peer.say(LOAD, 2, note(2, 2), network.now)
    hearer.run(ms(100))
    first, _ = hearer.told()["front-1"].values()
    case.assertEqual(["i-00000001"], [part.endpoint for part in first.parts])
    case.assertEqual(hearer.expected(), hearer.told())


load_tests = function_tests(__name__)

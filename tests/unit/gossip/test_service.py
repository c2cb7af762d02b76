"""Tests of the gossip on loopback sockets, and of pulls and the store's rows."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket
from typing import Any
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.gossip.callbacks import Callbacks
from mimosafork.gossip.effects import DatagramRefused
from mimosafork.gossip.errors import PullError
from mimosafork.gossip.finding import Finder
from mimosafork.gossip.kinds.configuration import CONFIGURATION, KEY, Versions
from mimosafork.gossip.kinds.load import WorkNote
from mimosafork.gossip.ledger import Entry, Slot
from mimosafork.gossip.members import Address, Identity, Member
from mimosafork.gossip.options import GossipOptions
from mimosafork.gossip.peer_rows import SharedPeerRows
from mimosafork.gossip.pulling import Puller
from mimosafork.gossip.pulls import Held, Matter, pull
from mimosafork.gossip.roster import Roster
from mimosafork.gossip.service import Gossip
from mimosafork.gossip.sockets import AT_ONCE, DatagramPort, open_sockets
from mimosafork.gossip.timing import Timing
from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId

from ...support.functions import function_tests
from ...support.gossip_instances import FakeRowStore
from ...support.gossip_network import identity

case = TestCase()

LIMIT_S = 20.0
LOOPBACK = Address("127.0.0.1", 0)
NOW = timedelta(seconds=100)


def in_loop(scenario: Callable[[], Coroutine[None, None, None]]) -> None:
    """Run a scenario to its end, or fail after a limit."""
    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


class Instance:
    """A gossip with what it holds, and events for what it is told."""

    def __init__(self, number: int, seeds: tuple[Address, ...] = ()) -> None:
        self.held: dict[Matter, Held] = {}
        self.pulled = asyncio.Event()
        self.loaded = asyncio.Event()
        callbacks = Callbacks(
            on_configuration_offered=self.take_configuration,
            on_load_changed=lambda peer, numbers: self.loaded.set(),
        )
        options = GossipOptions(
            InstanceId(f"front-{number}"), AvailabilityZoneId("zone-a"), "blue", seeds
        )
        self.gossip = Gossip(options, open_sockets(LOOPBACK), self.held.get, callbacks)
        self.address = self.gossip.sockets.address

    def take_configuration(self, payload: bytes) -> None:
        self.held[Matter.CONFIGURATION] = Held(17, payload, (17,))
        self.pulled.set()


def test_two_instances_tell_each_other_and_pull_a_configuration() -> None:
    # An instance starts while the store is down. A peer has a configuration; it must
    # come over by a pull, and load by datagrams.
    async def scenario() -> None:
        first = Instance(1)
        second = Instance(2, (first.address,))
        first.held[Matter.CONFIGURATION] = Held(17, b"raw row", (17,))
        first.gossip.publish_versions(Versions((17,)))
        note = WorkNote(1, EndpointId("i-7f3a91c2"), 2000, 300)
        first.gossip.publish_work(note)
        await first.gossip.start()
        await second.gossip.start()
        await second.pulled.wait()
        await second.loaded.wait()
        case.assertEqual(Held(17, b"raw row", (17,)), second.held[Matter.CONFIGURATION])
        (load,) = second.gossip.loads()
        case.assertEqual([note], [work.note for work in load.works])
        case.assertEqual(["front-1"], [each.instance for each in second.gossip.peers])
        await first.gossip.close()
        await second.gossip.close()

    in_loop(scenario)


def test_a_pull_of_nothing_and_of_another_fleet_fails() -> None:
    async def scenario() -> None:
        first = Instance(1)
        await first.gossip.start()
        fleet = first.gossip.exchange.fleet
        with case.assertRaises(PullError):
            await pull(first.address, fleet, Matter.LISTING)
        first.held[Matter.LISTING] = Held(3, b"rows")
        case.assertEqual(
            Held(3, b"rows"), await pull(first.address, fleet, Matter.LISTING)
        )
        with case.assertRaises(PullError):
            await pull(first.address, fleet + 1, Matter.LISTING)
        await first.gossip.close()
        with case.assertRaises(PullError):
            await pull(first.address, fleet, Matter.LISTING)

    in_loop(scenario)


def test_a_peer_that_is_silent_on_its_connection_is_given_up() -> None:
    # A connection to a peer was opened and falls silent for good, without a reset.
    # Without a time-out of its own the pull would hang, and the instance would have
    # no configuration though others could hand it over.
    async def scenario() -> None:
        async def silent(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        address = Address(*server.sockets[0].getsockname())
        with case.assertRaises(PullError):
            await pull(address, 1, Matter.CONFIGURATION)
        server.close()

    in_loop(scenario)


def offering(roster: Roster, number: int, version: int) -> Identity:
    """Add a living peer that offers a version."""
    who = identity(number)
    member = Member(who, NOW, alive=True)
    entry = Entry(1, NOW, Versions((version,)))
    member.ledger.accept(Slot(CONFIGURATION.number, KEY), entry)
    roster.members[who.instance] = member
    return who


def test_a_pull_that_fails_is_tried_at_the_next_peer() -> None:
    # The peer with the newest version does not answer. The next one is asked at once,
    # and an older version than the one held is never taken.
    async def scenario() -> None:
        roster = Roster(identity(0), Timing())
        newest, next_one = offering(roster, 1, 9), offering(roster, 2, 8)
        offering(roster, 3, 4)
        asked: list[Address] = []
        taken: list[Held] = []

        async def ask(address: Address, matter: Matter) -> Held:
            asked.append(address)
            if address == newest.address:
                raise PullError("silent")
            return Held(8, b"row", (8,))

        held = Held(4, b"old", (4,))
        puller = Puller(
            roster,
            lambda matter: held if matter is Matter.CONFIGURATION else None,
            ask,
            lambda matter, each: taken.append(each),
            Random(1),
        )
        case.assertTrue(await puller.catch_up(Matter.CONFIGURATION))
        case.assertEqual([newest.address, next_one.address], asked)
        case.assertEqual([Held(8, b"row", (8,))], taken)

    in_loop(scenario)


def test_a_refused_datagram_is_logged_once_in_a_while() -> None:
    async def scenario() -> None:
        one = Instance(1)
        refused = DatagramRefused(Address("10.0.0.9", 1), "cut")
        with case.assertLogs("mimosafork.gossip.callbacks") as logs:
            for second in range(12):
                now = NOW + timedelta(seconds=second)
                one.gossip.teller.tell(refused, now)
        case.assertEqual(2, len(logs.records))
        one.gossip.sockets.datagrams.close()
        one.gossip.sockets.pulls.close()

    in_loop(scenario)


def test_a_tick_comes_at_once_after_a_suspension() -> None:
    """A machine that was suspended stays dead for its peers for up to a second more.

    The loop's clock stood still meanwhile, so that the timer of the next tick goes off
    as late as if nothing had been. The first datagram that comes must show it.
    """

    async def scenario() -> None:
        clock = ManualClock(NOW)
        gossip = Gossip(
            GossipOptions(InstanceId("front-1"), AvailabilityZoneId("zone-a"), "blue"),
            open_sockets(LOOPBACK),
            lambda matter: None,
            Callbacks(),
            clock=clock,
        )
        await gossip.start()
        gossip.exchange.learn(identity(2), clock.monotonic())
        gossip.tick()
        before = gossip.timer
        gossip.arm()
        case.assertIs(before, gossip.timer)
        clock.advance(timedelta(seconds=5))
        gossip.arm()
        assert gossip.timer is not None
        left_s = gossip.timer.when() - asyncio.get_running_loop().time()
        case.assertLess(left_s, 0.02)
        await gossip.close()

    in_loop(scenario)


class CrowdedSocket(socket):
    """A socket for whose datagrams the system has no room at first."""

    refusals = 3

    def sendto(self, *arguments: Any) -> int:
        """Send, or refuse to."""
        if self.refusals:
            self.refusals -= 1
            raise BlockingIOError
        return super().sendto(*arguments)


def datagram_socket(kind: type[socket] = socket) -> socket:
    """Return a bound socket for datagrams."""
    bound = kind(AF_INET, SOCK_DGRAM)
    bound.bind(LOOPBACK)
    bound.setblocking(False)
    return bound


def test_datagrams_that_wait_for_room_go_in_their_order() -> None:
    """Peers take an instance for dead that sends more at once than its system takes.

    What the system had no room for was lost, or the words behind it overtook it.
    """

    async def scenario() -> None:
        came: list[bytes] = []
        hearer = DatagramPort(lambda data, address: came.append(data))
        teller = DatagramPort(lambda data, address: None)
        heard = datagram_socket()
        hearer.open(heard)
        teller.open(datagram_socket(CrowdedSocket))
        sent = [b"%d" % number for number in range(5)]
        for each in sent:
            teller.send(each, Address(*heard.getsockname()))
        case.assertEqual(5, len(teller.waiting))
        while len(came) < len(sent):
            await asyncio.sleep(0.001)
        case.assertEqual(sent, came)
        teller.send(b"late", Address(*heard.getsockname()))
        case.assertEqual(0, len(teller.waiting))
        teller.close()
        hearer.close()

    in_loop(scenario)


def test_many_datagrams_leave_others_their_turn() -> None:
    """Calls stand still while an instance reads what its socket has kept.

    After a freeze that is hundreds of datagrams, of any age. All are read, but others
    of the loop have their turn between.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        came: list[bytes] = []
        before: list[int] = []
        heard = datagram_socket()
        port = DatagramPort(lambda data, address: came.append(data))
        sender = datagram_socket()
        for number in range(3 * AT_ONCE):
            sender.sendto(b"%d" % number, heard.getsockname())
        port.open(heard)

        def turn() -> None:
            before.append(len(came))
            if len(came) < 3 * AT_ONCE:
                loop.call_soon(turn)

        turn()
        while len(came) < 3 * AT_ONCE:
            await asyncio.sleep(0.001)
        case.assertEqual([b"%d" % number for number in range(3 * AT_ONCE)], came)
        case.assertIn(AT_ONCE, before)
        sender.close()
        port.close()

    in_loop(scenario)


def test_a_fault_in_a_callback_does_not_end_the_gossip() -> None:
    # A callback fails as a peer is heard for the first time. The instance must go on
    # to send and to hear, or all its peers take it for dead.
    async def scenario() -> None:
        first = Instance(1)
        second = Instance(2, (first.address,))

        def fail() -> None:
            raise ValueError("a fault")

        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        first.gossip.callbacks.on_peers_changed = fail
        await first.gossip.start()
        await second.gossip.start()
        note = WorkNote(1, EndpointId("i-7f3a91c2"), 2000, 300)
        second.gossip.publish_work(note)
        await first.loaded.wait()
        first.gossip.publish_work(note)
        await second.loaded.wait()
        await first.gossip.close()
        await second.gossip.close()

    in_loop(scenario)


def test_rows_of_peers_are_written_once_and_read_over_pages() -> None:
    # The store is down when an instance starts; it writes its row when the store is
    # back, once, over that of its earlier life. A row that nobody can read does not
    # hide the others.
    async def scenario() -> None:
        rows = FakeRowStore()
        for number in range(1, 5):
            await SharedPeerRows(rows).publish(identity(number))
        rows.rows["front-3"] = b"what is this"
        rows.writes = 0
        found: list[Identity] = []
        me = identity(2, boot=77, started_ms=5)
        finder = Finder(me, SharedPeerRows(rows), Random(1), found.append, lambda: True)
        rows.down = True
        case.assertFalse(await finder.look())
        rows.down = False
        case.assertTrue(await finder.look())
        case.assertTrue(await finder.look())
        case.assertEqual(1, rows.writes)
        case.assertEqual([identity(1), me, identity(4)], found[:3])

    in_loop(scenario)


load_tests = function_tests(__name__)

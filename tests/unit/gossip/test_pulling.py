"""Tests of what is pulled from whom."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.gossip.errors import PullError
from mimosafork.gossip.kinds.configuration import CONFIGURATION, KEY, Versions
from mimosafork.gossip.ledger import Entry, Slot
from mimosafork.gossip.members import Address
from mimosafork.gossip.pulling import Puller
from mimosafork.gossip.pulls import PULL_TIMEOUT, Held, Matter
from mimosafork.gossip.roster import Roster
from mimosafork.gossip.timing import Timing

from ...support.functions import function_tests
from ...support.gossip_network import identity, ms
from ...support.virtual_callers import VirtualLoop

case = TestCase()

PEERS = 194
SILENT_PEERS = 5
LONGEST_PULL_S = 1.7
"""A configuration must be in force 2 s after its confirmation, and peers offer it 0.3 s
after they have it."""


async def unanswered(address: Address, matter: Matter) -> Held:
    """Ask a peer that does not answer."""
    await asyncio.sleep(PULL_TIMEOUT.total_seconds())
    raise PullError(f"{address.host} is silent")


class PullWorld:
    """An instance whose peers offer newer versions, in virtual time.

    Attributes
    ----------
    asks : dict
        Coroutine function per peer and matter; peers without one do not answer.
    taken : dict of Matter to float
        Time in seconds at which each matter was taken.
    """

    def __init__(self, peers: int, seed: int = 1) -> None:
        self.clock = ManualClock(timedelta(0))
        self.roster = Roster(identity(0), Timing())
        self.versions = dict.fromkeys(Matter, 1)
        self.asks: dict[tuple[Address, Matter], Callable[[], Awaitable[Held]]] = {}
        self.taken: dict[Matter, float] = {}
        self.asked: list[Address] = []
        for number in range(1, peers + 1):
            self.roster.learn(identity(number), ms(0), direct=True)
        self.puller = Puller(self.roster, self.held, self.pull, self.take, Random(seed))

    def held(self, matter: Matter) -> Held:
        """Return what this instance has."""
        order = (self.versions[matter],)
        return Held(self.versions[matter], b"", order)

    async def pull(self, address: Address, matter: Matter) -> Held:
        """Ask a peer."""
        self.asked.append(address)
        answer = self.asks.get((address, matter))
        return await (answer() if answer else unanswered(address, matter))

    def take(self, matter: Matter, held: Held) -> None:
        """Record what was pulled."""
        self.versions[matter] = held.version
        self.taken[matter] = self.clock.monotonic().total_seconds()

    def offer(self, number: int, versions: Versions) -> None:
        """Have a peer offer versions."""
        member = self.roster.members[identity(number).instance]
        self.roster.hear(member, ms(0))
        sequence = 1 + len(member.ledger.entries) + sum(versions.configuration)
        entry = Entry(sequence, ms(0), versions)
        member.ledger.accept(Slot(CONFIGURATION.number, KEY), entry)
        self.puller.look()

    def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run the puller beside a coroutine."""

        async def main() -> None:
            task = asyncio.create_task(self.puller.run())
            await work()
            task.cancel()

        with asyncio.Runner(loop_factory=lambda: VirtualLoop(self.clock)) as runner:
            runner.run(main())


async def newer() -> Held:
    """Answer with a newer version."""
    return Held(2, b"new", (2,))


def test_peers_that_do_not_answer_do_not_delay_a_configuration() -> None:
    """A configuration is late where several peers are silent but not yet suspected.

    Each of them was asked for its whole time-out before the next one.
    """
    for seed in range(20):
        world = PullWorld(SILENT_PEERS + 1, seed)
        world.asks[identity(1).address, Matter.CONFIGURATION] = newer
        for number in range(1, SILENT_PEERS + 2):
            world.offer(number, Versions((2,), (1,)))
        world.run(lambda: asyncio.sleep(SILENT_PEERS + 2.0))
        case.assertLess(world.taken[Matter.CONFIGURATION], LONGEST_PULL_S)


def test_a_list_of_a_silent_peer_does_not_delay_a_configuration() -> None:
    """A configuration waits for the pull of a list that no peer hands over."""
    world = PullWorld(SILENT_PEERS + 1)
    world.asks[identity(1).address, Matter.CONFIGURATION] = newer

    async def work() -> None:
        for number in range(2, SILENT_PEERS + 2):
            world.offer(number, Versions((1,), (2,)))
        await asyncio.sleep(0.1)
        world.offer(1, Versions((2,), (1,)))
        await asyncio.sleep(SILENT_PEERS + 2.0)

    world.run(work)
    case.assertLess(world.taken[Matter.CONFIGURATION], 0.1 + LONGEST_PULL_S)


def test_the_newest_version_is_pulled_from_a_slow_peer() -> None:
    """An older version that another peer hands over first must not be the last."""
    world = PullWorld(2)

    async def newest() -> Held:
        await asyncio.sleep(0.5)
        return Held(3, b"newest", (3,))

    world.asks[identity(1).address, Matter.CONFIGURATION] = newest
    world.asks[identity(2).address, Matter.CONFIGURATION] = newer
    world.offer(1, Versions((3,), (1,)))
    world.offer(2, Versions((2,), (1,)))
    world.run(lambda: asyncio.sleep(3.0))
    case.assertEqual(3, world.versions[Matter.CONFIGURATION])
    case.assertLess(world.taken[Matter.CONFIGURATION], LONGEST_PULL_S)


def test_a_peer_that_answers_is_the_only_one_asked() -> None:
    """Overlapping pulls must not multiply the traffic of a sound fleet."""
    world = PullWorld(SILENT_PEERS + 1)
    for number in range(1, SILENT_PEERS + 2):
        world.asks[identity(number).address, Matter.CONFIGURATION] = newer
        world.offer(number, Versions((2,), (1,)))
    world.run(lambda: asyncio.sleep(3.0))
    case.assertEqual(1, len(world.asked))


def test_what_is_held_is_looked_up_once_for_all_peers() -> None:
    """195 instances hear of a new version, each from each.

    Their own is put together from all rows of the list; done for each peer, that took
    more of an instance's time than its calls.
    """
    roster = Roster(identity(0), Timing())
    for number in range(1, PEERS + 1):
        peer = identity(number)
        roster.learn(peer, ms(0), direct=True)
        member = roster.members[peer.instance]
        roster.hear(member, ms(0))
        versions = Entry(1, ms(0), Versions((number % 3,), (4,)))
        member.ledger.accept(Slot(CONFIGURATION.number, KEY), versions)
    looked: list[Matter] = []

    def holdings(matter: Matter) -> Held:
        looked.append(matter)
        return Held(1, b"", (1,))

    async def pull(address: Address, matter: Matter) -> Held:
        raise AssertionError("nothing is pulled here")

    puller = Puller(roster, holdings, pull, lambda matter, held: None, Random(1))
    newer = list(puller.offers(Matter.CONFIGURATION))
    case.assertEqual({(2,)}, {order for order, _ in newer})
    case.assertEqual([Matter.CONFIGURATION], looked)


load_tests = function_tests(__name__)

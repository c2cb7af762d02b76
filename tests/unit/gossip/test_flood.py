"""Tests of what instances know of each other's works while a large fleet is flooded.

The load is that of 64 instances before 45 engines, with two and a half times the usual
short prompts for ten seconds on end, as comes when a comment window closes or a shop
opens: 110 works a second in all, each told at its begin, its first event and its end.
The bounds of bytes and of processor time are those of the size to design for.
"""

from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop, heappush
from random import Random
from unittest import TestCase

from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.ledger import Slot
from mimosafork.gossip.timing import Timing
from mimosafork.ids import EndpointId

from ...support.functions import function_tests
from ...support.gossip_network import Network, ms

case = TestCase()

INSTANCES = 64
ENGINES = 45
WORKS_S = 110
FIRST_EVENT = ms(150)
ANSWER = ms(1500)
WARM = timedelta(seconds=8)
SPAN = timedelta(seconds=2)
SOON = ms(30)
"""A further work begins each 9 ms: with words that are known this soon, three others
are placed meanwhile, on one of 45 engines."""
BUDGET_BYTES_S = 27_000


@dataclass(frozen=True, order=True)
class Due:
    """A word to be said, or a work whose begin peers are to know by now."""

    at: timedelta
    number: int
    node: int
    note: WorkNote | None
    looks: bool = False

    @property
    def slot(self) -> Slot:
        """Where the work stands in a ledger."""
        return Slot(LOAD.number, self.number)


class Flood:
    """Works that begin at random instances of a fleet."""

    def __init__(self, timing: Timing | None = None) -> None:
        self.network = Network()
        self.nodes = self.network.fleet(INSTANCES, timing)
        self.random = Random(5)
        self.due: list[tuple[timedelta, int, Due]] = []
        self.works = 0
        self.shares: list[float] = []
        """Of each work, the share of peers that knew of it in time."""

    def run(self, span: timedelta) -> None:
        """Let works begin, go on and end for a time."""
        end = self.network.now + span
        while self.network.now < end:
            self.begin()
            while self.due and self.due[0][0] <= self.network.now:
                self.meet(heappop(self.due)[2])
            self.network.run(timedelta(seconds=1) / WORKS_S)

    def begin(self) -> None:
        """Let a work begin at some instance, on some engine."""
        self.works += 1
        at, node = self.network.now, self.random.randrange(INSTANCES)
        host = EndpointId(f"i-{self.random.randrange(ENGINES):010x}")
        note = WorkNote(self.works, host, 5000, 600, 250)
        writes = WorkNote(self.works, host, 5000, 600, 250, 150, 0)
        self.put(Due(at, self.works, node, note))
        self.put(Due(at + SOON, self.works, node, None, looks=True))
        self.put(Due(at + FIRST_EVENT, self.works, node, writes))
        self.put(Due(at + ANSWER, self.works, node, None))

    def put(self, due: Due) -> None:
        """Have something met at its time."""
        heappush(self.due, (due.at, len(self.shares) + due.number, due))

    def meet(self, due: Due) -> None:
        """Say a word, or look who knows of the work."""
        node = self.nodes[due.node]
        if due.looks:
            self.shares.append(self.share_that_knows(node, due.slot))
        else:
            node.say(LOAD, due.number, due.note, self.network.now)

    def share_that_knows(self, node: Exchange, slot: Slot) -> float:
        """Return the share of an instance's peers that have its word."""
        peers = [each for each in self.nodes if each is not node]
        mine = node.me.instance
        members = (each.roster.members.get(mine) for each in peers)
        known = (m is not None and slot in m.ledger.entries for m in members)
        return sum(known) / len(peers)

    def read_rows(self) -> None:
        """Let all instances learn of all others, as from rows in the store."""
        for node in self.nodes:
            for peer in self.nodes:
                node.learn(peer.me, self.network.now)

    def sent_bytes(self) -> int:
        """Return what all instances have sent."""
        return sum(node.counters.sent_bytes for node in self.nodes)


def test_64_instances_know_of_works_at_once_in_a_flood() -> None:
    """Callers wait seconds for their first token while most engines have room.

    Words of running work were passed on over three instances, 25 ms each, and did not
    fit the budget of bytes: after 30 ms 32 of 100 peers knew of a work, ends came half
    a second late, and all instances chose the same few engines, which turned a call
    away up to five times. Told by each to all, every peer knows, with half the bytes.
    """
    flood = Flood()
    flood.network.run(WARM)
    before = flood.sent_bytes()
    flood.run(SPAN)
    spent = (flood.sent_bytes() - before) / INSTANCES / SPAN.total_seconds()
    average = sum(flood.shares) / len(flood.shares)
    case.assertGreater(len(flood.shares), 150)
    case.assertGreater(average, 0.98)
    case.assertLess(spent, 0.7 * BUDGET_BYTES_S)


def test_a_fleet_that_starts_in_a_flood_knows_of_works_at_once() -> None:
    """Names told at a common start must not take the bytes of running work."""
    flood = Flood()
    flood.read_rows()
    flood.run(SPAN)
    average = sum(flood.shares) / len(flood.shares)
    case.assertGreater(len(flood.shares), 150)
    case.assertGreater(average, 0.95)


def test_an_instance_that_gets_many_calls_at_once_tells_of_them_at_once() -> None:
    """Several instances place calls on an engine that one of them has just filled.

    The balancer gives one of 64 instances twenty calls within a second. Their words
    used up a second's budget of bytes, and the last waited for 100 to 270 ms.
    """
    flood = Flood()
    flood.network.run(WARM)
    node = flood.nodes[7]
    for number in range(20):
        host = EndpointId(f"i-{number:010x}")
        node.say(
            LOAD, number, WorkNote(number, host, 5000, 600, 250), flood.network.now
        )
        flood.network.run(SOON)
        known = flood.share_that_knows(node, Slot(LOAD.number, number))
        case.assertEqual(1.0, known, number)
        writes = WorkNote(number, host, 5000, 600, 250, 150, 0)
        node.say(LOAD, number, writes, flood.network.now)
        flood.network.run(ms(20))


load_tests = function_tests(__name__)

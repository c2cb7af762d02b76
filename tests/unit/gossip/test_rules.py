"""Tests of the rules: what is newer, who replaces whom, what is confirmed."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gossip.effects import RunInterrupted
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.crashes import INTERRUPTED_RUNS, RunNote
from mimosafork.gossip.kinds.endpoints import EndpointWord, Word, newest
from mimosafork.gossip.kinds.load import LOAD
from mimosafork.gossip.ledger import TOMBSTONE_LIFETIME, Entry, Ledger, Slot
from mimosafork.gossip.links import Flight, Link, News, Receipts
from mimosafork.gossip.members import Address, replaces
from mimosafork.gossip.options import seed_addresses
from mimosafork.gossip.partners import chosen_partners
from mimosafork.gossip.timing import Timing
from mimosafork.ids import (
    AccountId,
    AvailabilityZoneId,
    Digest,
    EndpointId,
    InstanceId,
    ServiceId,
)

from ...support.functions import function_tests
from ...support.gossip_network import Network, identity, ms
from ...support.versions import version

case = TestCase()

NOW = timedelta(seconds=100)
ONE, TWO = EndpointId("i-1"), EndpointId("i-2")
CHAT = ServiceId("chat")


def test_the_newest_word_wins_and_the_strictest_of_one_version() -> None:
    old_gone = EndpointWord(Word.GONE, version(3))
    leaving, gone = (
        EndpointWord(Word.LEAVING, version(4)),
        EndpointWord(Word.GONE, version(4)),
    )
    case.assertEqual(leaving, newest([old_gone, leaving]))
    case.assertEqual(gone, newest([gone, leaving]))


def interrupted_at(network: Network, node: Exchange) -> set[EndpointId]:
    """Return the endpoints whose interrupted runs a node has received."""
    effects = network.effects[node.me.instance]
    return {e.note.endpoint for e in effects if isinstance(e, RunInterrupted)}


def test_interrupted_runs_of_several_instances_are_known_together() -> None:
    """Crashes that each of two instances has seen must be known to a third one."""
    network = Network()
    nodes = network.fleet(3)
    network.run(ms(2000))
    for node, endpoint in zip(nodes, (ONE, TWO), strict=False):
        note = RunNote(endpoint, Digest("00"), AccountId("a"), (), 1, 50)
        node.say(INTERRUPTED_RUNS, f"{endpoint} 00", note, network.now)
    network.run(ms(100))
    case.assertEqual({ONE, TWO}, interrupted_at(network, nodes[2]))
    network.stop(nodes[0])
    network.run(timedelta(seconds=10))
    entries = [each.of(INTERRUPTED_RUNS.number) for each in nodes[2].state.ledgers()]
    case.assertEqual({f"{ONE} 00", f"{TWO} 00"}, {key for e in entries for key in e})
    network.run(timedelta(minutes=3))
    for ledger in nodes[2].state.ledgers():
        case.assertEqual({}, ledger.of(INTERRUPTED_RUNS.number))


def test_an_older_word_is_passed_over() -> None:
    ledger = Ledger()
    slot = Slot(LOAD.number, 1)
    case.assertTrue(ledger.accept(slot, Entry(5, NOW, "new")))
    case.assertFalse(ledger.accept(slot, Entry(4, NOW, "old")))
    case.assertFalse(ledger.accept(slot, Entry(5, NOW, "same")))
    case.assertEqual("new", ledger.value(LOAD.number, 1))


def test_each_word_is_forgotten_at_its_own_time() -> None:
    """A work that began anew is forgotten with its former end, or ends stay for good.

    Words come in any order, those of a peer that is found again all at once; and what
    was taken back may be said again before its end is past its time.
    """
    ledger = Ledger()
    slots = [Slot(LOAD.number, number) for number in range(3)]
    for number, age in enumerate((1, 30, 2)):
        born = NOW - timedelta(seconds=age)
        case.assertTrue(ledger.accept(slots[number], Entry(number + 1, born, None)))
    case.assertTrue(ledger.accept(slots[2], Entry(9, NOW, "again")))
    moment = timedelta(microseconds=1)
    second = NOW - timedelta(seconds=30) + TOMBSTONE_LIFETIME
    ledger.purge(second)
    case.assertEqual(slots, list(ledger.entries))
    ledger.purge(second + moment)
    case.assertEqual([slots[0], slots[2]], list(ledger.entries))
    ledger.purge(second + timedelta(seconds=60))
    case.assertEqual([slots[2]], list(ledger.entries))
    case.assertEqual([], ledger.passing)


def test_what_is_said_already_is_not_said_again() -> None:
    ledger = Ledger()
    slot = Slot(LOAD.number, 1)
    case.assertFalse(ledger.put(slot, None, NOW))
    case.assertTrue(ledger.put(slot, "a", NOW))
    case.assertFalse(ledger.put(slot, "a", NOW))
    case.assertTrue(ledger.put(slot, None, NOW))


def test_a_newer_life_replaces_an_older_one() -> None:
    old, new = identity(1, 10, 100), identity(1, 11, 200)
    case.assertTrue(replaces(new, old, heard_while_silent=False))
    case.assertFalse(replaces(old, new, heard_while_silent=False))
    case.assertTrue(replaces(old, new, heard_while_silent=True))
    case.assertFalse(replaces(old, old, heard_while_silent=True))


def test_receipts_know_what_is_missing() -> None:
    receipts = Receipts()
    case.assertEqual([True, True], [receipts.take(each) for each in (1, 4)])
    case.assertEqual(0b011, receipts.missing)
    case.assertEqual([True, False, False], [receipts.take(each) for each in (3, 3, 4)])
    case.assertEqual(0b010, receipts.missing)
    case.assertTrue(receipts.take(100))
    case.assertFalse(receipts.take(2))


def test_what_came_before_the_first_receipt_counts_as_missing() -> None:
    # A peer that forgot this instance hears its datagram 9 first. Had it confirmed
    # those before as well, their news would never come.
    receipts = Receipts()
    receipts.take(9)
    case.assertEqual((1 << 8) - 1, receipts.missing)


def test_lost_news_is_due_again_and_confirmed_news_is_not() -> None:
    link = Link()
    news = [News(InstanceId("a"), Slot(LOAD.number, each)) for each in range(3)]
    for number, each in enumerate(news, start=1):
        link.flights[number] = Flight(NOW, (each,))
    link.confirmed(3, 0b01, NOW + ms(100), Timing())
    case.assertEqual([news[1]], list(link.pending))
    case.assertEqual({}, link.flights)


def test_partners_are_all_of_a_small_fleet_and_few_of_a_large_one() -> None:
    members = {
        InstanceId(f"front-{each}"): AvailabilityZoneId(f"zone-{each % 6}")
        for each in range(330)
    }
    small = dict(list(members.items())[:8])
    own, zone = InstanceId("me"), AvailabilityZoneId("zone-1")
    case.assertEqual(frozenset(small), chosen_partners(own, zone, small, 24, 6))
    case.assertEqual(6, len(chosen_partners(own, zone, members, 24, 6)))


def test_all_of_a_large_fleet_are_reached_within_few_hops() -> None:
    zones = {
        InstanceId(f"front-{each}"): AvailabilityZoneId(f"zone-{each % 6}")
        for each in range(330)
    }
    told = {}
    for own, zone in zones.items():
        others = {each: its for each, its in zones.items() if each != own}
        told[own] = chosen_partners(own, zone, others, 24, 6)
    reached = {InstanceId("front-0")}
    hops = 0
    while len(reached) < len(zones):
        reached |= {each for known in reached for each in told[known]}
        hops += 1
        case.assertLessEqual(hops, 7)


def test_seeds_have_the_gossips_port() -> None:
    case.assertEqual(
        (Address("10.1.0.40", 7340),), seed_addresses(["10.1.0.40:8229"], 7340)
    )


load_tests = function_tests(__name__)

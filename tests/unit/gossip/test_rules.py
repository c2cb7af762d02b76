"""Tests of the rules: what is newer, who replaces whom, what is confirmed."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gossip.kinds.endpoints import EndpointWord, Word, newest
from mimosafork.gossip.kinds.load import LOAD
from mimosafork.gossip.kinds.spending import Spent
from mimosafork.gossip.kinds.suspicion import SUSPICION, Suspicion, union
from mimosafork.gossip.ledger import TOMBSTONE_LIFETIME, Entry, Ledger, Slot
from mimosafork.gossip.links import Flight, Link, News, Receipts
from mimosafork.gossip.members import Address, replaces
from mimosafork.gossip.partners import chosen_partners
from mimosafork.gossip.service import seed_addresses
from mimosafork.gossip.timing import Timing
from mimosafork.gossip.window import ABSENT_KEPT, Meter, SpendingWindow
from mimosafork.ids import AvailabilityZoneId, EndpointId, InstanceId, ServiceId

from ...support.functions import function_tests
from ...support.gossip_network import Network, identity, ms

case = TestCase()

NOW = timedelta(seconds=100)
ONE, TWO = EndpointId("i-1"), EndpointId("i-2")
CHAT = ServiceId("chat")


def test_the_newest_word_wins_and_the_strictest_of_one_version() -> None:
    old_gone = EndpointWord(Word.GONE, 3)
    leaving, gone = EndpointWord(Word.LEAVING, 4), EndpointWord(Word.GONE, 4)
    case.assertEqual(leaving, newest([old_gone, leaving]))
    case.assertEqual(gone, newest([gone, leaving]))


def test_suspicions_are_joined() -> None:
    joined = union(
        [Suspicion(frozenset({ONE})), Suspicion(frozenset({ONE, TWO}), True)]
    )
    case.assertEqual(Suspicion(frozenset({ONE, TWO}), True), joined)


def test_suspicions_of_several_instances_are_known_together() -> None:
    # A request crashes an endpoint at each of two instances. Each alone has seen one
    # crash; a third one that gets the request must know of both, also when one of
    # them has ended since.
    network = Network()
    nodes = network.fleet(3)
    network.run(ms(2000))
    digest = bytes(16)
    nodes[0].say(SUSPICION, digest, Suspicion(frozenset({ONE})), network.now)
    nodes[1].say(SUSPICION, digest, Suspicion(frozenset({TWO})), network.now)
    network.run(ms(100))
    network.stop(nodes[0])
    network.run(timedelta(seconds=10))
    known = nodes[2].state.suspicion(digest)
    case.assertEqual(frozenset({ONE, TWO}), known.crashed)
    network.run(timedelta(seconds=60))
    case.assertEqual(frozenset(), nodes[2].state.suspicion(digest).crashed)


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


def test_repeats_count_for_longer_than_requests() -> None:
    """A repeat is counted just before a window and arrives within it.

    It would count in no window that it is in, and each window could have one more.
    """
    window = SpendingWindow(timedelta(seconds=10), timedelta(seconds=2))
    window.note(Meter(1, CHAT), NOW, Spent(0, 0))
    window.note(Meter(1, CHAT), NOW + ms(1000), Spent(10, 4))
    window.note(Meter(1, CHAT), NOW + ms(2000), Spent(20, 4))
    case.assertEqual(Spent(20, 4), window.grown(CHAT, NOW + ms(10900)))
    case.assertEqual(Spent(10, 4), window.grown(CHAT, NOW + ms(11000)))
    case.assertEqual(Spent(0, 4), window.grown(CHAT, NOW + ms(12900)))
    case.assertEqual(Spent(0, 0), window.grown(CHAT, NOW + ms(13000)))


def test_growth_is_counted_within_the_window_and_over_lives() -> None:
    window = SpendingWindow(timedelta(seconds=10))
    window.note(Meter(1, CHAT), NOW, Spent(100, 10))
    window.note(Meter(1, CHAT), NOW + ms(5000), Spent(130, 12))
    window.note(Meter(2, CHAT), NOW + ms(6000), Spent(0, 0))
    window.note(Meter(2, CHAT), NOW + ms(7000), Spent(5, 1))
    case.assertEqual(Spent(35, 3), window.grown(CHAT, NOW + ms(8000)))
    case.assertEqual(Spent(5, 1), window.grown(CHAT, NOW + ms(15500)))
    case.assertEqual(Spent(), window.grown(CHAT, NOW + ms(20000)))
    case.assertEqual(Spent(), window.grown(ServiceId("other"), NOW))


def test_counters_that_seem_older_by_a_quick_datagram_still_count() -> None:
    # The last datagram of a peer takes 2 ms where the one before took 40. Its counters
    # seem to be the older ones, and the fleet's sum would lack them for good.
    window = SpendingWindow(timedelta(seconds=10))
    window.note(Meter(1, CHAT), NOW, Spent(0, 0))
    window.note(Meter(1, CHAT), NOW + ms(240), Spent(3, 0))
    window.note(Meter(1, CHAT), NOW + ms(220), Spent(4, 1))
    case.assertEqual(Spent(4, 1), window.grown(CHAT, NOW + ms(300)))


def test_samples_do_not_pile_up_while_nobody_asks() -> None:
    window = SpendingWindow(timedelta(seconds=10))
    for each in range(1000):
        window.note(Meter(1, CHAT), NOW + ms(200 * each), Spent(each, 0))
    case.assertLess(len(window.samples[Meter(1, CHAT)]), 60)


def test_lives_that_are_over_leave_no_meters_and_the_sum_does_not_step() -> None:
    # An instance crashes and restarts 10,000 times, twice a second. Each life left its
    # counters in the window for ever, and each decision on a repeat went through all.
    # What a life spent within the window must count on: forgotten repeats would be
    # spent a second time.
    window = SpendingWindow(timedelta(seconds=10))
    over: set[int] = set()
    for life in range(1, 10_001):
        now = NOW + ms(500 * life)
        window.note(Meter(life, CHAT), now, Spent())
        window.note(Meter(life, CHAT), now + ms(100), Spent(10, 2))
        over.add(life - 1)
        before = window.grown(CHAT, now + ms(400))
        window.forget({life}, over, now + ms(400))
        case.assertEqual(before, window.grown(CHAT, now + ms(400)))
        case.assertEqual(2 * min(life, 20), before.repeats)
    case.assertLess(len(window.samples), 30)


def test_an_absent_life_counts_on_when_it_comes_back() -> None:
    # An instance is cut off for minutes, goes on repeating and comes back. If its meter
    # were forgotten, its first word would be where its growth begins, and the repeats
    # of its last seconds would not count.
    window = SpendingWindow(timedelta(seconds=10))
    window.note(Meter(1, CHAT), NOW, Spent(100, 10))
    back = NOW + timedelta(minutes=5)
    window.forget(set(), set(), back)
    window.note(Meter(1, CHAT), back, Spent(110, 14))
    case.assertEqual(Spent(10, 4), window.grown(CHAT, back))


def test_the_longest_unchanged_of_many_absent_lives_are_forgotten() -> None:
    window = SpendingWindow(timedelta(seconds=10))
    for life in range(ABSENT_KEPT + 500):
        window.note(Meter(life, CHAT), NOW + ms(life), Spent(1, 1))
    later = NOW + timedelta(minutes=1)
    window.note(Meter(7, CHAT), later, Spent(2, 2))
    window.forget({0}, set(), later)
    kept = {meter.boot for meter in window.samples}
    case.assertEqual({0, 7, *range(500, ABSENT_KEPT + 500)}, kept)


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

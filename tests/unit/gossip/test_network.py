"""Tests of many exchanges on a network that loses, doubles, reorders and parts."""

from collections.abc import Callable
from datetime import timedelta
from unittest import TestCase

from msgspec.structs import replace

from mimosafork.gossip.effects import EndpointSaid, PeerDown, PeerRestarted, PeerUp
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.doubt import DOUBT, Doubt, Reason
from mimosafork.gossip.kinds.endpoints import ENDPOINTS, EndpointWord, Word
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.links import Link
from mimosafork.gossip.members import Address
from mimosafork.gossip.timing import Timing
from mimosafork.ids import EndpointId, InstanceId

from ...support.functions import function_tests
from ...support.gossip_network import Network, identity, ms, names
from ...support.versions import version

case = TestCase()

RELAYING = Timing(mesh_size=24)
"""Of fleets that pass words on, at a size that a test can play."""

HOST = EndpointId("i-7f3a91c2")


def note(number: int, prompt: int = 2000) -> WorkNote:
    return WorkNote(number, HOST, prompt, 300, 250)


def numbers(node: Exchange, of: Exchange, now: timedelta) -> list[int]:
    """Return the numbers of the works that a node knows of another."""
    return sorted(
        work.note.number
        for load in node.state.loads(now)
        if load.instance == of.me.instance
        for work in load.works
    )


def all_know(nodes: list[Exchange], of: Exchange, now: timedelta) -> list[list[int]]:
    return [numbers(node, of, now) for node in nodes if node is not of]


def test_all_find_each_other_by_one_seed() -> None:
    network = Network()
    nodes = network.fleet(8)
    network.run(ms(1500))
    for node in nodes:
        case.assertEqual(7, len(names(node)))


def test_news_of_load_arrives_within_a_tenth_of_a_second() -> None:
    network = Network()
    nodes = network.fleet(8)
    network.run(ms(2000))
    nodes[3].say(LOAD, 7, note(7), network.now)
    network.run(ms(50))
    case.assertEqual([[7]] * 7, all_know(nodes, nodes[3], network.now))
    nodes[3].say(LOAD, 7, None, network.now)
    network.run(ms(50))
    case.assertEqual([[]] * 7, all_know(nodes, nodes[3], network.now))


def test_an_endpoint_is_known_to_leave_within_the_same_time() -> None:
    network = Network()
    nodes = network.fleet(3)
    network.run(ms(2000))
    said = EndpointWord(Word.LEAVING, version(40))
    nodes[0].say(ENDPOINTS, HOST, said, network.now)
    network.run(ms(30))
    for node in nodes[1:]:
        case.assertIn(EndpointSaid(HOST, said), network.effects[node.me.instance])
    network.run(timedelta(seconds=11))
    case.assertIsNone(nodes[1].state.endpoint_word(HOST))


def test_an_idle_fleet_is_quiet() -> None:
    network = Network()
    nodes = network.fleet(8)
    network.run(timedelta(seconds=10))
    before = [node.counters.sent_bytes for node in nodes]
    network.run(timedelta(seconds=10))
    rates = [
        (node.counters.sent_bytes - at) / 10
        for node, at in zip(nodes, before, strict=True)
    ]
    case.assertLess(max(rates), 700)


def test_what_is_lost_doubled_and_overtaken_is_repaired() -> None:
    # A fifth of all datagrams is lost, another fifth arrives twice, and they overtake
    # each other. An instance that missed the end of a work would count it as load for
    # good, and one that took an old datagram after a newer one would bring a work
    # that has ended back to life.
    network = Network(seed=3, loss=0.2, doubled=0.2, spread=ms(40))
    nodes = network.fleet(8)
    network.run(timedelta(seconds=4))
    for number in range(200):
        sender = nodes[number % 8]
        sender.say(LOAD, number, note(number), network.now)
        if number >= 40:
            nodes[(number - 40) % 8].say(LOAD, number - 40, None, network.now)
        network.run(ms(10))
    network.run(timedelta(seconds=4))
    for at, sender in enumerate(nodes):
        own = sorted(each for each in range(160, 200) if each % 8 == at)
        case.assertEqual([own] * 7, all_know(nodes, sender, network.now))


def test_a_partition_forgets_load_and_heals_at_once() -> None:
    # Three of eight instances are cut off for ten seconds. Their load must not count
    # on the other side meanwhile, and what ended during the cut must not count after
    # it: a tombstone that was sent into the cut is gone. Once the cut is mended, both
    # sides know all again within three seconds.
    network = Network()
    nodes = network.fleet(8)
    nodes[0].say(LOAD, 1, note(1), network.now)
    nodes[0].say(LOAD, 2, note(2), network.now)
    network.run(ms(2000))
    network.part(nodes[:3])
    network.run(timedelta(seconds=5))
    case.assertEqual(["front-1", "front-2"], names(nodes[0]))
    case.assertEqual([], numbers(nodes[5], nodes[0], network.now))
    case.assertIn(PeerDown(nodes[0].me), network.effects[nodes[5].me.instance])
    nodes[0].say(LOAD, 1, None, network.now)
    network.run(timedelta(seconds=5))
    network.heal()
    network.run(timedelta(seconds=3))
    case.assertEqual([[2]] * 7, all_know(nodes, nodes[0], network.now))
    case.assertEqual(7, len(names(nodes[0])))


def test_a_cut_of_over_a_minute_heals_by_seeds_and_names() -> None:
    # A zone is cut off for so long that both sides drop each other. Nobody sends to
    # the other side any more but to the seed, and it has to bring both together.
    network = Network()
    nodes = network.fleet(6)
    network.run(ms(2000))
    network.part(nodes[3:])
    network.run(timedelta(seconds=70))
    case.assertEqual(3, len(nodes[0].roster.members) + 1)
    network.heal()
    network.run(timedelta(seconds=8))
    case.assertEqual([5] * 6, [len(names(node)) for node in nodes])


def test_a_path_that_works_one_way_only_is_repaired_after_it() -> None:
    # Nothing from A reaches B for five seconds, while A hears B all along and never
    # suspects it. B has forgotten A's load and A doesn't know: what A has confirmed
    # as sent would stay unknown to B. B says that it needs everything.
    network = Network()
    first, second = network.fleet(2)
    first.say(LOAD, 1, note(1), network.now)
    network.run(ms(2000))
    network.cut = lambda source, target: source == first.me.address
    network.run(timedelta(seconds=5))
    case.assertEqual([], numbers(second, first, network.now))
    case.assertEqual(["front-1"], names(first))
    network.heal()
    network.run(timedelta(seconds=3))
    case.assertEqual([1], numbers(second, first, network.now))


def test_a_restart_replaces_the_life_before() -> None:
    # An instance is killed and starts again within a second under its name. Its works
    # of before are gone, and its new numbers begin low: they must not be taken for
    # old news of the life before.
    network = Network()
    nodes = network.fleet(4)
    for number in range(50):
        nodes[1].say(LOAD, number, note(number), network.now)
        network.run(ms(10))
    network.stop(nodes[1])
    network.run(ms(500))
    reborn = network.add(identity(1, 777, 2), [identity(0).address])
    reborn.say(LOAD, 900, note(900), network.now)
    network.run(ms(1000))
    for node in (nodes[0], nodes[2], nodes[3]):
        case.assertEqual([900], numbers(node, reborn, network.now))
        effects = network.effects[node.me.instance]
        case.assertIn(PeerRestarted(reborn.me), effects)


def test_datagrams_of_a_life_that_is_over_are_passed_over() -> None:
    network = Network()
    first, second = network.fleet(2)
    first.say(LOAD, 1, note(1), network.now)
    network.run(ms(2000))
    old = first.outbox.hello(
        second.me.address,
        second.flags(first.me.instance, second.links[first.me.instance]),
    )
    network.stop(first)
    network.add(identity(0, 777, 2), [second.me.address])
    network.run(ms(1000))
    network.send(first.me.address, second.me.address, old.data)
    network.run(ms(500))
    case.assertEqual(777, second.roster.members[InstanceId("front-0")].identity.boot)


def test_a_restart_after_a_clock_step_back_is_taken_in() -> None:
    # Wall time jumps back by an hour, then an instance restarts: its start stamp is
    # older than that of its life before. Peers would pass over all it says for good.
    network = Network()
    nodes = network.fleet(3)
    network.run(ms(2000))
    network.stop(nodes[1])
    reborn = network.add(identity(1, 777, 0), [identity(0).address])
    network.run(timedelta(seconds=7))
    case.assertEqual(
        [2] * 3, [len(names(each)) for each in (nodes[0], nodes[2], reborn)]
    )


def test_a_frozen_instance_wakes_without_old_news_or_false_suspicion() -> None:
    # An instance is suspended for five seconds. Its socket has kept datagrams of all
    # that time, and on waking it would take the oldest for fresh, or find that all
    # its peers have been silent and forget them. It does neither, and soon knows
    # what has changed.
    network = Network()
    nodes = network.fleet(4)
    nodes[0].say(LOAD, 1, note(1), network.now)
    network.run(ms(2000))
    network.freeze(nodes[3])
    network.run(ms(1000))
    nodes[0].say(LOAD, 1, None, network.now)
    nodes[0].say(LOAD, 2, note(2), network.now)
    network.run(ms(4000))
    case.assertEqual(2, len(names(nodes[0])))
    network.thaw(nodes[3])
    case.assertGreater(nodes[3].counters.stale, 0)
    network.run(ms(5))
    case.assertEqual(3, len(names(nodes[3])))
    network.run(timedelta(seconds=3))
    case.assertEqual([2], numbers(nodes[3], nodes[0], network.now))
    case.assertEqual(3, len(names(nodes[0])))
    downs = [
        each
        for each in network.effects[nodes[3].me.instance]
        if isinstance(each, PeerDown)
    ]
    case.assertEqual([], downs)


def test_the_age_of_news_goes_on_while_its_sender_is_frozen() -> None:
    # A frozen instance wakes and sends what it had to say before. The receiver must
    # see how old that is, or it takes the load of seconds ago for that of now.
    network = Network()
    nodes = network.fleet(2)
    network.run(ms(2000))
    nodes[0].say(LOAD, 1, note(1), network.now)
    network.freeze(nodes[0])
    network.run(ms(2500))
    network.thaw(nodes[0])
    network.run(ms(100))
    works = nodes[1].state.loads(network.now)[0].works
    case.assertGreater(works[0].age, ms(2500))


def one_way(source: Exchange, target: Exchange) -> Callable[[Address, Address], bool]:
    """Return a cut in which only datagrams from one to another are lost."""
    lost = (source.me.address, target.me.address)
    return lambda its_source, its_target: (its_source, its_target) == lost


def test_a_work_that_ends_while_datagrams_pass_one_way_only_is_forgotten() -> None:
    # One instance hears another that does not hear it. The deaf one takes it for gone
    # and tells it nothing, a work's end neither; the other goes on to count the work.
    # When the deaf one had forgotten the end before it heard again, the work counted
    # for good, and its endpoint seemed to bear more than it did.
    for cut_s in (10, 40, 55, 70, 90):
        network = Network()
        deaf, hearing, _ = network.fleet(3)
        network.run(ms(2000))
        deaf.say(LOAD, 1, note(1), network.now)
        network.run(ms(500))
        case.assertEqual([1], numbers(hearing, deaf, network.now))
        network.cut = one_way(hearing, deaf)
        network.run(timedelta(seconds=5))
        deaf.say(LOAD, 1, None, network.now)
        network.run(timedelta(seconds=cut_s))
        network.heal()
        network.run(timedelta(seconds=10))
        case.assertIn(hearing.me.instance, names(deaf))
        case.assertEqual([], numbers(hearing, deaf, network.now))


def test_forty_instances_relay_to_a_bounded_number_of_partners() -> None:
    network = Network(loss=0.02)
    nodes = network.fleet(40, RELAYING)
    network.run(timedelta(seconds=12))
    case.assertEqual({39}, {len(names(node)) for node in nodes})
    case.assertLessEqual(max(len(node.partners) for node in nodes), 6)
    nodes[5].say(DOUBT, "i-1", Doubt(Reason.GREY), network.now)
    network.run(ms(400))
    case.assertGreaterEqual(doubting(nodes, nodes[5]), 37)
    nodes[5].say(DOUBT, "i-1", None, network.now)
    network.run(timedelta(seconds=3))
    case.assertEqual(0, doubting(nodes, nodes[5]))


def doubting(nodes: list[Exchange], origin: Exchange) -> int:
    """Return how many others know of a doubt that one instance has told."""
    name = origin.me.instance
    ledgers = [each.roster.members[name].ledger for each in nodes if each is not origin]
    return sum(ledger.value(DOUBT.number, "i-1") is not None for ledger in ledgers)


def test_a_work_is_told_in_a_large_fleet_to_those_who_share_its_engines() -> None:
    """Callers wait for engines that others filled, though words should tell of it.

    Each of 195 instances passed on all others' works; that took more bytes and time
    than each has, so that all were late. Told only to those who may choose the engine,
    and by the origin itself, a work is known to these at once, and so is its end.
    """
    network = Network(loss=0.02)
    nodes = network.fleet(40, RELAYING)
    network.run(timedelta(seconds=12))
    origin, sharers = nodes[5], nodes[10:22]
    audience = frozenset(each.me.instance for each in sharers)
    all_works = list(range(1, 25))
    for number in all_works:
        origin.tell(LOAD, number, note(number), audience, network.now)
        network.run(ms(30))
    network.run(ms(80))
    # A lost datagram is noticed once a later one has arrived: the last works may take
    # longer.
    due = all_works[:20]
    for node in nodes:
        if node is not origin:
            known = sorted(numbers(node, origin, network.now))
            case.assertEqual(due if node in sharers else [], known[: len(due)])
    for number in all_works:
        origin.tell(LOAD, number, None, frozenset(), network.now)
    network.run(timedelta(seconds=3))
    case.assertEqual([[]] * 39, all_know(nodes, origin, network.now))
    case.assertEqual({}, origin.audiences)


def test_what_was_told_to_some_is_confirmed_and_not_sent_again() -> None:
    """A peer that is no partner sends no heartbeats to the one that told it a work.

    Unconfirmed, its words would be sent again each 1.2 s for as long as both live.
    """
    network = Network()
    nodes = network.fleet(30, RELAYING)
    network.run(timedelta(seconds=12))
    origin = nodes[5]
    audience = frozenset(each.me.instance for each in nodes) - {origin.me.instance}
    origin.tell(LOAD, 1, note(1), audience, network.now)
    network.run(timedelta(seconds=2))
    flights = [
        flight.news
        for link in origin.links.values()
        for flight in link.flights.values()
        if any(news.slot.kind == LOAD.number for news in flight.news)
    ]
    case.assertEqual([], flights)


def test_a_work_that_began_in_a_small_fleet_is_ended_for_all() -> None:
    """Peers join while a work runs, and the fleet passes the size for telling all.

    Who heard of it before must hear of its end, or the engine seems taken for good.
    """
    network = Network()
    timing = Timing(mesh_size=12)
    nodes = network.fleet(10, timing)
    network.run(timedelta(seconds=5))
    origin = nodes[5]
    origin.tell(LOAD, 1, note(1), frozenset(), network.now)
    network.run(ms(300))
    case.assertEqual([[1]] * 9, all_know(nodes, origin, network.now))
    for number in range(10, 20):
        network.add(identity(number), [identity(0).address], timing)
    network.run(timedelta(seconds=8))
    case.assertTrue(origin.circle.relaying)
    origin.tell(LOAD, 1, note(1, 3000), frozenset(), network.now)
    network.run(ms(300))
    origin.tell(LOAD, 1, None, frozenset(), network.now)
    network.run(timedelta(seconds=2))
    case.assertEqual([[]] * 9, all_know(nodes, origin, network.now))


def test_a_large_fleet_notices_who_is_gone_and_who_comes() -> None:
    # Beyond the mesh size most instances hear of each other through others only. One
    # that is killed must be suspected by all of them, though its news is still known
    # everywhere, and its next life must be taken in by all.
    network = Network()
    nodes = network.fleet(30, RELAYING)
    network.run(timedelta(seconds=12))
    network.stop(nodes[4])
    network.run(timedelta(seconds=14))
    rest = [node for node in nodes if node is not nodes[4]]
    case.assertEqual({28}, {len(names(node)) for node in rest})
    reborn = network.add(identity(4, 777, 2), [identity(0).address])
    reborn.say(LOAD, 9, note(9), network.now)
    network.run(timedelta(seconds=12))
    case.assertEqual([[9]] * 29, all_know(rest, reborn, network.now))


def test_pulses_of_a_large_fleet_go_together() -> None:
    # Instances of a large fleet pass on each other's pulses. As these come at all
    # instants, each made a datagram to each partner: at 80 instances 93 a second from
    # each that had nothing to say.
    network = Network()
    timing = Timing(mesh_size=6)
    for number in range(20):
        network.add(identity(number), [identity(0).address], timing)
        network.run(ms(130))
    network.run(timedelta(seconds=10))
    nodes = list(network.nodes.values())
    case.assertEqual({19}, {len(names(node)) for node in nodes})
    before = sum(node.counters.sent for node in nodes)
    network.run(timedelta(seconds=10))
    each_s = (sum(node.counters.sent for node in nodes) - before) / 20 / 10
    case.assertLess(each_s, 30)


def test_a_link_that_is_not_looked_at_has_nothing_due() -> None:
    # In a large fleet a tick looks at few links. Were one left out that has news, a
    # question or a lost datagram, its peer would wait until something else woke it.
    network = Network(seed=4, loss=0.1, doubled=0.1, spread=ms(30))
    nodes = network.fleet(14, Timing(mesh_size=5, fan_out=4))
    asleep = 0
    for turn in range(200):
        nodes[turn % 14].say(LOAD, turn, note(turn), network.now)
        if turn == 50:
            network.part(nodes[:3])
        if turn == 130:
            network.heal()
        network.run(ms(50))
        for node in nodes:
            for name, link in node.links.items():
                if name in node.circle.awake:
                    continue
                asleep += 1
                case.assertIsNone(link.due)
                case.assertEqual({}, link.flights)
                case.assertNotIn(name, node.partners)
                case.assertTrue(node.roster.members[name].alive)
    case.assertGreater(asleep, 1000)


def test_heartbeats_come_to_go_together_and_no_later() -> None:
    """Idle instances take processor time that their deployment pays for.

    Each woke up for the heartbeat of every single peer. As those that are nearly due go
    along with one that comes, they come together, none later than its time.
    """
    network = Network()
    nodes = [network.add(identity(0))]
    for number in range(1, 20):
        network.run(ms(130))
        nodes.append(network.add(identity(number), [nodes[0].me.address]))
    network.run(timedelta(seconds=10))
    before = {node.me.instance: node.counters.received for node in nodes}
    woken = dict.fromkeys(before, 0)
    longest = timedelta(0)
    for _ in range(800):
        heard = {node.me.instance: node.counters.received for node in nodes}
        network.run(ms(5))
        for node in nodes:
            woken[node.me.instance] += node.counters.received > heard[node.me.instance]
            sents = [link.sent for link in node.links.values()]
            oldest = min(sent for sent in sents if sent is not None)
            longest = max(longest, network.now - oldest)
    for node in nodes:
        came = node.counters.received - before[node.me.instance]
        case.assertGreaterEqual(came, 19 * 7)
        case.assertLess(woken[node.me.instance], came / 3)
    case.assertLessEqual(longest, nodes[0].timing.heartbeat + ms(5))


def test_a_gap_is_told_again_where_word_of_it_was_lost() -> None:
    """An instance takes an engine for idle on which a peer began a work long ago.

    The datagram with the work was lost. The next one showed the gap, which was told at
    once, but that datagram was lost as well; and later ones showed no gap before them.
    """
    network = Network()
    teller, hearer = network.fleet(2)
    network.run(timedelta(seconds=3))
    teller.say(LOAD, 1, note(1), network.now)
    lose_from(network, teller)
    network.run(ms(20))
    for number in (2, 3):
        network.heal()
        teller.say(LOAD, number, note(number), network.now)
        network.run(ms(10))
        if number == 2:
            lose_from(network, hearer)
        network.run(ms(40))
    network.run(ms(100))
    case.assertEqual([1, 2, 3], numbers(hearer, teller, network.now))


def lose_from(network: Network, node: Exchange) -> None:
    """Lose all datagrams of one instance."""
    network.cut = lambda source, target: source == node.me.address


def test_a_link_that_is_passed_over_has_nothing_due() -> None:
    """Peers take an instance for dead, or hear of its works a second late.

    A tick passes over links until the instant that was worked out for each, and the
    next tick comes when one of them is due. News, losses, cuts and changes of who is a
    partner bring that forward; one that did not would leave a peer without its word.
    """
    for timing in (Timing(), Timing(mesh_size=5, fan_out=4), Timing(crowd=6)):
        network = Network(seed=6, loss=0.1, doubled=0.1, spread=ms(30))
        nodes = network.fleet(14, timing)
        passed_over = 0
        for turn in range(200):
            nodes[turn % 14].say(LOAD, turn, note(turn), network.now)
            if turn == 50:
                network.part(nodes[:7])
            if turn == 130:
                network.heal()
            network.run(ms(50))
            for node in nodes:
                wanted = node.sender.next_due(network.now)
                case.assertLessEqual(node.next_due(network.now), wanted)
                for name, link in node.circle.awake.items():
                    if link.look > network.now:
                        passed_over += 1
                        case.assertFalse(is_due(node, name, link, network.now))
        case.assertGreater(passed_over, 1000)


def is_due(node: Exchange, name: InstanceId, link: Link, now: timedelta) -> bool:
    """Return whether a datagram is due on a link, or lost news on it."""
    member = node.roster.members[name]
    lost = any(
        now - flight.sent >= node.timing.resend_after
        for flight in link.flights.values()
    )
    return lost or node.sender.is_due(name, member, link, now)


def test_datagrams_stay_within_their_size() -> None:
    network = Network()
    nodes = network.fleet(4)
    for number in range(600):
        nodes[0].say(LOAD, number, note(number, 182_000), network.now)
    network.run(timedelta(seconds=3))
    case.assertEqual([list(range(600))] * 3, all_know(nodes, nodes[0], network.now))
    case.assertLessEqual(network.longest, 1200)


def test_a_tight_budget_skips_states_and_is_kept() -> None:
    # An instance has more news than it may send. The newest state must win in the
    # end, and the bytes a second must stay within the budget.
    timing = Timing(budget_bytes_s=3000)
    network = Network()
    nodes = network.fleet(4, timing)
    network.run(ms(2000))
    before = nodes[0].counters.sent_bytes
    for turn in range(500):
        for number in range(20):
            nodes[0].say(LOAD, number, note(number, turn), network.now)
        network.run(ms(10))
    spent = nodes[0].counters.sent_bytes - before
    case.assertLess(spent, 3000 * 5 * 1.5 + 3000)
    network.run(timedelta(seconds=3))
    loads = nodes[1].state.loads(network.now)[0]
    prompts = {work.note.prompt_tokens for work in loads.works}
    case.assertEqual({499}, prompts)


def test_two_of_one_name_do_not_ask_each_other_on_and_on() -> None:
    # By a fault of the machines two processes run under one name. Neither takes the
    # other in. Were each asked for its name again and again, the two would fill the
    # network with questions.
    network = Network()
    nodes = network.fleet(2)
    twin = replace(identity(1, 777, 0), address=Address("10.0.0.99", 7340))
    network.add(twin, [identity(0).address, identity(1).address])
    network.run(ms(2000))
    before = [node.counters.sent for node in network.nodes.values()]
    network.run(timedelta(seconds=10))
    after = [node.counters.sent for node in network.nodes.values()]
    for sent, at in zip(after, before, strict=True):
        case.assertLess(sent - at, 120)
    case.assertEqual(["front-1"], names(nodes[0]))


def test_a_stale_seed_does_no_harm() -> None:
    network = Network()
    nowhere = Address("10.9.9.9", 7340)
    nodes = [
        network.add(identity(each), [nowhere, identity(0).address]) for each in range(3)
    ]
    network.run(ms(2000))
    case.assertEqual([2] * 3, [len(names(node)) for node in nodes])
    ups = [
        each
        for each in network.effects[nodes[0].me.instance]
        if isinstance(each, PeerUp)
    ]
    case.assertEqual(2, len(ups))


load_tests = function_tests(__name__)

"""The instants kept for each link against those computed from all links."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.links import Alarm, Link
from mimosafork.gossip.timing import Timing
from mimosafork.ids import EndpointId, InstanceId

from ...support.functions import function_tests
from ...support.gossip_network import Network, identity, ms

case = TestCase()

TIMINGS = (
    Timing(),
    Timing(mesh_size=5, fan_out=4),
    Timing(crowd=6),
    Timing(budget_bytes_s=900),
)


def note(number: int) -> WorkNote:
    return WorkNote(number, EndpointId("i-7f3a91c2"), 2000, 300, 250)


def troubled_fleets() -> Iterator[tuple[Exchange, timedelta]]:
    """Yield each instance of fleets with losses, cuts and restarts, at each step."""
    for seed, timing in enumerate(TIMINGS, start=3):
        network = Network(seed=seed, loss=0.1, doubled=0.1, spread=ms(30))
        nodes = network.fleet(14, timing)
        random = Random(seed)
        for turn in range(200):
            nodes[turn % 14].say(LOAD, turn, note(turn), network.now)
            audience = frozenset(
                each.me.instance for each in random.sample(nodes, random.randrange(5))
            )
            node = random.choice(nodes)
            node.tell(LOAD, 1000 + turn // 2, note(turn), audience, network.now)
            if turn == 50:
                network.part(nodes[:5])
            if turn == 90:
                nodes[13] = network.add(identity(13, 9000, 2), [nodes[0].me.address])
            if turn == 130:
                network.heal()
            for _ in range(5):
                network.run(ms(10))
                yield from ((each, network.now) for each in nodes)


def due_by_all_links(node: Exchange, now: timedelta) -> timedelta:
    """Return when the next tick is due at the latest, computed from all links."""
    heartbeat = node.sender.heartbeat()
    due = now + heartbeat
    for name, link in node.links.items():
        if link.sent is None:
            return now
        if link.due is not None:
            due = min(due, link.due)
        if name in node.partners:
            due = min(due, link.sent + heartbeat)
    return max(due, now)


def is_anything_due(node: Exchange, name: InstanceId, now: timedelta) -> bool:
    """Return whether a datagram is due on a link, or lost news on it."""
    link, member = node.links[name], node.roster.members[name]
    lost = any(
        now - flight.sent >= node.timing.resend_after
        for flight in link.flights.values()
    )
    return lost or node.sender.is_due(name, member, link, now)


def test_a_tick_is_never_later_than_computed_from_all_links() -> None:
    """A peer is told too late, and others choose the same engine meanwhile.

    The instant of the next tick is kept up as news becomes due and datagrams go out,
    in place of a pass over all links at each tick. It may be too early, never too late.
    """
    later = 0
    for node, now in troubled_fleets():
        wanted = due_by_all_links(node, now)
        later += wanted > now
        case.assertLessEqual(node.next_due(now), wanted)
    case.assertGreater(later, 30_000)


def test_a_tick_takes_all_links_on_which_something_is_due() -> None:
    """News, lost news or a heartbeat of a peer waits for what wakes its link next.

    A tick serves the links whose instant has come, by heaps. A link whose instant was
    not put there, or is too late, would be left out.
    """
    due = 0
    for node, now in troubled_fleets():
        alarm = node.circle.alarm
        at = max(now, alarm.at)
        taken = [link for due_at, _, link in alarm.dues if link.due == due_at <= at]
        taken += [
            link for due_at, _, link in alarm.checks if link.check == due_at <= at
        ]
        names = {each.name for each in taken}
        for name, link in node.links.items():
            if is_anything_due(node, name, at):
                due += 1
                case.assertIn(name, names)
                case.assertIs(link, node.circle.awake[name])
    case.assertGreater(due, 1000)


def test_the_oldest_partner_is_that_of_all_partners() -> None:
    """The heartbeat of a partner is late, and it takes this instance for dead.

    The partner whose heartbeat is next is looked for again only after it was sent a
    datagram, or others were chosen.
    """
    compared = 0
    for node, _ in troubled_fleets():
        sent = [node.links[name].sent for name in node.partners]
        known = [each for each in sent if each is not None]
        if known and len(known) == len(sent):
            compared += 1
            case.assertEqual(min(known), node.circle.sent_first())
    case.assertGreater(compared, 30_000)


def test_news_goes_to_all_partners_and_choosers() -> None:
    """A peer that is to be told is left out, as news goes over some links alone."""
    compared = 0
    for node, now in troubled_fleets():
        told = {name for name in node.links if node.circle.is_partner(name, now)}
        compared += len(told)
        case.assertLessEqual(told, set(node.circle.told))
    case.assertGreater(compared, 30_000)


instants = st.integers(0, 20).map(ms)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("hurry"), st.integers(0, 4), instants),
        st.tuples(st.just("check"), st.integers(0, 4), instants),
        st.tuples(st.just("sent"), st.integers(0, 4), instants),
        st.tuples(st.just("reset"), st.integers(0, 4), instants),
        st.tuples(st.just("take"), st.just(0), instants),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(steps)
def test_an_alarm_knows_the_instants_of_all_its_links(
    done: list[tuple[str, int, timedelta]],
) -> None:
    """An instant that is superseded hides a later one of its link, which is forgotten.

    Heaps keep superseded instants until they come up.
    """
    alarm = Alarm()
    links = [Link(alarm, InstanceId(str(each))) for each in range(5)]
    for what, which, instant in done:
        link = links[which]
        if what == "hurry":
            link.hurry(instant)
        elif what == "check":
            link.check_at(instant)
        elif what == "sent":
            link.due = None
        elif what == "reset":
            link.reset()
        else:
            wanted = {each.name for each in links if each.look <= instant}
            taken = alarm.take(instant)
            case.assertEqual(wanted, {each.name for each in taken})
            case.assertEqual(len(wanted), len(taken))
            for each in taken:
                each.due = None
                each.check_at(timedelta.max)
        dues = [each.due for each in links if each.due is not None]
        case.assertEqual(min(dues, default=timedelta.max), alarm.first_due())


load_tests = function_tests(__name__)

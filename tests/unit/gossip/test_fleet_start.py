"""Running work is known to peers while a whole fleet starts."""

import unittest
from datetime import timedelta
from random import Random

from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.row_version import RowVersion
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.configuration import CONFIGURATION, Versions
from mimosafork.gossip.kinds.connectivity import CONNECTIVITY, KEY, Connectivity
from mimosafork.gossip.kinds.doubt import DOUBT, Doubt, Reason
from mimosafork.gossip.kinds.feed import FEED
from mimosafork.gossip.kinds.feed import KEY as FEED_KEY
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.timing import Timing
from mimosafork.ids import EndpointId
from tests.support.functions import function_tests
from tests.support.gossip_network import Network, identity, ms

case = unittest.TestCase()

LARGE_FLEET = Timing(mesh_size=30, budget_bytes_s=3_500, datagram_bytes=300)
"""Bytes and state in about the same proportion as in a fleet of 111 with 27,000 a
second: the state of all instances grows with the square of their number."""
INSTANCES = 40
FEED_READERS = 8
RECIPIENTS = 6
EJECTED = Doubt(next(iter(Reason)))
KNOWN_AFTER = ms(30)
KNOWN_SHARE = 0.95
STATE_ENTRIES = 2_000


def started_fleet(network: Network, random: Random) -> list[Exchange]:
    """Start instances within 0.3 s, each of which reads the names of all others."""
    nodes = [network.add(identity(each), (), LARGE_FLEET) for each in range(INSTANCES)]
    starts = sorted((random.uniform(0, 300), each) for each in range(INSTANCES))
    begin = network.now
    for after_ms, number in starts:
        while network.now < begin + ms(after_ms):
            network.run(ms(5))
        node = nodes[number]
        for other in nodes:
            if other is not node:
                node.learn(other.me, network.now)
        node.say(CONNECTIVITY, KEY, Connectivity(7341), network.now)
        node.say(CONFIGURATION, 0, Versions((1, 0, 4), (0, 4)), network.now)
    return nodes


def run_with_feed_updates(
    network: Network, nodes: list[Exchange], seconds: int
) -> None:
    """Let time pass, in which some instances publish the state of the store's feed."""
    update = FeedUpdate(RowVersion(0, 4), RowVersion(0, 4))
    for _ in range(seconds):
        for node in nodes[:FEED_READERS]:
            node.confirm(FEED, FEED_KEY, update, network.now)
        network.run(timedelta(seconds=1))


def known_share(network: Network, nodes: list[Exchange], random: Random) -> float:
    """Publish works for a second; return the share of recipients that know in time."""
    known = asked = 0
    for number in range(1, 34):
        origin, *recipients = random.sample(nodes, RECIPIENTS + 1)
        audience = frozenset(each.me.instance for each in recipients)
        work = WorkNote(number, EndpointId(f"e-{number}"), 4_960, 1_500)
        origin.tell(LOAD, number, work, audience, network.now)
        network.run(KNOWN_AFTER)
        asked += len(recipients)
        known += sum(
            each.state.work(origin.me.instance, number, network.now) is not None
            for each in recipients
        )
    return known / asked


def test_works_are_known_at_once_a_few_seconds_after_a_whole_fleet_has_started() -> (
    None
):
    """State for new partners must not delay the notes of running work.

    Instances that do not receive them place further calls on engines that are full.
    """
    network, random = Network(seed=7), Random(3)
    nodes = started_fleet(network, random)
    run_with_feed_updates(network, nodes, seconds=4)
    case.assertGreaterEqual(known_share(network, nodes, random), KNOWN_SHARE)


def test_state_reaches_all_instances_of_a_fleet_that_has_just_started() -> None:
    """State dropped for former partners must arrive through the present ones."""
    network, random = Network(seed=8), Random(4)
    nodes = started_fleet(network, random)
    run_with_feed_updates(network, nodes, seconds=8)
    for node in nodes:
        known = [
            node.state.connectivity(each.me.instance) for each in nodes if each != node
        ]
        case.assertNotIn(None, known)


def test_relayed_state_leaves_bytes_for_running_work() -> None:
    """Works must be sent while more state is due than the budget allows."""
    network = Network(seed=9)
    nodes = [network.add(identity(each), (), LARGE_FLEET) for each in range(2)]
    for node, other in ((nodes[0], nodes[1]), (nodes[1], nodes[0])):
        node.learn(other.me, network.now)
    network.run(timedelta(seconds=2))
    origin, receiver = nodes
    for number in range(STATE_ENTRIES):
        origin.say(DOUBT, f"e-{number}", EJECTED, network.now)
    network.run(ms(400))
    audience = frozenset({receiver.me.instance})
    work = WorkNote(1, EndpointId("e-1"), 4_960, 1_500)
    origin.tell(LOAD, 1, work, audience, network.now)
    network.run(KNOWN_AFTER)
    case.assertIsNotNone(receiver.state.work(origin.me.instance, 1, network.now))
    case.assertLess(state_known(receiver, origin), STATE_ENTRIES)


def state_known(receiver: Exchange, origin: Exchange) -> int:
    """Return how many entries of the published state a receiver knows."""
    member = receiver.roster.members[origin.me.instance]
    return len(member.ledger.of(DOUBT.number))


load_tests = function_tests(__name__)

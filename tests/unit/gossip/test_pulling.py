"""Tests of what is pulled from whom."""

from random import Random
from unittest import TestCase

from mimosafork.gossip.kinds.configuration import CONFIGURATION, KEY, Versions
from mimosafork.gossip.ledger import Entry, Slot
from mimosafork.gossip.members import Address
from mimosafork.gossip.pulling import Puller
from mimosafork.gossip.pulls import Held, Matter
from mimosafork.gossip.roster import Roster
from mimosafork.gossip.timing import Timing

from ...support.functions import function_tests
from ...support.gossip_network import identity, ms

case = TestCase()

PEERS = 194


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
        versions = Entry(1, ms(0), Versions(number % 3, b"", 4))
        member.ledger.accept(Slot(CONFIGURATION.number, KEY), versions)
    looked: list[Matter] = []

    def holdings(matter: Matter) -> Held:
        looked.append(matter)
        return Held(1, b"")

    async def pull(address: Address, matter: Matter) -> Held:
        raise AssertionError("nothing is pulled here")

    puller = Puller(roster, holdings, pull, lambda matter, held: None, Random(1))
    newer = list(puller.offers(Matter.CONFIGURATION))
    case.assertEqual({2}, {version for version, _ in newer})
    case.assertEqual([Matter.CONFIGURATION], looked)


load_tests = function_tests(__name__)

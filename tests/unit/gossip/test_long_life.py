"""Tests that an instance's state stays bounded over a long life."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.crashes import INTERRUPTED_RUNS, RunNote
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.gossip.members import Identity
from mimosafork.ids import AccountId, Digest, EndpointId

from ...support.functions import function_tests
from ...support.gossip_network import FLEET, identity, ms
from ...support.reachable_items import count_reachable_items

case = TestCase()

HOST = EndpointId("i-7f3a91c2")
ACCOUNT = AccountId("account-a")
GAP = timedelta(milliseconds=700)


class LongLife:
    """One instance that lives on while its peer lives again and again.

    Parameters
    ----------
    life : callable
        Returns the identity of the peer's numbered life.
    works : int
        That each life has, at the peer and at the instance that lives on.
    """

    def __init__(self, life: Callable[[int], Identity], works: int = 1) -> None:
        self.life = life
        self.works = works
        self.now = timedelta(seconds=100)
        self.number = 0
        self.first = Exchange(identity(0), FLEET, Random(1))

    def run(self, lives: int) -> int:
        """Let so many lives pass; return how many items the state has."""
        for _ in range(lives):
            self.number += 1
            self.live()
            self.now += GAP
            self.first.tick(self.now)
        return count_reachable_items(self.first)

    def live(self) -> None:
        """Let the peer live, work, and be killed."""
        seed = self.first.me.address
        peer = Exchange(self.life(self.number), FLEET, Random(2), [seed])
        self.hand_over(peer, self.first)
        for each in range(self.works):
            work = self.number * self.works + each
            for node in (peer, self.first):
                node.say(LOAD, work, WorkNote(work, HOST, 2000, 300), self.now)
        digest = Digest(f"{self.number:032x}")
        note = RunNote(HOST, digest, ACCOUNT, (), 1, 50)
        peer.say(INTERRUPTED_RUNS, f"{HOST} {digest}", note, self.now)
        self.now += ms(5)
        self.hand_over(self.first, peer)
        self.now += ms(200)
        self.hand_over(peer, self.first)
        for each in range(self.works):
            self.first.say(LOAD, self.number * self.works + each, None, self.now)

    def hand_over(self, sender: Exchange, receiver: Exchange) -> None:
        """Tick one side, and give the other what is for it."""
        for each in sender.tick(self.now).datagrams:
            if each.address == receiver.me.address:
                receiver.datagram_received(each.data, sender.me.address, self.now)


def test_restarts_of_a_peer_leave_no_more() -> None:
    # An instance lives for weeks while a peer of it crashes and comes again. What it
    # holds may depend on what there is, not on what there was: each life left counters.
    long_life = LongLife(lambda life: identity(1, 5000 + life, life))
    early = long_life.run(1500)
    late = long_life.run(1500)
    case.assertLess(late, early * 1.05)


def test_calls_that_have_ended_leave_no_more() -> None:
    long_life = LongLife(lambda life: identity(1, 5000 + life, life), works=50)
    early = long_life.run(100)
    late = long_life.run(100)
    case.assertLess(late, early * 1.05)


def test_peers_that_never_come_back_leave_no_more() -> None:
    # Machines are replaced by others with other names: nobody tells that their lives
    # are over, they only fall silent.
    long_life = LongLife(lambda life: identity(life, 5000 + life))
    early = long_life.run(1200)
    late = long_life.run(1200)
    case.assertLess(late, early * 1.05)


load_tests = function_tests(__name__)

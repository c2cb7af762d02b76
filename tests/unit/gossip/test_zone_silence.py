"""Tests of how a cut zone is told from peers that are merely silent.

Fleets are those of the deployments: 7 and 9 instances, and tens of them, in three
zones; each is looked at every 50 ms, as the gateway does.
"""

from collections import Counter
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.kinds.load import LOAD, WorkNote
from mimosafork.ids import AvailabilityZoneId, EndpointId

from ...support.functions import function_tests
from ...support.gossip_network import Network, ms

case = TestCase()

LOOK = ms(50)
WARM = timedelta(seconds=5)
CUT = AvailabilityZoneId("zone-0")
OTHERS = frozenset({AvailabilityZoneId("zone-1"), AvailabilityZoneId("zone-2")})
HEARTBEAT_AND_LATENESS = ms(1200)


class Watched:
    """A fleet whose instances serve calls, and what each takes for silent."""

    def __init__(self, size: int, works_s: float, loss: float = 0.0) -> None:
        self.network = Network(loss=loss)
        self.nodes = self.network.fleet(size)
        self.random = Random(3)
        self.works_s = works_s
        self.works = 0
        self.looks: Counter[frozenset[AvailabilityZoneId]] = Counter()
        self.run(WARM)
        self.looks.clear()

    def run(self, span: timedelta) -> None:
        """Let works begin, and look at all instances every `LOOK`."""
        end = self.network.now + span
        while self.network.now < end:
            if self.random.random() < self.works_s * LOOK.total_seconds() % 1.0:
                self.begin()
            for _ in range(int(self.works_s * LOOK.total_seconds())):
                self.begin()
            self.network.run(LOOK)
            self.looks.update(self.silent(node) for node in self.nodes)

    def begin(self) -> None:
        """Let a work begin somewhere."""
        self.works += 1
        note = WorkNote(self.works, EndpointId("i-1"), 5000, 600, 250)
        node = self.random.choice(self.nodes)
        node.say(LOAD, self.works, note, self.network.now)

    def silent(self, node: Exchange) -> frozenset[AvailabilityZoneId]:
        """Return what an instance takes for silent."""
        return frozenset(node.silent_zones(self.network.now))

    def of_zone(self, zone: AvailabilityZoneId) -> list[Exchange]:
        """Return a zone's instances."""
        return [node for node in self.nodes if node.me.zone == zone]

    def found_after(self) -> timedelta:
        """Cut a zone off; return when all have found which zones they can't reach."""
        island = self.of_zone(CUT)
        self.network.part(island)
        cut_at = self.network.now
        while self.network.now < cut_at + timedelta(seconds=3):
            self.run(LOOK)
            if all(
                self.silent(node) == (OTHERS if node in island else {CUT})
                for node in self.nodes
            ):
                break
        return self.network.now - cut_at


def test_a_flooded_fleet_finds_a_cut_zone_within_half_a_second() -> None:
    """Calls must not lose a second each to endpoints behind a partition."""
    case.assertLessEqual(Watched(61, works_s=94).found_after(), ms(500))


def test_any_fleet_finds_a_cut_zone_after_a_heartbeat() -> None:
    """A fleet without calls, and a small one, go by their heartbeats."""
    for size, works_s in ((61, 0.0), (9, 18.0), (7, 2.0)):
        with case.subTest(size=size, works_s=works_s):
            found = Watched(size, works_s).found_after()
            case.assertLessEqual(found, HEARTBEAT_AND_LATENESS)


def test_no_zone_is_taken_for_cut_where_datagrams_are_merely_lost() -> None:
    """Lost datagrams must not turn calls away from a zone."""
    for size, works_s, seconds in ((61, 94.0, 2), (61, 0.0, 5), (9, 18.0, 60)):
        with case.subTest(size=size, works_s=works_s):
            fleet = Watched(size, works_s, loss=0.03)
            fleet.run(timedelta(seconds=seconds))
            looks = fleet.looks.total()
            case.assertGreaterEqual(fleet.looks[frozenset()], 0.999 * looks)


def test_an_instance_that_is_cut_off_alone_suspects_no_zone() -> None:
    """One that receives nobody is itself the one that is cut off."""
    fleet = Watched(9, works_s=18.0)
    alone = fleet.nodes[0]
    fleet.network.part([alone])
    fleet.run(timedelta(seconds=5))
    case.assertEqual({frozenset()}, set(fleet.looks))


def test_one_peer_does_not_speak_for_its_zone() -> None:
    """A zone with one instance, which is killed, is not taken for cut off."""
    fleet = Watched(5, works_s=10.0)
    fleet.network.stop(fleet.nodes.pop(2))
    fleet.run(timedelta(seconds=5))
    case.assertEqual({frozenset()}, set(fleet.looks))


def test_a_zone_that_is_received_again_is_silent_no_more() -> None:
    """The first datagram after a partition ends the suspicion."""
    fleet = Watched(9, works_s=18.0)
    fleet.found_after()
    fleet.run(timedelta(seconds=6))
    fleet.network.heal()
    fleet.run(timedelta(seconds=3))
    case.assertEqual({frozenset()}, {fleet.silent(node) for node in fleet.nodes})


load_tests = function_tests(__name__)

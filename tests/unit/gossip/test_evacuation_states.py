"""Tests of evacuated zones in gossip and in what instances hand over to peers."""

from typing import Any
from unittest import TestCase

import msgspec

from mimosafork.clock import ManualClock
from mimosafork.directory.messages import DirectoryChange
from mimosafork.directory.rows import Row, RowPage
from mimosafork.directory.zone_state import ZoneState
from mimosafork.gateway.row_payload import decode_rows, decode_zones, encode_rows
from mimosafork.gossip.effects import EvacuationTold
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.ids import IdReader, IdWriter
from mimosafork.gossip.kinds.evacuations import EVACUATIONS
from mimosafork.gossip.kinds.load import LOAD
from mimosafork.gossip.ledger import Slot
from mimosafork.gossip.links import News
from mimosafork.gossip.outbox import send_order
from mimosafork.gossip.pulls import Matter
from mimosafork.gossip.timing import Timing
from mimosafork.ids import AvailabilityZoneId, InstanceId

from ...support.directories import configured, evacuated, summary_of
from ...support.functions import function_tests
from ...support.gossip_instances import FakeRowStore, GossipInstance
from ...support.gossip_network import Network, identity, ms
from ...support.versions import version
from .test_previous_release import PreviousRows

case = TestCase()

ZONE = AvailabilityZoneId("zone-a")
STATE = ZoneState(True, version(40, era=2))
CONFIGURED = Row("configuration", "", "it", b"1", version(3, era=2))


def told(network: Network, node: Exchange) -> set[ZoneState]:
    """Return what an instance was told of the zone."""
    effects = network.effects[node.me.instance]
    return {each.state for each in effects if isinstance(each, EvacuationTold)}


def test_a_state_travels_whole() -> None:
    for state in (STATE, ZoneState(False, version(0, era=0))):
        packed = EVACUATIONS.codec.pack(state, IdWriter())
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(packed))
        case.assertEqual(state, EVACUATIONS.codec.unpack(sent, IdReader([])))


def test_a_state_that_breaks_the_format_is_refused() -> None:
    """A version beyond all others could never be replaced."""
    bad: list[Any] = [[1, -1, True], [-1, 1, True], [1, 1, 1], [1, 2], "x"]
    for packed in (*bad, [1, 1 << 63, True]):
        with case.assertRaises(msgspec.ValidationError, msg=packed):
            EVACUATIONS.codec.unpack(packed, IdReader([]))


def test_evacuations_go_first_where_bytes_are_short() -> None:
    """In a flood the news of running work may take all that may be sent."""
    origin = InstanceId("i")
    work = News(origin, Slot(LOAD.number, 1))
    away = News(origin, Slot(EVACUATIONS.number, ZONE))
    case.assertEqual([away, work], sorted([work, away], key=send_order))


def test_a_handed_over_configuration_brings_the_evacuated_zones() -> None:
    """An instance that starts without the store must know them before it serves."""
    payload = encode_rows([CONFIGURED], {ZONE: STATE})
    case.assertEqual({ZONE: STATE}, decode_zones(payload))
    case.assertEqual([CONFIGURED], decode_rows(payload))
    case.assertEqual({}, decode_zones(encode_rows([CONFIGURED])))
    case.assertEqual({}, decode_zones(b"\xc1"))


def test_an_instance_knows_the_zones_before_the_configuration_of_a_peer() -> None:
    """Gossip may be lost: the hand-over alone must keep calls out of the zone.

    An instance that starts without the store has no configuration before it, and so
    lets no call in.
    """
    clock, rows = ManualClock(ms(0)), FakeRowStore()
    giver, taker = (GossipInstance(rows, clock, number) for number in (1, 2))
    page = RowPage((evacuated(ZONE, 9), configured(1, 3)), version(9))
    giver.sharing.directory.configuration_follower.consumer.apply_snapshot(page)
    held = giver.sharing.transfer_payload(Matter.CONFIGURATION)
    assert held is not None
    published: list[DirectoryChange] = []
    taker.sharing.directory.add_listener(published.append)
    taker.sharing.receive_configuration(held.payload)
    case.assertEqual(
        ["zone-a evacuated as of 9", "table 1"], [summary_of(c) for c in published]
    )


def test_the_release_before_passes_over_handed_over_zones() -> None:
    """It would refuse the configuration, or take a zone for one."""
    payload = encode_rows([CONFIGURED], {ZONE: STATE})
    rows = msgspec.msgpack.decode(payload, type=PreviousRows).rows
    case.assertEqual(["it"], [each.key for each in rows])
    before = msgspec.msgpack.encode({"rows": []})
    case.assertEqual({}, decode_zones(before))


def test_all_peers_are_told_at_once() -> None:
    """Each millisecond is one in which requests go to the zone."""
    network = Network()
    nodes = network.fleet(8)
    network.run(ms(2000))
    nodes[0].say(EVACUATIONS, ZONE, STATE, network.now)
    network.run(ms(20))
    case.assertEqual([{STATE}] * 7, [told(network, each) for each in nodes[1:]])


def test_a_large_fleet_relays_the_news_soon() -> None:
    network = Network()
    nodes = network.fleet(40, Timing(mesh_size=8))
    network.run(ms(5000))
    nodes[0].say(EVACUATIONS, ZONE, STATE, network.now)
    network.run(ms(100))
    case.assertEqual([{STATE}] * 39, [told(network, each) for each in nodes[1:]])


def test_an_instance_that_starts_later_is_told() -> None:
    """It may have no store to read the row from."""
    network = Network()
    nodes = network.fleet(3)
    network.run(ms(2000))
    nodes[0].say(EVACUATIONS, ZONE, STATE, network.now)
    network.run(ms(60_000))
    late = network.add(identity(7), [nodes[1].me.address])
    network.run(ms(1500))
    case.assertEqual({STATE}, told(network, late))


def test_the_state_is_kept_while_its_origin_is_silent() -> None:
    network = Network()
    nodes = network.fleet(3)
    network.run(ms(2000))
    nodes[0].say(EVACUATIONS, ZONE, STATE, network.now)
    network.run(ms(100))
    network.stop(nodes[0])
    network.run(ms(10_000))
    member = nodes[1].roster.members[nodes[0].me.instance]
    case.assertEqual(STATE, member.ledger.value(EVACUATIONS.number, ZONE))


load_tests = function_tests(__name__)

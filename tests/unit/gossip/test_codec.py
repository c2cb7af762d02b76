"""Tests of what travels: round trips, sizes, and what is refused."""

from datetime import timedelta
from random import Random
from typing import Any
from unittest import TestCase

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from mimosafork.directory.row_version import RowVersion
from mimosafork.gossip.effects import DatagramRefused
from mimosafork.gossip.errors import BadDatagramError, DuplicateStateKindError
from mimosafork.gossip.exchange import Exchange
from mimosafork.gossip.ids import IdReader, IdWriter
from mimosafork.gossip.kinds.base import Kind, kind_of, register
from mimosafork.gossip.kinds.configuration import CONFIGURATION, Versions
from mimosafork.gossip.kinds.crashes import (
    INTERRUPTED_RUNS,
    QUARANTINES,
    REFUTATIONS,
    SUCCESSES,
    QuarantineNote,
    RunNote,
    SuccessNote,
)
from mimosafork.gossip.kinds.doubt import DOUBT, Doubt, Reason
from mimosafork.gossip.kinds.endpoints import ENDPOINTS, EndpointWord, Word
from mimosafork.gossip.kinds.load import LOAD, Part, WorkNote
from mimosafork.gossip.wire import (
    Datagram,
    Flag,
    WireEntry,
    decode,
    fleet_tag,
    from_wire,
    to_wire,
)
from mimosafork.ids import AccountId, Digest, EndpointId

from ...support.functions import function_tests
from ...support.gossip_network import FLEET, identity, ms

case = TestCase()

quick = settings(max_examples=150, derandomize=True, deadline=None, database=None)

NOW = timedelta(seconds=100)
count = st.integers(0, 2**53)
endpoint = st.one_of(
    st.from_regex(r"i-[0-9a-f]{8}", fullmatch=True), st.text(max_size=30)
).map(EndpointId)
works = st.builds(
    WorkNote,
    number=count,
    host=endpoint,
    prompt_tokens=count,
    answer_tokens=count,
    longest_pause_ms=count,
    age_ms=count,
    writing_ms=st.none() | count,
    parts=st.lists(st.builds(Part, endpoint, count), max_size=4).map(tuple),
    held=st.lists(st.builds(Part, endpoint, count), max_size=3).map(tuple),
)
orders = st.lists(count, max_size=3).map(tuple)
versions = st.builds(Versions, orders, orders)
row_versions = st.builds(RowVersion, count, count)
words = st.builds(EndpointWord, st.sampled_from(Word), row_versions)
text = st.text(max_size=40)
milliseconds = st.integers(-(10**9), 10**9)
runs = st.builds(
    RunNote,
    endpoint=endpoint,
    content=text.map(Digest),
    account=text.map(AccountId),
    parts=st.lists(text.map(Digest), max_size=5).map(tuple),
    phase=st.integers(0, 2),
    sent_ms=milliseconds,
)
quarantines = st.builds(
    QuarantineNote,
    accounts=st.lists(text.map(AccountId), max_size=3).map(tuple),
    age_ms=milliseconds,
    left_ms=milliseconds,
    level=st.integers(0, 99),
    crashes=st.integers(0, 99),
    lifted=st.booleans(),
)
doubts = st.builds(Doubt, st.sampled_from(Reason))
said = st.one_of(
    st.tuples(st.just(LOAD), works),
    st.tuples(st.just(CONFIGURATION), versions),
    st.tuples(st.just(ENDPOINTS), words),
    st.tuples(st.just(INTERRUPTED_RUNS), runs),
    st.tuples(st.just(REFUTATIONS), milliseconds),
    st.tuples(st.just(SUCCESSES), st.builds(SuccessNote, milliseconds)),
    st.tuples(st.just(QUARANTINES), quarantines),
    st.tuples(st.just(DOUBT), doubts),
)


def exchange(number: int) -> Exchange:
    return Exchange(identity(number), FLEET, Random(number))


@quick
@given(st.lists(said, max_size=6))
def check_round_trip(pairs: list[tuple[Kind, Any]]) -> None:
    writer = IdWriter()
    packed = [kind.codec.pack(value, writer) for kind, value in pairs]
    added = [
        kind.extension.pack(value) if kind.extension else None for kind, value in pairs
    ]
    ids, travelled, additions = msgspec.msgpack.decode(
        msgspec.msgpack.encode([writer.packed, packed, added])
    )
    reader = IdReader(ids)
    for (kind, value), wire, addition in zip(pairs, travelled, additions, strict=True):
        read = kind.codec.unpack(wire, reader)
        if kind.extension is not None:
            read = kind.extension.apply(read, addition)
        case.assertEqual(value, read)


def test_every_kind_comes_back_as_it_was() -> None:
    check_round_trip()


def test_an_identity_comes_back_as_it_was() -> None:
    me = identity(7, boot=2**64 - 1, started_ms=1_800_000_000_000)
    case.assertEqual(me, from_wire(to_wire(me)))


def sample() -> bytes:
    """Return a datagram with news of several kinds, as it is sent."""
    first, second = exchange(0), exchange(1)
    second.learn(first.me, NOW, direct=True)
    hello = first.outbox.hello(second.me.address, Flag(0))
    second.datagram_received(hello.data, first.me.address, NOW)
    note = WorkNote(1, EndpointId("i-7f3a91c2"), 2000, 300, 250)
    second.say(LOAD, 1, note, NOW)
    second.say(DOUBT, "i-7f3a91c2", Doubt(Reason.SLOW), NOW)
    sent = second.tick(NOW + ms(30)).datagrams
    return max((each.data for each in sent), key=len)


@quick
@given(st.data())
def check_damage(data: st.DataObject) -> None:
    whole = bytearray(sample())
    kind = data.draw(st.sampled_from(["cut", "changed", "noise"]))
    if kind == "cut":
        damaged = bytes(whole[: data.draw(st.integers(0, len(whole) - 1))])
    elif kind == "changed":
        at = data.draw(st.integers(0, len(whole) - 1))
        whole[at] = data.draw(st.integers(0, 255))
        damaged = bytes(whole)
    else:
        damaged = data.draw(st.binary(max_size=200))
    node = exchange(0)
    node.tick(NOW)
    node.datagram_received(damaged, identity(1).address, NOW)
    node.tick(NOW + ms(50))


def test_no_damage_to_a_datagram_is_fatal() -> None:
    # Something else sends to the port, or a datagram comes damaged. Whatever is in it,
    # the instance goes on.
    check_damage()


def test_a_cut_datagram_is_counted_and_changes_nothing() -> None:
    whole = sample()
    for length in range(len(whole)):
        node = exchange(0)
        effects = node.datagram_received(whole[:length], identity(1).address, NOW)
        case.assertIsInstance(effects[0], DatagramRefused)
        case.assertEqual(1, node.counters.refused)
        case.assertEqual({}, node.roster.members)


def test_another_fleet_is_refused() -> None:
    data = Exchange(identity(1), "green", Random(1)).outbox
    hello = data.hello(identity(0).address, Flag(0))
    node = exchange(0)
    node.datagram_received(hello.data, identity(1).address, NOW)
    case.assertEqual(1, node.counters.refused)
    case.assertEqual({}, node.roster.members)


def test_another_format_is_refused() -> None:
    datagram = Datagram(9, fleet_tag(FLEET), 1, 0, 0, 0, 0)
    with case.assertRaises(BadDatagramError):
        decode(msgspec.msgpack.encode(datagram), fleet_tag(FLEET))


def test_a_kind_has_its_number_alone() -> None:
    with case.assertRaises(DuplicateStateKindError):
        register(Kind(LOAD.number, LOAD.codec))
    with case.assertRaises(DuplicateStateKindError):
        register(Kind(16, LOAD.codec))
    with case.assertRaises(BadDatagramError):
        kind_of(15)


def test_words_of_a_kind_that_is_not_known_are_passed_over() -> None:
    """Half of a fleet runs a newer version, and both halves take each other for dead.

    One of them tells words of a kind that the other doesn't know, and each datagram
    with such a word was refused as a whole.
    """
    datagram = decode(sample(), fleet_tag(FLEET))
    strange = WireEntry(15, "chat", datagram.entries[0].sequence + 9, 0, [5, 1])
    datagram.entries.append(strange)
    node = exchange(0)
    node.tick(NOW)
    data = msgspec.msgpack.encode(datagram)
    node.datagram_received(data, identity(1).address, NOW)
    (peer,) = node.roster.members.values()
    case.assertEqual(0, node.counters.refused)
    case.assertEqual(2, len(peer.ledger.entries))


def test_an_id_is_spelled_once_and_short() -> None:
    writer = IdWriter()
    usual, other = EndpointId("i-7f3a91c2"), EndpointId("i-7F3A91C2")
    case.assertEqual([0, 1, 0], [writer.index(each) for each in (usual, other, usual)])
    case.assertEqual([0x7F3A91C2, other], writer.packed)
    reader = IdReader(writer.packed)
    case.assertEqual([usual, other], [reader.endpoint(0), reader.endpoint(1)])
    with case.assertRaises(BadDatagramError):
        reader.endpoint(2)


load_tests = function_tests(__name__)

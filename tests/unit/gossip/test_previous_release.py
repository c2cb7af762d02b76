"""Tests of frames between an instance and one of the release before."""

from typing import Any
from unittest import TestCase

import msgspec

from mimosafork.directory.feed_update import FeedUpdate
from mimosafork.directory.rows import Row
from mimosafork.gateway.row_payload import decode_rows, encode_rows
from mimosafork.gossip.kinds.base import Kind
from mimosafork.gossip.kinds.configuration import CONFIGURATION, KEY, Versions
from mimosafork.gossip.kinds.endpoints import ENDPOINTS, EndpointWord, Word
from mimosafork.gossip.kinds.feed import FEED
from mimosafork.gossip.ledger import Entry, Slot
from mimosafork.gossip.links import News
from mimosafork.gossip.packing import Item, Load
from mimosafork.gossip.pulls import Held
from mimosafork.gossip.reading import read_entries
from mimosafork.gossip.wire import DECODER, ENCODER, FORMAT, Datagram
from mimosafork.ids import InstanceId

from ...support.functions import function_tests
from ...support.gossip_network import ms
from ...support.versions import version

case = TestCase()

SENDER = 7
VERSIONS = Versions((55, 2, 40), (2, 44))
LEAVING = EndpointWord(Word.LEAVING, version(40, era=2))
UPDATE = FeedUpdate(version(40, era=2), version(44, era=2))


class PreviousDatagram(msgspec.Struct, array_like=True, frozen=True):
    """A datagram as the release before reads it."""

    format: int
    fleet: int
    sender: int
    number: int
    heard: int
    missing: int
    flags: int
    name: Any = None
    names: list[Any] = []
    origins: list[int] = []
    ids: list[int | str] = []
    entries: list[Any] = []


class PreviousHeld(msgspec.Struct, array_like=True, frozen=True):
    """A handed over matter as the release before reads it."""

    version: int
    payload: bytes


class PreviousRow(msgspec.Struct):
    """A transferred row as the release before reads it."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


class PreviousRows(msgspec.Struct):
    """Transferred rows as the release before reads them."""

    rows: list[PreviousRow]


def datagram_of(*said: tuple[Kind, Any, object]) -> Datagram:
    """Return a datagram with one entry for each kind, key and value."""
    load = Load(SENDER)
    for kind, key, value in said:
        news = News(InstanceId("i"), Slot(kind.number, key))
        load.add(Item(news, SENDER, Entry(1, ms(0), value)), ms(0), 1000)
    return load.fill(Datagram(FORMAT, 1, SENDER, 1, 0, 0, 0))


SENT = datagram_of(
    (CONFIGURATION, KEY, VERSIONS), (ENDPOINTS, "i-1", LEAVING), (FEED, KEY, UPDATE)
)


def test_a_datagram_carries_eras_between_instances() -> None:
    read = read_entries(DECODER.decode(ENCODER.encode(SENT)), ms(0))
    case.assertEqual([VERSIONS, LEAVING, UPDATE], [each.entry.value for each in read])


def test_the_release_before_reads_numbers_without_eras() -> None:
    """A longer value would be refused, and both releases take each other for dead."""
    read = msgspec.msgpack.decode(ENCODER.encode(SENT), type=PreviousDatagram)
    values = [entry[4] for entry in read.entries]
    case.assertEqual([[40, b"", 44], [1, 40], [40, 4]], values)


def test_what_the_release_before_says_is_older_than_any_known_version() -> None:
    """An instance without eras must not take a newer one back."""
    sent = msgspec.msgpack.decode(ENCODER.encode(SENT), type=PreviousDatagram)
    read = read_entries(DECODER.decode(ENCODER.encode(sent)), ms(0))
    versions, word, update = [each.entry.value for each in read]
    case.assertEqual(Versions(), versions)
    assert isinstance(word, EndpointWord)
    assert isinstance(update, FeedUpdate)
    case.assertLess(word.version, version(1))
    case.assertFalse(update.covers(version(44)))


def test_both_releases_read_what_the_other_hands_over() -> None:
    row = Row("op", "", "config", b"x", version(40, era=2))
    held = Held(40, encode_rows([row]), (55, 2, 40))
    packed = msgspec.msgpack.encode(held)
    previous = msgspec.msgpack.decode(packed, type=PreviousHeld)
    rows = msgspec.msgpack.decode(previous.payload, type=PreviousRows).rows
    case.assertEqual([(40, b"x")], [(each.version, each.value) for each in rows])
    returned = msgspec.msgpack.encode(PreviousHeld(40, msgspec.msgpack.encode(rows)))
    case.assertEqual((), msgspec.msgpack.decode(returned, type=Held).order)
    payload = msgspec.msgpack.encode(PreviousRows(rows))
    case.assertEqual(
        [version(40, era=0)], [each.version for each in decode_rows(payload)]
    )
    case.assertEqual([row], decode_rows(held.payload))


load_tests = function_tests(__name__)

"""Filling datagrams with entries up to their longest size."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import msgspec

from .ids import IdWriter
from .kinds.base import kind_of
from .ledger import Entry
from .links import News
from .wire import ENCODER, KIND_BITS, Datagram, WireEntry

LIST_BYTES = 11
"""The three lists and the additions need up to two more bytes each for their length,
and three spare."""
INDEX_BYTES = 3
TAG_BYTES = 5
MILLISECOND = timedelta(milliseconds=1)


class Item(msgspec.Struct, frozen=True):
    """An entry to send.

    Parameters
    ----------
    origin : int
        Tag of its origin.
    """

    news: News
    origin: int
    entry: Entry


class Load(msgspec.Struct):
    """Entries of one datagram."""

    sender: int
    ids: IdWriter = msgspec.field(default_factory=IdWriter)
    origins: list[int] = msgspec.field(default_factory=list)
    entries: list[WireEntry] = msgspec.field(default_factory=list)
    additions: dict[int, Any] = msgspec.field(default_factory=dict)
    news: list[News] = msgspec.field(default_factory=list)
    size: int = 0

    def add(self, item: Item, now: timedelta, room: int) -> bool:
        """Add an entry if it fits; one that is too long alone goes alone."""
        id_bytes, ids, origins = self.ids.size, len(self.ids.packed), len(self.origins)
        wire = self.wire_entry(item, now)
        grown = len(ENCODER.encode(wire)) + self.ids.size - id_bytes
        grown += (len(self.origins) - origins) * TAG_BYTES
        addition = addition_of(item)
        if addition is not None:
            grown += len(ENCODER.encode(addition)) + INDEX_BYTES
        if self.entries and self.size + grown > room:
            self.ids.cut(ids)
            del self.origins[origins:]
            return False
        if addition is not None:
            self.additions[len(self.entries)] = addition
        self.entries.append(wire)
        self.news.append(item.news)
        self.size += grown
        return True

    def wire_entry(self, item: Item, now: timedelta) -> WireEntry:
        """Return an entry as it travels."""
        slot, entry = item.news.slot, item.entry
        packed = None
        if entry.value is not None:
            packed = kind_of(slot.kind).codec.pack(entry.value, self.ids)
        place = self.origin_index(item.origin) << KIND_BITS | slot.kind
        age = max((now - entry.born) // MILLISECOND, 0)
        return WireEntry(place, slot.key, entry.sequence, age, packed)

    def origin_index(self, origin: int) -> int:
        """Return an origin's index; the sender's own is 0."""
        if origin == self.sender:
            return 0
        if origin not in self.origins:
            self.origins.append(origin)
        return self.origins.index(origin) + 1

    def fill(self, head: Datagram) -> Datagram:
        """Return a datagram with these entries."""
        return msgspec.structs.replace(
            head,
            origins=self.origins,
            ids=self.ids.packed,
            entries=self.entries,
            additions=self.additions,
        )


def addition_of(item: Item) -> object | None:
    """Return what is added to an entry's packed value; None for most kinds."""
    extension = kind_of(item.news.slot.kind).extension
    if extension is None or item.entry.value is None:
        return None
    return extension.pack(item.entry.value)


def loads_of(
    items: Iterable[Item], sender: int, now: timedelta, room: int
) -> list[Load]:
    """Spread entries over datagrams.

    Parameters
    ----------
    room : int
        Bytes that entries may take in one.
    """
    loads: list[Load] = []
    for item in items:
        if not loads or not loads[-1].add(item, now, room):
            loads.append(Load(sender))
            loads[-1].add(item, now, room)
    return loads

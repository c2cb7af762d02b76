"""Reading the entries of a datagram."""

from datetime import timedelta

import msgspec

from .errors import BadDatagramError
from .ids import IdReader
from .kinds.base import KINDS
from .ledger import Entry, Slot
from .wire import KIND_BITS, KIND_MASK, Datagram, WireEntry

MILLISECOND = timedelta(milliseconds=1)
KEY_TYPES = frozenset((int, bool, str, bytes))


class Told(msgspec.Struct, frozen=True):
    """An entry that came.

    Parameters
    ----------
    origin : int
        Tag of its origin.
    """

    origin: int
    slot: Slot
    entry: Entry


def read_entries(datagram: Datagram, now: timedelta) -> list[Told]:
    """Read all entries before any is taken, so that a bad one spoils nothing.

    Those of a kind that is not known are passed over. Guard: while a fleet is brought
    to another version, some instances tell words that others don't know. Were their
    datagrams refused, both would take each other for dead.

    Raises
    ------
    BadDatagramError, msgspec.ValidationError
        If one breaks the format.
    """
    if not datagram.entries:
        return []
    ids = IdReader(datagram.ids)
    tags = [datagram.sender, *datagram.origins]
    additions = datagram.additions
    return [
        read_entry(each, additions.get(index) if additions else None, tags, ids, now)
        for index, each in enumerate(datagram.entries)
        if each.place & KIND_MASK in KINDS
    ]


def read_entry(
    wire: WireEntry, addition: object, tags: list[int], ids: IdReader, now: timedelta
) -> Told:
    """Return an entry with its origin and place.

    Raises
    ------
    BadDatagramError, msgspec.ValidationError
        If it breaks the format.
    """
    index = wire.place >> KIND_BITS
    try:
        origin = tags[index]
    except IndexError:
        raise BadDatagramError(f"no origin has index {index}") from None
    if type(wire.key) not in KEY_TYPES:
        raise BadDatagramError("a key of no known type")
    slot = Slot(wire.place & KIND_MASK, wire.key)
    value = None
    if wire.value is not None:
        kind = KINDS[slot.kind]
        value = kind.codec.unpack(wire.value, ids)
        if addition is not None and kind.extension is not None:
            value = kind.extension.apply(value, addition)
    try:
        born = now - wire.age * MILLISECOND
    except OverflowError as error:
        raise BadDatagramError(f"age {wire.age}") from error
    return Told(origin, slot, Entry(wire.sequence, born, value))

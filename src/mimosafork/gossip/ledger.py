"""What one instance has said: the newest entry for each kind and key."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from .kinds.base import Key, kind_of

TOMBSTONE_LIFETIME = timedelta(seconds=30)
"""Longer than any silence after which a receiver asks for everything anew."""


class Slot(NamedTuple):
    """Place of an entry within its origin's ledger."""

    kind: int
    key: Key


@dataclass(frozen=True, slots=True)
class Entry:
    """A word of its origin.

    Parameters
    ----------
    sequence : int
        The origin's count of changes; a higher one is newer.
    born : timedelta
        Instant of the word, on this instance's clock.
    value : object or None
        None where the word was taken back.
    """

    sequence: int
    born: timedelta
    value: object | None


class Ledger:
    """Newest entries of one origin."""

    def __init__(self) -> None:
        self.entries: dict[Slot, Entry] = {}
        self.sequence = 0

    def put(self, slot: Slot, value: object | None, now: timedelta) -> bool:
        """Write an own word; return whether it says something new."""
        old = self.entries.get(slot)
        if (old.value if old else None) == value:
            return False
        self.sequence += 1
        self.entries[slot] = Entry(self.sequence, now, value)
        return True

    def touch(self, slot: Slot, value: object, now: timedelta) -> None:
        """Say an own word once more, as of now."""
        self.sequence += 1
        self.entries[slot] = Entry(self.sequence, now, value)

    def accept(self, slot: Slot, entry: Entry) -> bool:
        """Take a peer's word unless it is as old as what is known."""
        old = self.entries.get(slot)
        if old is not None and entry.sequence <= old.sequence:
            return False
        self.entries[slot] = entry
        self.sequence = max(self.sequence, entry.sequence)
        return True

    def value(self, kind: int, key: Key) -> object | None:
        """Return a word's value."""
        entry = self.entries.get(Slot(kind, key))
        return entry.value if entry else None

    def of(self, kind: int) -> dict[Key, Entry]:
        """Return the entries of a kind that weren't taken back."""
        return {
            slot.key: entry
            for slot, entry in self.entries.items()
            if slot.kind == kind and entry.value is not None
        }

    def forget_silent(self) -> None:
        """Forget what counts only while its origin is heard."""
        self.entries = {
            slot: entry
            for slot, entry in self.entries.items()
            if kind_of(slot.kind).outlives_silence
        }

    def purge(self, now: timedelta) -> None:
        """Forget words that are past their time."""
        for slot, entry in list(self.entries.items()):
            lifetime = kind_of(slot.kind).lifetime
            if entry.value is None:
                lifetime = TOMBSTONE_LIFETIME
            if lifetime is not None and now - entry.born > lifetime:
                del self.entries[slot]

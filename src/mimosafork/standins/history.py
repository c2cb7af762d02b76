"""Rows with their past, for reads that are as old as a fault wants them."""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Value = TypeVar("Value")

HISTORY_S = 120.0
"""How far back a read can look."""


@dataclass(frozen=True, slots=True)
class Versioned(Generic[Value]):
    """A value with its version; the value is None once it is deleted."""

    version: int
    value: Value | None


@dataclass(slots=True)
class Past(Generic[Value]):
    """All versions of one key that a read may still ask for, oldest first."""

    since_s: list[float] = field(default_factory=list)
    versions: list[Versioned[Value]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Deletion:
    """When a key was deleted, and the version that this made."""

    at_s: float
    key: str
    version: int


class VersionedMap(Generic[Value]):
    """A map of keys to versioned values that remembers its recent past.

    Versions of a key only grow, also over a deletion. A deleted key is forgotten
    once no read can ask for it; `floor`, from which unknown keys count on, is kept
    at the newest version that was forgotten.
    """

    def __init__(self) -> None:
        self.pasts: dict[str, Past[Value]] = {}
        self.floor = 0
        self._keys: list[str] = []
        self._deletions: deque[Deletion] = deque()

    def get(self, key: str) -> Versioned[Value]:
        """Return the newest version; version 0 if there never was one."""
        past = self.pasts.get(key)
        return past.versions[-1] if past else Versioned(0, None)

    def get_at(self, key: str, at_s: float) -> Versioned[Value]:
        """Return the version that was newest at an instant."""
        past = self.pasts.get(key)
        if past is None:
            return Versioned(0, None)
        position = bisect_right(past.since_s, at_s)
        return past.versions[position - 1] if position else Versioned(0, None)

    def put(self, key: str, value: Value | None, now_s: float) -> int:
        """Write a value, or None to delete it, and return the version."""
        self._forget_deleted(now_s)
        past = self.pasts.get(key)
        if past is None:
            past = self.pasts[key] = Past()
            insort(self._keys, key)
        newest = past.versions[-1].version if past.versions else self.floor
        past.since_s.append(now_s)
        past.versions.append(Versioned(newest + 1, value))
        if value is None:
            self._deletions.append(Deletion(now_s, key, newest + 1))
        self._trim(past, now_s)
        return newest + 1

    def keys_from(self, prefix: str, after: str) -> Iterator[str]:
        """Give the keys with a prefix, beyond `after`, in their order."""
        first = max(bisect_left(self._keys, prefix), bisect_right(self._keys, after))
        for position in range(first, len(self._keys)):
            key = self._keys[position]
            if not key.startswith(prefix):
                return
            yield key

    def _forget_deleted(self, now_s: float) -> None:
        while self._deletions and self._deletions[0].at_s <= now_s - HISTORY_S:
            deletion = self._deletions.popleft()
            past = self.pasts.get(deletion.key)
            if past is None or past.versions[-1].version != deletion.version:
                # The key was written again since.
                continue
            del self.pasts[deletion.key]
            del self._keys[bisect_left(self._keys, deletion.key)]
            self.floor = max(self.floor, deletion.version)

    def _trim(self, past: Past[Value], now_s: float) -> None:
        keep_from = max(bisect_right(past.since_s, now_s - HISTORY_S) - 1, 0)
        del past.since_s[:keep_from]
        del past.versions[:keep_from]

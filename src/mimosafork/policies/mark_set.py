"""Sets of prefix marks in four bytes each."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator

from ..ids import Digest

MARK_DIGITS = 8
"""Hexadecimal digits of a mark that are kept. Among some thousand marks, a false
positive occurs once in a million lookups and costs one prefill at most."""
MARK_BYTES = 4
TYPE_CODE = "I"


def short_mark(mark: Digest) -> int:
    """Return the short form of a mark."""
    return int(mark[:MARK_DIGITS], 16)


class MarkSet:
    """A set of short marks as one sorted array.

    A Python set would take about 60 bytes a mark, and an instance holds some hundred
    thousand marks.
    """

    __slots__ = ("marks",)

    def __init__(self, marks: Iterable[int] = ()) -> None:
        self.marks = array(TYPE_CODE, sorted(set(marks)))

    def __len__(self) -> int:
        """Return the number of marks."""
        return len(self.marks)

    def __iter__(self) -> Iterator[int]:
        """Iterate in ascending order."""
        return iter(self.marks)

    def __contains__(self, mark: int) -> bool:
        """Return whether the set contains a mark."""
        index = bisect_left(self.marks, mark)
        return index < len(self.marks) and self.marks[index] == mark

    def add(self, mark: int) -> None:
        """Add a mark if it is missing."""
        index = bisect_left(self.marks, mark)
        if index == len(self.marks) or self.marks[index] != mark:
            self.marks.insert(index, mark)

    def discard(self, mark: int) -> None:
        """Remove a mark if it is present."""
        index = bisect_left(self.marks, mark)
        if index < len(self.marks) and self.marks[index] == mark:
            del self.marks[index]


def to_bytes(marks: Iterable[int]) -> bytes:
    """Return marks as bytes, four each."""
    return b"".join(mark.to_bytes(MARK_BYTES, "big") for mark in marks)


def from_bytes(data: bytes) -> list[int]:
    """Decode marks from bytes; an incomplete last mark is ignored."""
    whole = len(data) - len(data) % MARK_BYTES
    return [
        int.from_bytes(data[at : at + MARK_BYTES], "big")
        for at in range(0, whole, MARK_BYTES)
    ]

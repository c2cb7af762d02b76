"""Ways to repair a set of marks: ``python -m benchmarks.reconciliation``.

Two instances hold nearly the same set; one has to become equal to the other. For
each way: bytes on the wire and processor time of both sides, from sets that are
made by a fixed seed. Each way's result is checked.

The rateless way follows Yang, Gilad and Alizadeh, "Practical Rateless Set
Reconciliation" (SIGCOMM 2024), as described for distributed caches by the paper
that docs/design/0008-state-repair.md names.
"""

import math
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

SIZES = (64, 256, 1_024, 4_096, 16_384)
DIFFERENCES = (1, 8, 64, 512)
RUNS = 5
MARK_BYTES = 4
CHECK_BYTES = 4
COUNT_BYTES = 1
DIGEST_BYTES = 8
WORD = 2**64 - 1
STEP = 0xDA942042E4DD58B5
BATCH = 8
"""Coded symbols that are asked for at a time, and never fewer than an eighth of
those that came already."""


@dataclass(frozen=True, slots=True)
class Repair:
    """What a way gave, and what it cost."""

    result: set[int]
    sent_bytes: int
    round_trips: int


@dataclass(slots=True)
class Symbol:
    """A coded symbol: sums over the items that are mapped to it."""

    marks: int = 0
    checks: int = 0
    count: int = 0

    def add(self, mark: int, check: int, sign: int) -> None:
        """Put an item in or take it out."""
        self.marks ^= mark
        self.checks ^= check
        self.count += sign


def hashed(mark: int) -> int:
    """Return a 64 bit digest of a mark, never 0."""
    data = mark.to_bytes(MARK_BYTES, "big")
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big") | 1


class Mapping:
    """Indices of the coded symbols that an item is part of, in order."""

    __slots__ = ("last", "state")

    def __init__(self, seed: int) -> None:
        self.state = seed
        self.last = 0

    def advance(self) -> int:
        """Move on to the next index."""
        self.state = self.state * STEP & WORD
        sample = 2**32 / math.sqrt(self.state + 1.0) - 1.0
        jump = math.ceil((self.last + 1.5) * sample)
        self.last += max(1, min(jump, 2**31))
        return self.last


class Encoder:
    """Makes a set's coded symbols one batch after the other."""

    def __init__(self, marks: set[int]) -> None:
        self.items = [(mark, hashed(mark)) for mark in marks]
        self.mappings = [Mapping(check) for _, check in self.items]
        self.made = 0

    def next_symbols(self, count: int) -> list[Symbol]:
        """Return the next symbols."""
        first, end = self.made, self.made + count
        self.made = end
        symbols = [Symbol() for _ in range(count)]
        for (mark, check), mapping in zip(self.items, self.mappings, strict=True):
            while mapping.last < end:
                symbols[mapping.last - first].add(mark, check, 1)
                mapping.advance()
        return symbols


class Decoder:
    """Peels the difference out of two sets' symbols."""

    def __init__(self) -> None:
        self.symbols: list[Symbol] = []
        self.found: dict[int, int] = {}
        self.mappings: list[tuple[int, int, int, Mapping]] = []

    def add(self, theirs: list[Symbol], own: list[Symbol]) -> bool:
        """Take further symbols; return whether the whole difference is known."""
        first = len(self.symbols)
        for their, mine in zip(theirs, own, strict=True):
            self.symbols.append(
                Symbol(
                    their.marks ^ mine.marks,
                    their.checks ^ mine.checks,
                    their.count - mine.count,
                )
            )
        for mark, check, sign, mapping in self.mappings:
            while mapping.last < len(self.symbols):
                self.symbols[mapping.last].add(mark, check, -sign)
                mapping.advance()
        self._peel(list(range(first, len(self.symbols))))
        return self.symbols[0].count == 0 and self.symbols[0].checks == 0

    def _peel(self, pending: list[int]) -> None:
        if self.mappings:
            pending = list(range(len(self.symbols)))
        while pending:
            symbol = self.symbols[pending.pop()]
            if abs(symbol.count) != 1 or hashed(symbol.marks) != symbol.checks:
                continue
            mark, check, sign = symbol.marks, symbol.checks, symbol.count
            if mark in self.found:
                continue
            self.found[mark] = sign
            mapping = Mapping(check)
            while mapping.last < len(self.symbols):
                self.symbols[mapping.last].add(mark, check, -sign)
                pending.append(mapping.last)
                mapping.advance()
            self.mappings.append((mark, check, sign, mapping))


def by_snapshot(have: set[int], want: set[int]) -> Repair:
    """Send the whole set."""
    wire = b"".join(mark.to_bytes(MARK_BYTES, "big") for mark in sorted(want))
    result = {
        int.from_bytes(wire[at : at + MARK_BYTES], "big")
        for at in range(0, len(wire), MARK_BYTES)
    }
    return Repair(result, len(wire), 1)


def by_digest_tree(have: set[int], want: set[int]) -> Repair:
    """Compare digests of buckets, and send those buckets that differ."""
    bits = max(2, round(math.log2(len(want)) / 2) + 2)
    mine, theirs = _buckets(have, bits), _buckets(want, bits)
    differing = [
        number
        for number in range(2**bits)
        if _digest(mine[number]) != _digest(theirs[number])
    ]
    sent = DIGEST_BYTES * 2**bits + (bits + 7) // 8 * len(differing)
    result = set(have)
    for number in differing:
        result.difference_update(mine[number])
        result.update(theirs[number])
        sent += MARK_BYTES * len(theirs[number]) + 1
    return Repair(result, sent, 2)


def by_rateless_symbols(have: set[int], want: set[int]) -> Repair:
    """Send coded symbols until the difference can be peeled out of them."""
    sender, receiver, decoder = Encoder(want), Encoder(have), Decoder()
    sent = 0
    trips = 0
    while True:
        count = max(BATCH, sender.made // 8)
        symbols = sender.next_symbols(count)
        sent += count * (MARK_BYTES + CHECK_BYTES + COUNT_BYTES)
        trips += 1
        if decoder.add(symbols, receiver.next_symbols(count)):
            break
    result = set(have)
    for mark, sign in decoder.found.items():
        if sign > 0:
            result.add(mark)
        else:
            result.discard(mark)
    return Repair(result, sent, trips)


def _buckets(marks: set[int], bits: int) -> list[list[int]]:
    buckets: list[list[int]] = [[] for _ in range(2**bits)]
    shift = 8 * MARK_BYTES - bits
    for mark in marks:
        buckets[mark >> shift].append(mark)
    return buckets


def _digest(marks: list[int]) -> bytes:
    joined = b"".join(mark.to_bytes(MARK_BYTES, "big") for mark in sorted(marks))
    return blake2b(joined, digest_size=DIGEST_BYTES).digest()


WAYS: dict[str, Callable[[set[int], set[int]], Repair]] = {
    "snapshot": by_snapshot,
    "digest tree": by_digest_tree,
    "rateless symbols": by_rateless_symbols,
}


def make_sets(size: int, difference: int, random: Random) -> tuple[set[int], set[int]]:
    """Return two sets of about a size that differ in so many marks, half on each."""
    marks = random.sample(range(2 ** (8 * MARK_BYTES)), size + difference)
    shared = set(marks[: size - difference // 2])
    rest = marks[len(shared) : len(shared) + difference]
    half = difference // 2
    return shared | set(rest[:half]), shared | set(rest[half:])


def main() -> None:
    """Print the table."""
    print("| marks | differing | way | bytes | round trips | processor, us |")
    print("| --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        for difference in DIFFERENCES:
            if difference > size:
                continue
            for name, way in WAYS.items():
                print(_row(size, difference, name, way))


def _row(
    size: int,
    difference: int,
    name: str,
    way: Callable[[set[int], set[int]], Repair],
) -> str:
    times, sizes, trips = [], [], []
    for run in range(RUNS):
        have, want = make_sets(size, difference, Random(f"{size} {difference} {run}"))
        began = time.process_time()
        repair = way(have, want)
        times.append(time.process_time() - began)
        if repair.result != want:
            raise AssertionError(f"{name} did not repair {size} marks")
        sizes.append(repair.sent_bytes)
        trips.append(repair.round_trips)
    spent = statistics.median(times) * 1e6
    return (
        f"| {size} | {difference} | {name} | {statistics.median(sizes):.0f} "
        f"| {statistics.median(trips):.0f} | {spent:.0f} |"
    )


if __name__ == "__main__":
    main()

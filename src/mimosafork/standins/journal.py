"""What a stand-in ran, in order, for history checks.

A journal survives the crashes that are asked for as faults: it belongs to the
test, not to the process that is played.
"""

from collections import deque
from dataclasses import dataclass
from typing import Any

from ..clock import Clock

MAX_ENTRIES = 200_000


@dataclass(frozen=True, slots=True)
class JournalBody:
    """Answer to `GET /journal`.

    Parameters
    ----------
    dropped : int
        How many entries before these are lost; a history check wants 0.
    """

    entries: list[Any]
    dropped: int


class Journal:
    """The newest typed entries, up to a bound.

    Parameters
    ----------
    clock : Clock
        Source of the wall time that entries carry, so that the journals of
        several processes of one machine can be merged.
    bound : int
        Most entries that are kept.
    """

    def __init__(self, clock: Clock, bound: int = MAX_ENTRIES) -> None:
        self.clock = clock
        self.entries: deque[Any] = deque(maxlen=bound)
        self.dropped = 0

    def at_s(self) -> float:
        """Wall time in seconds since 1970."""
        return self.clock.now().timestamp()

    def add(self, entry: Any) -> None:
        """Append an entry; the oldest one goes if the journal is full."""
        if len(self.entries) == self.entries.maxlen:
            self.dropped += 1
        self.entries.append(entry)

    def body(self) -> JournalBody:
        """Return the journal as callers read it."""
        return JournalBody(list(self.entries), self.dropped)

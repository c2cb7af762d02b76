"""A prefix cache in the memory that an engine's streams leave free."""

from collections import Counter, OrderedDict
from dataclasses import dataclass
from itertools import count

from mimosafork.ids import Digest
from mimosafork.kernel.messages.fleet import CacheEvent, CacheEventKind
from mimosafork.kernel.messages.requests import PrefixMark


@dataclass(frozen=True, slots=True)
class Entry:
    """A cached prompt, by its marks."""

    marks: tuple[PrefixMark, ...]

    @property
    def tokens(self) -> int:
        """Memory that it takes."""
        return self.marks[-1].tokens


class PrefixCache:
    """Least recently used prompts go first.

    Attributes
    ----------
    events : list of CacheEvent
        Everything that happened, in order.
    """

    def __init__(self) -> None:
        self.entries: OrderedDict[Digest, Entry] = OrderedDict()
        self.present: Counter[Digest] = Counter()
        self.used = 0
        self.events: list[CacheEvent] = []
        self.sequence = count(1)

    def lookup(self, marks: tuple[PrefixMark, ...]) -> int:
        """Return how many tokens of a prompt's beginning are there."""
        for mark in reversed(marks):
            if self.present[mark.digest]:
                if mark.digest in self.entries:
                    self.entries.move_to_end(mark.digest)
                return mark.tokens
        return 0

    def store(self, marks: tuple[PrefixMark, ...], room: int) -> None:
        """Keep a prompt's beginning, if there is room for it."""
        if not marks or marks[-1].tokens > room:
            return
        key = marks[-1].digest
        if key in self.entries:
            self.entries.move_to_end(key)
            return
        entry = Entry(marks)
        self.entries[key] = entry
        self.used += entry.tokens
        for mark in marks:
            self.present[mark.digest] += 1
            if self.present[mark.digest] == 1:
                self._note(CacheEventKind.STORED, mark)
        self.shrink(room)

    def shrink(self, room: int) -> None:
        """Evict until the rest fits."""
        while self.used > room and self.entries:
            _, entry = self.entries.popitem(last=False)
            self.used -= entry.tokens
            for mark in entry.marks:
                self.present[mark.digest] -= 1
                if self.present[mark.digest] == 0:
                    del self.present[mark.digest]
                    self._note(CacheEventKind.EVICTED, mark)

    def _note(self, kind: CacheEventKind, mark: PrefixMark) -> None:
        event = CacheEvent(next(self.sequence), kind, mark.digest, mark.tokens)
        self.events.append(event)

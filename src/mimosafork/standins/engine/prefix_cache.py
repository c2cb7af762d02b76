"""Prompt prefixes whose KV stays in memory, least recently used first to go."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from .answers import mark_tokens
from .messages import CachedMark, CacheEventKind

EventSink = Callable[[CacheEventKind, str, int], None]


@dataclass(slots=True)
class CacheEntry:
    """One cached prefix.

    Parameters
    ----------
    prefix_tokens : int
        Length of the prefix.
    own_tokens : int
        Memory beyond that of the next shorter cached prefix.
    pins : int
        How many holdings rely on it.
    """

    prefix_tokens: int
    own_tokens: int
    pins: int = 0


class PrefixCache:
    """Cached prefixes by mark.

    A prefix is only usable with all shorter ones of its chain. Each use touches
    the chain from its longest prefix to its shortest, so the order of use evicts
    no prefix before those that build on it.

    Parameters
    ----------
    publish : callable
        Told of each prefix stored or evicted.
    """

    def __init__(self, publish: EventSink) -> None:
        self.publish = publish
        self.entries: OrderedDict[str, CacheEntry] = OrderedDict()
        self.tokens = 0
        self.pinned_tokens = 0

    def match(self, marks: tuple[str, ...]) -> tuple[str, ...]:
        """Return the part of a chain, from its start, that is cached."""
        found = 0
        while found < len(marks) and marks[found] in self.entries:
            found += 1
        matched = marks[:found]
        self._touch(matched)
        return matched

    def tokens_of(self, marks: tuple[str, ...]) -> int:
        """Return the prefix length in tokens of a chain from its start."""
        return mark_tokens(len(marks) - 1) if marks else 0

    def store(self, marks: tuple[str, ...]) -> None:
        """Cache all prefixes of a chain; the memory must be free already."""
        for position, mark in enumerate(marks):
            if mark in self.entries:
                continue
            prefix_tokens = mark_tokens(position)
            shorter = mark_tokens(position - 1) if position else 0
            self.entries[mark] = CacheEntry(prefix_tokens, prefix_tokens - shorter)
            self.tokens += prefix_tokens - shorter
            self.publish(CacheEventKind.STORED, mark, prefix_tokens)
        self._touch(marks)

    def pin(self, marks: tuple[str, ...]) -> None:
        """Keep prefixes from being evicted until they are unpinned."""
        for mark in marks:
            entry = self.entries[mark]
            if entry.pins == 0:
                self.pinned_tokens += entry.own_tokens
            entry.pins += 1

    def unpin(self, marks: tuple[str, ...]) -> None:
        """Take back one pin of each prefix."""
        for mark in marks:
            entry = self.entries[mark]
            entry.pins -= 1
            if entry.pins == 0:
                self.pinned_tokens -= entry.own_tokens

    def evict(self, tokens: int) -> bool:
        """Evict until so many tokens are free; evict nothing if that can't be."""
        if self.tokens - self.pinned_tokens < tokens:
            return False
        freed = 0
        for mark in list(self.entries):
            if freed >= tokens:
                break
            entry = self.entries[mark]
            if entry.pins:
                continue
            del self.entries[mark]
            freed += entry.own_tokens
            self.publish(CacheEventKind.EVICTED, mark, entry.prefix_tokens)
        self.tokens -= freed
        return True

    def marks(self) -> list[CachedMark]:
        """List the cached prefixes, the least recently used first."""
        return [
            CachedMark(mark, entry.prefix_tokens)
            for mark, entry in self.entries.items()
        ]

    def _touch(self, marks: tuple[str, ...]) -> None:
        for mark in reversed(marks):
            self.entries.move_to_end(mark)

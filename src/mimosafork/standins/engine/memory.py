"""KV memory: a bound on tokens, holdings with owners, and the prefix cache."""

from dataclasses import dataclass
from typing import NamedTuple

from .messages import HoldingKind, KvSegment, Owner
from .prefix_cache import PrefixCache


class HoldingKey(NamedTuple):
    """What tells one holding from another."""

    kind: HoldingKind
    id: str


@dataclass(slots=True, eq=False)
class Holding:
    """Memory that somebody owns until an instant.

    Parameters
    ----------
    tokens : int
        Memory that this holding alone takes.
    pinned : tuple of str
        Marks of cached prefixes that may not be evicted meanwhile.
    segments : tuple of KvSegment
        The KV that a filled reservation or an export stands for.
    joined_tokens : int
        Tokens of prompt that the segments are worth.
    """

    kind: HoldingKind
    id: str
    owner: Owner
    tokens: int
    expires_s: float
    pinned: tuple[str, ...] = ()
    segments: tuple[KvSegment, ...] = ()
    joined_tokens: int = 0

    @property
    def key(self) -> HoldingKey:
        """Key among all holdings."""
        return HoldingKey(self.kind, self.id)


class KvMemory:
    """The engine's KV memory.

    What is held plus what is cached never exceeds the capacity. Cached prefixes
    that nobody pins give way, the least recently used first.

    Parameters
    ----------
    capacity : int
        Tokens that fit.
    cache : PrefixCache
        The prefixes kept for later prompts.
    """

    def __init__(self, capacity: int, cache: PrefixCache) -> None:
        self.capacity = capacity
        self.cache = cache
        self.holdings: dict[HoldingKey, Holding] = {}
        self.held = 0

    @property
    def used(self) -> int:
        """Tokens that can't be had by eviction."""
        return self.held + self.cache.pinned_tokens

    def hold(self, holding: Holding) -> bool:
        """Take a holding's memory, or nothing if there is not enough."""
        if not self._make_room(holding.tokens):
            return False
        self.holdings[holding.key] = holding
        self.held += holding.tokens
        self.cache.pin(holding.pinned)
        return True

    def resize(self, holding: Holding, tokens: int) -> bool:
        """Change a holding's own memory; False if it can't grow so far."""
        grown = tokens - holding.tokens
        if grown > 0 and not self._make_room(grown):
            return False
        self.held += grown
        holding.tokens = tokens
        return True

    def free(self, key: HoldingKey) -> Holding | None:
        """Give back a holding's memory; None if there is no such holding."""
        holding = self.holdings.pop(key, None)
        if holding is None:
            return None
        self.held -= holding.tokens
        self.cache.unpin(holding.pinned)
        return holding

    def cache_prefix(self, holding: Holding, marks: tuple[str, ...]) -> None:
        """Move the prefixes that a holding has computed into the cache.

        The holding pins them, so what it may rely on stays the same; its own
        memory shrinks by what the cache now has.
        """
        new = marks[len(holding.pinned) :]
        if not new:
            return
        moved = self.cache.tokens_of(marks) - self.cache.tokens_of(holding.pinned)
        self.held -= moved
        holding.tokens -= moved
        self.cache.store(marks)
        self.cache.pin(new)
        holding.pinned = marks

    def _make_room(self, tokens: int) -> bool:
        missing = self.held + self.cache.tokens + tokens - self.capacity
        if missing <= 0:
            return True
        return self.cache.evict(missing)

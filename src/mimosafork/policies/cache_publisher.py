"""Publishes the cache contents of an engine to its zone, by its primary watcher."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import EndpointId, Incarnation
from ..kernel.fleet import DISTANT_PAST
from ..kernel.messages.cache import CacheChanges, CacheSummary
from ..kernel.messages.peers import Publish
from ..kernel.messages.watch import endpoint_key
from .mark_set import MarkSet, to_bytes

MIN_BATCH_INTERVAL = timedelta(seconds=2)
BATCH_INTERVAL_PER_ENDPOINT = timedelta(milliseconds=100)
"""Limits the batches of a whole zone to ten a second."""

ZONE_MARKS_PER_SECOND = 200
"""Marks that all watchers of a zone publish together; four bytes each."""
MIN_BATCH_MARKS = 4
MAX_BATCH_MARKS = 128

MAX_PUBLISHED_MARKS = 1024
"""Limit on the published marks of one engine."""

INITIAL_PUBLISHED_MARKS = 256
"""Marks that a new watcher publishes at once, in its first summary."""

BATCH_SLOTS = 8
"""Newest batches that are kept under separate keys, for peers that are behind."""
SUMMARY_INTERVAL = timedelta(seconds=10)


@dataclass(slots=True)
class PublishedCache:
    """Published state of one engine's cache, and the changes still to publish.

    Attributes
    ----------
    pending : dict of int to int
        Marks stored since the last batch, with their tokens.
    evicted : set of int
        Published marks that were evicted since the last batch.
    """

    incarnation: Incarnation
    batch: int = 0
    published: MarkSet = field(default_factory=MarkSet)
    pending: dict[int, int] = field(default_factory=dict)
    evicted: set[int] = field(default_factory=set)
    batch_at: timedelta = DISTANT_PAST
    summary_at: timedelta = DISTANT_PAST
    summary_requested: bool = True


class CachePublisher:
    """Publishes the longest prefixes, in batches of a bounded size.

    What does not fit is dropped, not queued: an unpublished prefix is only a missed
    cache hit, and the next batch has newer ones.
    """

    def __init__(self) -> None:
        self.engines: dict[EndpointId, PublishedCache] = {}

    def apply_snapshot(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        marks: Iterable[tuple[int, int]],
    ) -> None:
        """Replace the engine's state by a snapshot."""
        current = dict(marks)
        cache = self.engines.get(endpoint)
        if cache is None or cache.incarnation != incarnation:
            cache = self.engines[endpoint] = PublishedCache(incarnation)
            longest = sorted(current, key=current.__getitem__, reverse=True)
            cache.published = MarkSet(longest[:INITIAL_PUBLISHED_MARKS])
        cache.evicted = {mark for mark in cache.published if mark not in current}
        cache.pending = {
            mark: tokens
            for mark, tokens in current.items()
            if mark not in cache.published
        }

    def record_stored(self, endpoint: EndpointId, mark: int, tokens: int) -> None:
        """Record a prefix that entered the cache."""
        cache = self.engines.get(endpoint)
        if cache is None:
            return
        cache.evicted.discard(mark)
        if mark not in cache.published:
            cache.pending[mark] = tokens

    def record_evicted(self, endpoint: EndpointId, mark: int) -> None:
        """Record a prefix that left the cache; published only if its mark was."""
        cache = self.engines.get(endpoint)
        if cache is None:
            return
        cache.pending.pop(mark, None)
        if mark in cache.published:
            cache.evicted.add(mark)

    def request_summary(self, endpoint: EndpointId) -> None:
        """Schedule a summary of all published marks."""
        cache = self.engines.get(endpoint)
        if cache is not None:
            cache.summary_requested = True

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an engine that this instance does not read any more."""
        self.engines.pop(endpoint, None)

    def due_messages(self, now: timedelta, zone_endpoints: int) -> Iterator[Publish]:
        """Return the batches and summaries to publish now."""
        interval = max(MIN_BATCH_INTERVAL, BATCH_INTERVAL_PER_ENDPOINT * zone_endpoints)
        allowed = int(ZONE_MARKS_PER_SECOND * interval.total_seconds() / zone_endpoints)
        allowed = min(MAX_BATCH_MARKS, max(MIN_BATCH_MARKS, allowed))
        for endpoint, cache in self.engines.items():
            if (cache.pending or cache.evicted) and now - cache.batch_at >= interval:
                cache.batch_at = now
                yield self._next_batch(endpoint, cache, allowed)
            if cache.summary_requested and now - cache.summary_at >= SUMMARY_INTERVAL:
                cache.summary_at = now
                cache.summary_requested = False
                marks = to_bytes(cache.published)
                summary = CacheSummary(cache.incarnation, cache.batch, marks)
                yield Publish(endpoint_key(endpoint), summary)

    def _next_batch(
        self, endpoint: EndpointId, cache: PublishedCache, allowed: int
    ) -> Publish:
        evicted = sorted(cache.evicted)[:allowed]
        room = min(
            allowed - len(evicted),
            MAX_PUBLISHED_MARKS - len(cache.published) + len(evicted),
        )
        longest = sorted(cache.pending, key=cache.pending.__getitem__, reverse=True)
        stored = longest[: max(0, room)]
        for mark in evicted:
            cache.published.discard(mark)
            cache.evicted.discard(mark)
        for mark in stored:
            cache.published.add(mark)
        cache.pending.clear()
        cache.batch += 1
        changes = CacheChanges(
            cache.incarnation, cache.batch, to_bytes(stored), to_bytes(evicted)
        )
        key = f"{endpoint_key(endpoint)}#{cache.batch % BATCH_SLOTS}"
        return Publish(key, changes)

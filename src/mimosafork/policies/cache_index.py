"""Index of the prefixes that engines probably have in their caches.

The index is a hint: an error costs a prefill, never a wrong answer. An engine's
primary watcher reads its cache events and publishes the longest prefixes to its zone,
within the traffic budget. A sign of missed changes marks the engine's cache as maybe
stale until a complete snapshot or summary arrives.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import singledispatchmethod

from ..ids import EndpointId, Incarnation, InstanceId
from ..kernel.context import Context
from ..kernel.fleet import DISTANT_PAST, Endpoint
from ..kernel.messages.base import Message, Tick
from ..kernel.messages.cache import (
    CacheChangesReceived,
    CacheSummaryReceived,
    CacheSummaryRequest,
    CacheSummaryRequestReceived,
)
from ..kernel.messages.fleet import (
    CacheEventKind,
    CacheEventsReported,
    CacheSnapshotReported,
    EndpointKind,
)
from ..kernel.messages.peers import Publish
from ..kernel.messages.requests import PrefixMark
from ..kernel.messages.watch import EndpointKey, FetchCacheSnapshot, endpoint_key
from ..kernel.plugins import Plugin, PluginFinder
from ..kernel.registry import register
from .cache_publisher import CachePublisher
from .mark_set import MarkSet, from_bytes, short_mark
from .membership import Membership

MAX_MARKS_PER_ENGINE = 16_384
"""Limit on the marks kept for one engine."""

MIN_HOLDER_TOKENS = 4_096
"""Shorter prefixes are not searched across the zone: most requests are short, and the
search would cost each of them more than the prefill that it may save."""

MIN_SNAPSHOT_INTERVAL = timedelta(seconds=10)
SNAPSHOT_INTERVAL_PER_MARK = timedelta(milliseconds=45)
"""Limits snapshots to 1 KB/s, at about 45 bytes a mark."""

SUMMARY_REQUEST_INTERVAL = timedelta(seconds=2)
"""One summary is requested at a time, so that a new instance, which has none, does
not request those of the whole zone at once."""
SUMMARY_REQUEST_RETRY_INTERVAL = timedelta(seconds=30)
"""A request by any instance is not repeated earlier: its summary reaches the whole
zone, and an engine without cache events never gets one."""


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """Cached prefix of one prompt on one endpoint, according to the index.

    Attributes
    ----------
    tokens : int
        Length of the longest prefix that is probably cached; 0 for none.
    maybe_stale : bool
        Changes of this endpoint's cache may have been missed.
    """

    tokens: int
    maybe_stale: bool


UNKNOWN_CACHE = CachedPrefix(0, True)


@dataclass(slots=True)
class EngineCache:
    """Known contents of one engine's cache.

    Attributes
    ----------
    source : InstanceId or None
        Peer whose batches are followed; None if this instance reads the engine.
    position : int
        Newest event or batch that has been applied.
    """

    incarnation: Incarnation
    source: InstanceId | None
    position: int
    marks: MarkSet = field(default_factory=MarkSet)
    maybe_stale: bool = False
    fetched_at: timedelta = DISTANT_PAST


@register("cache-index")
class CacheIndex(Plugin):
    """Keeps the caches of engines, and refreshes those that may be stale."""

    def __init__(self) -> None:
        self.caches: dict[EndpointId, EngineCache] = {}
        self.publisher = CachePublisher()
        self.membership: Membership | None = None
        self.summary_requested_at = DISTANT_PAST
        self.summary_requests: dict[EndpointId, timedelta] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-in that assigns endpoints to watch."""
        self.membership = find(Membership)

    def cached_tokens(
        self, endpoint: EndpointId, prefix_marks: Sequence[PrefixMark]
    ) -> CachedPrefix:
        """Return how much of a prompt an endpoint probably has cached.

        Parameters
        ----------
        prefix_marks : sequence of PrefixMark
            Of the prompt, shortest first.
        """
        cache = self.caches.get(endpoint)
        if cache is None:
            return UNKNOWN_CACHE
        for mark in reversed(prefix_marks):
            if short_mark(mark.digest) in cache.marks:
                return CachedPrefix(mark.tokens, cache.maybe_stale)
        return CachedPrefix(0, cache.maybe_stale)

    def holders(self, prefix_marks: Sequence[PrefixMark]) -> dict[EndpointId, int]:
        """Return the endpoints that hold a prefix of a prompt, with its length.

        Caches that may be stale are left out, since an evicted prefix would make the
        first token look earlier than it is. So are prefixes shorter than
        `MIN_HOLDER_TOKENS`.
        """
        found: dict[EndpointId, int] = {}
        for prefix in prefix_marks:
            if prefix.tokens < MIN_HOLDER_TOKENS:
                continue
            mark = short_mark(prefix.digest)
            for endpoint, cache in self.caches.items():
                if mark in cache.marks and not cache.maybe_stale:
                    found[endpoint] = prefix.tokens
        return found

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to a message."""

    @handle.register
    def _(self, message: CacheSnapshotReported, context: Context) -> None:
        cache = EngineCache(message.incarnation, None, message.sequence)
        self.caches[message.endpoint] = cache
        longest = sorted(message.marks, key=_tokens_of, reverse=True)[
            :MAX_MARKS_PER_ENGINE
        ]
        cache.marks = MarkSet(short_mark(each.digest) for each in longest)
        cache.fetched_at = context.now
        self.publisher.apply_snapshot(
            message.endpoint,
            message.incarnation,
            [(short_mark(each.digest), each.tokens) for each in longest],
        )

    @handle.register
    def _(self, message: CacheEventsReported, context: Context) -> None:
        cache = self.caches.get(message.endpoint)
        if (
            cache is None
            or cache.source is not None
            or cache.incarnation != message.incarnation
        ):
            context.emit(FetchCacheSnapshot(message.endpoint))
            return
        self._apply_events(cache, message)
        if cache.maybe_stale:
            self._fetch_if_due(cache, message.endpoint, context)

    @handle.register
    def _(self, message: CacheChangesReceived, context: Context) -> None:
        endpoint = _endpoint_of(message.key, context)
        if endpoint is None or self._reads(endpoint):
            return
        cache = self.caches.get(endpoint)
        changes = message.changes
        known = cache is not None and cache.source == message.origin.instance
        if cache is None or not known or cache.incarnation != changes.incarnation:
            self._start_from_batch(endpoint, message)
            return
        if changes.batch <= cache.position:
            return
        if changes.batch > cache.position + 1:
            cache.maybe_stale = True
        cache.position = changes.batch
        for mark in from_bytes(changes.evicted):
            cache.marks.discard(mark)
        for mark in from_bytes(changes.stored):
            cache.marks.add(mark)

    @handle.register
    def _(self, message: CacheSummaryReceived, context: Context) -> None:
        endpoint = _endpoint_of(message.key, context)
        if endpoint is None or self._reads(endpoint):
            return
        cache = self.caches.get(endpoint)
        summary = message.summary
        source = message.origin.instance
        if (
            cache is not None
            and cache.source == source
            and cache.incarnation == summary.incarnation
            and cache.position > summary.batch
        ):
            # Batches newer than the summary have been applied already. A later
            # summary follows if the cache may be stale.
            return
        marks = MarkSet(from_bytes(summary.marks)[:MAX_MARKS_PER_ENGINE])
        self.caches[endpoint] = EngineCache(
            summary.incarnation, source, summary.batch, marks
        )

    @handle.register
    def _(self, message: CacheSummaryRequestReceived, context: Context) -> None:
        endpoint = _endpoint_of(message.key, context)
        if endpoint is None:
            return
        self.summary_requests[endpoint] = context.now
        if self._reads(endpoint):
            self.publisher.request_summary(endpoint)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        for value in self.publisher.due_messages(context.now, self._zone_endpoints()):
            context.emit(value)
        if context.now - self.summary_requested_at >= SUMMARY_REQUEST_INTERVAL:
            self._request_one_summary(context)

    def _apply_events(self, cache: EngineCache, message: CacheEventsReported) -> None:
        """Apply events in order; a gap in their numbers marks the cache as maybe stale.

        Events up to the known position are ignored: a snapshot may have overtaken
        them.
        """
        expected = cache.position
        if message.after > expected:
            cache.maybe_stale = True
        for event in message.events:
            if event.sequence <= expected:
                continue
            if event.sequence != expected + 1:
                cache.maybe_stale = True
            expected = event.sequence
            mark = short_mark(event.mark)
            if event.kind is CacheEventKind.EVICTED:
                cache.marks.discard(mark)
                self.publisher.record_evicted(message.endpoint, mark)
            elif len(cache.marks) < MAX_MARKS_PER_ENGINE:
                cache.marks.add(mark)
                self.publisher.record_stored(message.endpoint, mark, event.tokens)
        if message.newest > expected:
            cache.maybe_stale = True
        cache.position = max(expected, message.newest)

    def _fetch_if_due(
        self, cache: EngineCache, endpoint: EndpointId, context: Context
    ) -> None:
        interval = max(
            MIN_SNAPSHOT_INTERVAL, SNAPSHOT_INTERVAL_PER_MARK * len(cache.marks)
        )
        if context.now - cache.fetched_at >= interval:
            cache.fetched_at = context.now
            context.emit(FetchCacheSnapshot(endpoint))

    def _start_from_batch(
        self, endpoint: EndpointId, message: CacheChangesReceived
    ) -> None:
        """Start a cache from a batch alone, without a summary."""
        changes = message.changes
        cache = EngineCache(changes.incarnation, message.origin.instance, changes.batch)
        cache.marks = MarkSet(from_bytes(changes.stored))
        cache.maybe_stale = changes.batch != 1
        self.caches[endpoint] = cache

    def _request_one_summary(self, context: Context) -> None:
        """Request the summary of one engine whose cache may be stale.

        The choice is random, so that instances that lack the same summaries don't all
        request the same one at once.
        """
        self.summary_requested_at = context.now
        self._forget(context)
        stale = [
            endpoint.endpoint_id
            for endpoint in context.state.fleet.endpoints.values()
            if self._needs_summary(endpoint, context)
            and context.now
            - self.summary_requests.get(endpoint.endpoint_id, DISTANT_PAST)
            >= SUMMARY_REQUEST_RETRY_INTERVAL
        ]
        if stale:
            name = context.random.choice(stale)
            self.summary_requests[name] = context.now
            cache = self.caches.get(name)
            position = 0 if cache is None else cache.position
            context.emit(Publish(endpoint_key(name), CacheSummaryRequest(position)))

    def _needs_summary(self, endpoint: Endpoint, context: Context) -> bool:
        """Return whether a summary of an engine's cache is needed."""
        entry = endpoint.entry
        if (
            entry.kind is not EndpointKind.MODEL_ENGINE
            or entry.availability_zone != context.state.identity.availability_zone
            or endpoint.unreachable_since is not None
            or self._reads(entry.endpoint)
        ):
            return False
        cache = self.caches.get(entry.endpoint)
        return cache is None or cache.maybe_stale

    def _forget(self, context: Context) -> None:
        """Drop caches of engines that were removed, or that others now read."""
        fleet = context.state.fleet.endpoints
        for endpoint, cache in list(self.caches.items()):
            moved = cache.source is None and not self._reads(endpoint)
            if endpoint not in fleet or moved:
                del self.caches[endpoint]
                self.summary_requests.pop(endpoint, None)
                self.publisher.forget(endpoint)

    def _reads(self, endpoint: EndpointId) -> bool:
        """Return whether this instance reads an engine's events itself."""
        if self.membership is None:
            return False
        watched = self.membership.watched_endpoint(endpoint)
        return watched is not None and watched.is_primary

    def _zone_endpoints(self) -> int:
        return 1 if self.membership is None else max(1, self.membership.zone_endpoints)


def _endpoint_of(key: EndpointKey, context: Context) -> EndpointId | None:
    endpoint = context.state.fleet.by_key.get(key)
    return None if endpoint is None else endpoint.endpoint_id


def _tokens_of(mark: PrefixMark) -> int:
    return mark.tokens

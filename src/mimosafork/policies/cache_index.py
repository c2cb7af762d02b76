"""Which prefixes engines probably have in their caches.

A hint: being wrong costs a prefill, never a wrong answer. An engine's first watcher
reads its cache events and tells its zone of the longest prefixes, as many as the
traffic budget bears. Whatever shows that something was missed makes the engine's
part doubtful until it has been told anew, whole.
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
from .cache_telling import Telling
from .mark_set import MarkSet, from_bytes, short_mark
from .membership import Membership

MOST_MARKS = 16_384
"""Marks that are kept of one engine."""

SHORTEST_HELD = 4_096
"""Shorter beginnings are not looked for all over the zone: most requests are short,
and the search would cost each of them more than the prefill that it may save."""

SHORTEST_SNAPSHOT_PACE = timedelta(seconds=10)
SNAPSHOT_PACE_PER_MARK = timedelta(milliseconds=45)
"""An engine's answer has about 45 bytes a mark, so this is 1 KB/s at most."""

WANTED_PACE = timedelta(seconds=2)
"""One summary is asked for at a time, so that a new instance, which has none, does
not ask for those of the whole zone at once."""
WANTED_AGAIN = timedelta(seconds=30)
"""A wish that somebody has written is not repeated before: the answer to it reaches
the whole zone, and an engine without cache events never gets one."""


@dataclass(frozen=True, slots=True)
class CachedPrefix:
    """What the index says of one prompt on one endpoint.

    Attributes
    ----------
    tokens : int
        Length of the longest beginning that is probably cached; 0 for none.
    doubtful : bool
        Something of this endpoint's cache has been missed.
    """

    tokens: int
    doubtful: bool


NOTHING_KNOWN = CachedPrefix(0, True)


@dataclass(slots=True)
class Part:
    """What is known of one engine's cache.

    Attributes
    ----------
    source : InstanceId or None
        Peer whose batches are followed; None if this instance reads the engine.
    position : int
        Newest event or batch that has been taken in.
    """

    incarnation: Incarnation
    source: InstanceId | None
    position: int
    marks: MarkSet = field(default_factory=MarkSet)
    doubtful: bool = False
    fetched_at: timedelta = DISTANT_PAST


@register("cache-index")
class CacheIndex(Plugin):
    """Keeps the parts, and has the doubtful ones told anew."""

    def __init__(self) -> None:
        self.parts: dict[EndpointId, Part] = {}
        self.telling = Telling()
        self.membership: Membership | None = None
        self.wanted_at = DISTANT_PAST
        self.wishes: dict[EndpointId, timedelta] = {}

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-in that says what this instance watches."""
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
        part = self.parts.get(endpoint)
        if part is None:
            return NOTHING_KNOWN
        for mark in reversed(prefix_marks):
            if short_mark(mark.digest) in part.marks:
                return CachedPrefix(mark.tokens, part.doubtful)
        return CachedPrefix(0, part.doubtful)

    def holders(self, prefix_marks: Sequence[PrefixMark]) -> dict[EndpointId, int]:
        """Return the endpoints that hold a beginning of a prompt, with its length.

        Those in doubt are left out: a prefix that is gone would make a first token
        look nearer than it is. So are short beginnings, see `SHORTEST_HELD`.
        """
        found: dict[EndpointId, int] = {}
        for prefix in prefix_marks:
            if prefix.tokens < SHORTEST_HELD:
                continue
            mark = short_mark(prefix.digest)
            for endpoint, part in self.parts.items():
                if mark in part.marks and not part.doubtful:
                    found[endpoint] = prefix.tokens
        return found

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """React to a message."""

    @handle.register
    def _(self, message: CacheSnapshotReported, context: Context) -> None:
        part = Part(message.incarnation, None, message.sequence)
        self.parts[message.endpoint] = part
        longest = sorted(message.marks, key=_tokens_of, reverse=True)[:MOST_MARKS]
        part.marks = MarkSet(short_mark(each.digest) for each in longest)
        part.fetched_at = context.now
        self.telling.replaced(
            message.endpoint,
            message.incarnation,
            [(short_mark(each.digest), each.tokens) for each in longest],
        )

    @handle.register
    def _(self, message: CacheEventsReported, context: Context) -> None:
        part = self.parts.get(message.endpoint)
        if (
            part is None
            or part.source is not None
            or part.incarnation != message.incarnation
        ):
            context.emit(FetchCacheSnapshot(message.endpoint))
            return
        self._take_events(part, message)
        if part.doubtful:
            self._fetch_if_due(part, message.endpoint, context)

    @handle.register
    def _(self, message: CacheChangesReceived, context: Context) -> None:
        endpoint = _endpoint_of(message.key, context)
        if endpoint is None or self._reads(endpoint):
            return
        part = self.parts.get(endpoint)
        news = message.changes
        known = part is not None and part.source == message.origin.instance
        if part is None or not known or part.incarnation != news.incarnation:
            self._begin_heard(endpoint, message)
            return
        if news.batch <= part.position:
            return
        if news.batch > part.position + 1:
            part.doubtful = True
        part.position = news.batch
        for mark in from_bytes(news.evicted):
            part.marks.discard(mark)
        for mark in from_bytes(news.stored):
            part.marks.add(mark)

    @handle.register
    def _(self, message: CacheSummaryReceived, context: Context) -> None:
        endpoint = _endpoint_of(message.key, context)
        if endpoint is None or self._reads(endpoint):
            return
        part = self.parts.get(endpoint)
        summary = message.summary
        source = message.origin.instance
        if (
            part is not None
            and part.source == source
            and part.incarnation == summary.incarnation
            and part.position > summary.batch
        ):
            # Batches that the summary does not have yet have been taken in; the
            # next summary, or none at all if nothing is in doubt, will do.
            return
        marks = MarkSet(from_bytes(summary.marks)[:MOST_MARKS])
        self.parts[endpoint] = Part(summary.incarnation, source, summary.batch, marks)

    @handle.register
    def _(self, message: CacheSummaryRequestReceived, context: Context) -> None:
        endpoint = _endpoint_of(message.key, context)
        if endpoint is None:
            return
        self.wishes[endpoint] = context.now
        if self._reads(endpoint):
            self.telling.want_summary(endpoint)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        for value in self.telling.due(context.now, self._zone_endpoints()):
            context.emit(value)
        if context.now - self.wanted_at >= WANTED_PACE:
            self._want_one(context)

    def _take_events(self, part: Part, message: CacheEventsReported) -> None:
        """Apply events in order; a number left out makes the part doubtful.

        Those up to the known position are passed over: an answer may have been
        overtaken by a snapshot.
        """
        expected = part.position
        if message.after > expected:
            part.doubtful = True
        for event in message.events:
            if event.sequence <= expected:
                continue
            if event.sequence != expected + 1:
                part.doubtful = True
            expected = event.sequence
            mark = short_mark(event.mark)
            if event.kind is CacheEventKind.EVICTED:
                part.marks.discard(mark)
                self.telling.evicted(message.endpoint, mark)
            elif len(part.marks) < MOST_MARKS:
                part.marks.add(mark)
                self.telling.stored(message.endpoint, mark, event.tokens)
        if message.newest > expected:
            part.doubtful = True
        part.position = max(expected, message.newest)

    def _fetch_if_due(self, part: Part, endpoint: EndpointId, context: Context) -> None:
        pace = max(SHORTEST_SNAPSHOT_PACE, SNAPSHOT_PACE_PER_MARK * len(part.marks))
        if context.now - part.fetched_at >= pace:
            part.fetched_at = context.now
            context.emit(FetchCacheSnapshot(endpoint))

    def _begin_heard(self, endpoint: EndpointId, message: CacheChangesReceived) -> None:
        """Begin a part in the middle: only what the batch says is known."""
        news = message.changes
        part = Part(news.incarnation, message.origin.instance, news.batch)
        part.marks = MarkSet(from_bytes(news.stored))
        part.doubtful = news.batch != 1
        self.parts[endpoint] = part

    def _want_one(self, context: Context) -> None:
        """Ask the zone for the summary of one engine that is in doubt.

        Which one is left to chance: instances that all lack the same would else
        all ask for the same at the same time.
        """
        self.wanted_at = context.now
        self._forget(context)
        lacking = [
            endpoint.endpoint_id
            for endpoint in context.state.fleet.endpoints.values()
            if self._lacks_summary(endpoint, context)
            and context.now - self.wishes.get(endpoint.endpoint_id, DISTANT_PAST)
            >= WANTED_AGAIN
        ]
        if lacking:
            name = context.random.choice(lacking)
            self.wishes[name] = context.now
            part = self.parts.get(name)
            position = 0 if part is None else part.position
            context.emit(Publish(endpoint_key(name), CacheSummaryRequest(position)))

    def _lacks_summary(self, endpoint: Endpoint, context: Context) -> bool:
        """Return whether an engine's watcher should tell all of its cache."""
        entry = endpoint.entry
        if (
            entry.kind is not EndpointKind.MODEL_ENGINE
            or entry.availability_zone != context.state.identity.availability_zone
            or endpoint.unreachable_since is not None
            or self._reads(entry.endpoint)
        ):
            return False
        part = self.parts.get(entry.endpoint)
        return part is None or part.doubtful

    def _forget(self, context: Context) -> None:
        """Drop parts of engines that have gone, or that others now read."""
        fleet = context.state.fleet.endpoints
        for endpoint, part in list(self.parts.items()):
            moved = part.source is None and not self._reads(endpoint)
            if endpoint not in fleet or moved:
                del self.parts[endpoint]
                self.wishes.pop(endpoint, None)
                self.telling.forget(endpoint)

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

"""What an engine's first watcher tells its zone of the engine's cache."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import EndpointId, Incarnation
from ..kernel.fleet import DISTANT_PAST
from ..kernel.messages.cache import CacheChanges, CacheSummary
from ..kernel.messages.peers import Publish
from ..kernel.messages.watch import endpoint_key
from .mark_set import MarkSet, to_bytes

SHORTEST_PACE = timedelta(seconds=2)
PACE_PER_ENDPOINT = timedelta(milliseconds=100)
"""A zone's batches together go out ten times a second at most."""

ZONE_MARKS_PER_SECOND = 200
"""Marks that a zone's watchers together tell; four bytes each."""
FEWEST_IN_BATCH = 4
MOST_IN_BATCH = 128

MOST_TOLD = 1024
"""Marks of one engine that its zone is told of at a time."""

TOLD_AT_FIRST = 256
"""Marks of an engine that a new watcher tells at once, in its first summary."""

SLOTS = 8
"""Batches that stand side by side until everybody has heard them."""
SUMMARY_PACE = timedelta(seconds=10)


@dataclass(slots=True)
class Told:
    """What the zone has been told of one engine, and what waits.

    Attributes
    ----------
    waiting : dict of int to int
        Marks stored since, with their tokens.
    gone : set of int
        Told marks that were evicted since.
    """

    incarnation: Incarnation
    batch: int = 0
    told: MarkSet = field(default_factory=MarkSet)
    waiting: dict[int, int] = field(default_factory=dict)
    gone: set[int] = field(default_factory=set)
    batch_at: timedelta = DISTANT_PAST
    summary_at: timedelta = DISTANT_PAST
    wants_summary: bool = True


class Telling:
    """Chooses what to tell: the longest prefixes, in batches of a bounded size.

    What does not fit is dropped, not queued: a prefix that nobody heard of is a
    chance lost, and the next batch has fresher ones.
    """

    def __init__(self) -> None:
        self.engines: dict[EndpointId, Told] = {}

    def replaced(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        marks: Iterable[tuple[int, int]],
    ) -> None:
        """Take a snapshot for the engine's state, in place of all before."""
        current = dict(marks)
        told = self.engines.get(endpoint)
        if told is None or told.incarnation != incarnation:
            told = self.engines[endpoint] = Told(incarnation)
            longest = sorted(current, key=current.__getitem__, reverse=True)
            told.told = MarkSet(longest[:TOLD_AT_FIRST])
        told.gone = {mark for mark in told.told if mark not in current}
        told.waiting = {
            mark: tokens for mark, tokens in current.items() if mark not in told.told
        }

    def stored(self, endpoint: EndpointId, mark: int, tokens: int) -> None:
        """Note a prefix that entered the cache."""
        told = self.engines.get(endpoint)
        if told is None:
            return
        told.gone.discard(mark)
        if mark not in told.told:
            told.waiting[mark] = tokens

    def evicted(self, endpoint: EndpointId, mark: int) -> None:
        """Note a prefix that left the cache; of interest only if it was told."""
        told = self.engines.get(endpoint)
        if told is None:
            return
        told.waiting.pop(mark, None)
        if mark in told.told:
            told.gone.add(mark)

    def want_summary(self, endpoint: EndpointId) -> None:
        """Note that somebody needs all that has been told."""
        told = self.engines.get(endpoint)
        if told is not None:
            told.wants_summary = True

    def forget(self, endpoint: EndpointId) -> None:
        """Drop an engine that this instance does not read any more."""
        self.engines.pop(endpoint, None)

    def due(self, now: timedelta, zone_endpoints: int) -> Iterator[Publish]:
        """Return what is to be published now."""
        pace = max(SHORTEST_PACE, PACE_PER_ENDPOINT * zone_endpoints)
        allowed = int(ZONE_MARKS_PER_SECOND * pace.total_seconds() / zone_endpoints)
        allowed = min(MOST_IN_BATCH, max(FEWEST_IN_BATCH, allowed))
        for endpoint, told in self.engines.items():
            if (told.waiting or told.gone) and now - told.batch_at >= pace:
                told.batch_at = now
                yield self._batch(endpoint, told, allowed)
            if told.wants_summary and now - told.summary_at >= SUMMARY_PACE:
                told.summary_at = now
                told.wants_summary = False
                marks = to_bytes(told.told)
                summary = CacheSummary(told.incarnation, told.batch, marks)
                yield Publish(endpoint_key(endpoint), summary)

    def _batch(self, endpoint: EndpointId, told: Told, allowed: int) -> Publish:
        gone = sorted(told.gone)[:allowed]
        room = min(allowed - len(gone), MOST_TOLD - len(told.told) + len(gone))
        longest = sorted(told.waiting, key=told.waiting.__getitem__, reverse=True)
        stored = longest[: max(0, room)]
        for mark in gone:
            told.told.discard(mark)
            told.gone.discard(mark)
        for mark in stored:
            told.told.add(mark)
        told.waiting.clear()
        told.batch += 1
        news = CacheChanges(
            told.incarnation, told.batch, to_bytes(stored), to_bytes(gone)
        )
        key = f"{endpoint_key(endpoint)}#{told.batch % SLOTS}"
        return Publish(key, news)

"""Takes in what peers send: checked, bounded, and never going back."""

from collections.abc import Callable
from dataclasses import dataclass
from logging import getLogger
from typing import Any

from ..ids import InstanceId
from ..kernel.messages.peers import PeerValue, Scope
from ..telemetry.catalogue.peers import PEER_ENTRY_REFUSED
from ..telemetry.logs import log_event
from .errors import InvalidPeerMessageError
from .feeds import FORGET_AFTER_S, Entry, Feed, FeedStore, feed_id
from .frames import Delta, EntryFrame, FeedName
from .kinds.base import EntryKind, kind_numbered

logger = getLogger(__name__)

MAX_FEEDS = 4096
MAX_ENTRIES = 4096
MAX_KEY_LENGTH = 200
MAX_UNKNOWN_BYTES = 4096
"""Longest value of a kind that only newer programs know; it is passed on."""
UNKNOWN_TIME_TO_LIVE_S = 60.0


@dataclass(frozen=True, slots=True)
class HeardEntry:
    """A value that is news here."""

    feed: Feed
    entry: Entry
    kind: EntryKind[Any]
    value: PeerValue


class Hearing:
    """Merges deltas into the feed store.

    Parameters
    ----------
    store : FeedStore
    superseded : callable
        Told the higher incarnation when peers know one of this instance itself.
    """

    def __init__(self, store: FeedStore, superseded: Callable[[int], None]) -> None:
        self.store = store
        self.superseded = superseded
        self.refused_entries = 0

    def take(self, deltas: tuple[Delta, ...], now_s: float) -> list[HeardEntry]:
        """Merge deltas; return the entries that are news."""
        news: list[HeardEntry] = []
        for delta in deltas:
            feed = self._feed_of(delta)
            if feed is not None:
                self._merge(feed, delta, now_s, news)
        return news

    def _feed_of(self, delta: Delta) -> Feed | None:
        """Return the feed that a delta may be merged into; None to pass over it."""
        feed = self.store.feeds.get(delta.feed)
        if feed is None:
            return self._new_feed(delta)
        if feed is self.store.own[feed.name.scope]:
            # A process that was started again under the same incarnation: its
            # peers hold higher numbers and would pass over all that it writes.
            if delta.newest > feed.version:
                self.store.catch_up(feed, delta.newest)
            return None
        return feed

    def _new_feed(self, delta: Delta) -> Feed | None:
        name = delta.name
        if name is None or delta.age_s > FORGET_AFTER_S:
            return None
        if feed_id(name) != delta.feed or not self._may_be_kept(name):
            detail = f"feed of {name.owner!r} does not belong here"
            raise InvalidPeerMessageError(detail)
        known = self.store.life_of(name)
        if known is self.store.own[name.scope]:
            if name.incarnation > known.name.incarnation:
                self.superseded(name.incarnation)
            return None
        if known is not None and known.name.incarnation > name.incarnation:
            # A peer that was cut off still tells of the owner's former life. Its
            # entries are numbered apart, so taking them would put old values
            # beside or over new ones.
            return None
        if known is None and len(self.store.feeds) >= MAX_FEEDS:
            return None
        return self.store.add(name)

    def _may_be_kept(self, name: FeedName) -> bool:
        own_zone = name.availability_zone == self.store.availability_zone
        return own_zone or name.scope is not Scope.ZONE

    def _merge(
        self, feed: Feed, delta: Delta, now_s: float, news: list[HeardEntry]
    ) -> None:
        for frame in delta.entries:
            known = feed.entries.get((frame.kind, frame.key))
            if known is not None and known.version >= frame.version:
                continue
            self._accept(feed, frame, known, now_s, news)
        # Only a delta that begins where this feed ends leaves nothing out. After
        # any other the versions between would never be asked for again.
        if delta.base <= feed.version < delta.newest:
            feed.version = delta.newest
            feed.written_s = max(feed.written_s, now_s - delta.age_s)

    def _accept(
        self,
        feed: Feed,
        frame: EntryFrame,
        known: Entry | None,
        now_s: float,
        news: list[HeardEntry],
    ) -> None:
        kind = kind_numbered(frame.kind)
        time_to_live_s = (
            UNKNOWN_TIME_TO_LIVE_S
            if kind is None
            else kind.time_to_live.total_seconds()
        )
        entry = Entry(
            frame.kind,
            frame.key,
            frame.version,
            now_s - frame.age_s,
            now_s - frame.age_s + time_to_live_s,
            frame.value,
        )
        if entry.expires_s <= now_s or not self._within_bounds(feed, frame, kind):
            return
        if kind is None:
            feed.put(entry)
            return
        try:
            value = kind.decode(frame.value)
            if known is not None and not kind.supersedes(
                value, kind.decode(known.value)
            ):
                return
        except InvalidPeerMessageError as error:
            self.refused_entries += 1
            log_event(
                logger,
                PEER_ENTRY_REFUSED,
                entry=frame.key,
                peer=feed.name.owner,
                why=error,
            )
            return
        feed.put(entry)
        news.append(HeardEntry(feed, entry, kind, value))

    def _within_bounds(
        self,
        feed: Feed,
        frame: EntryFrame,
        kind: EntryKind[Any] | None,
    ) -> bool:
        longest = MAX_UNKNOWN_BYTES if kind is None else kind.max_bytes
        fits = (
            len(frame.value) <= longest
            and len(frame.key) <= MAX_KEY_LENGTH
            and len(feed.entries) < MAX_ENTRIES
            and (kind is None or feed.name.scope in kind.scopes)
        )
        if not fits:
            self.refused_entries += 1
        return fits


def owners(store: FeedStore) -> set[InstanceId]:
    """Return the owners of all known feeds."""
    return {feed.name.owner for feed in store.feeds.values()}

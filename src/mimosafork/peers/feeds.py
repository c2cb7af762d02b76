"""Feeds: what each instance has written, and how far it is known here.

An instance owns two feeds, one for each scope, and numbers what it writes into
them. A version is known here when all that its owner had written up to it has
been heard, so two instances find what one of them lacks by comparing one number
a feed. An entry that was overwritten is never sent again.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random

from ..ids import AvailabilityZoneId, Incarnation, InstanceId
from ..kernel.messages.peers import Scope
from .frames import Delta, EntryFrame, FeedId, FeedName, Heads

ENTRY_OVERHEAD_BYTES = 12
"""Bytes of an entry on the wire beside its key and value, about."""
DELTA_OVERHEAD_BYTES = 24

FORGET_AFTER_S = 600.0
"""A feed that has been silent for so long is dropped. Its owner's next word
makes it known again, whole, as any feed that is new here."""


@dataclass(slots=True)
class Entry:
    """An entry as it is kept.

    Attributes
    ----------
    written_s : float
        This process's monotonic instant at which its owner wrote it, about.
    expires_s : float
    """

    kind: int
    key: str
    version: int
    written_s: float
    expires_s: float
    value: bytes


EntryKey = tuple[int, str]


@dataclass(slots=True)
class Feed:
    """One owner's entries of one scope.

    Attributes
    ----------
    version : int
        All of the owner's entries up to it have been heard.
    written_s : float
        Instant of the owner's newest known version.
    """

    feed_id: FeedId
    name: FeedName
    version: int = 0
    written_s: float = 0.0
    entries: dict[EntryKey, Entry] = field(default_factory=dict)

    def newer_than(self, base: int) -> list[Entry]:
        """Return the entries written after a version, oldest first."""
        newer = []
        for entry in reversed(self.entries.values()):
            if entry.version <= base:
                break
            newer.append(entry)
        newer.reverse()
        return newer

    def put(self, entry: Entry) -> None:
        """Put an entry in the place of an older one of its key.

        Entries stand in the order of their versions, so that what is newer than a
        version is found without looking at all of them. They nearly always come in
        that order; after a gap they may not.
        """
        key = (entry.kind, entry.key)
        self.entries.pop(key, None)
        last = next(reversed(self.entries.values()), None)
        self.entries[key] = entry
        if last is not None and last.version > entry.version:
            in_order = sorted(self.entries.items(), key=_version_of)
            self.entries = dict(in_order)

    def drop_expired(self, now_s: float) -> None:
        """Drop entries that their owner has not renewed in time."""
        gone = [key for key, each in self.entries.items() if each.expires_s <= now_s]
        for key in gone:
            del self.entries[key]


def feed_id(name: FeedName) -> FeedId:
    """Return the short name of a feed on the wire."""
    named = f"{name.scope.value}\x00{name.owner}\x00{name.incarnation}".encode()
    return FeedId(int.from_bytes(blake2b(named, digest_size=8).digest(), "big"))


class FeedStore:
    """All feeds that this instance knows, its own among them.

    Parameters
    ----------
    instance, incarnation, availability_zone
        Who this instance is.
    random : random.Random
        Decides which feeds go first when not all fit.
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        availability_zone: AvailabilityZoneId,
        random: Random,
    ) -> None:
        self.random = random
        self.availability_zone = availability_zone
        self.feeds: dict[FeedId, Feed] = {}
        self.lives: dict[tuple[InstanceId, Scope], Feed] = {}
        self.own = {
            scope: self.add(FeedName(instance, incarnation, availability_zone, scope))
            for scope in Scope
        }

    def add(self, name: FeedName) -> Feed:
        """Make a feed known, in place of that of the owner's former life."""
        former = self.life_of(name)
        if former is not None:
            self.remove(former)
        feed = Feed(feed_id(name), name)
        self.feeds[feed.feed_id] = feed
        self.lives[(name.owner, name.scope)] = feed
        return feed

    def remove(self, feed: Feed) -> None:
        """Forget a feed."""
        del self.feeds[feed.feed_id]
        del self.lives[(feed.name.owner, feed.name.scope)]

    def life_of(self, name: FeedName) -> Feed | None:
        """Return the known feed of the same owner and scope, whichever its life."""
        return self.lives.get((name.owner, name.scope))

    def write(
        self,
        scope: Scope,
        kind: int,
        key: str,
        value: bytes,
        now_s: float,
        ttl_s: float,
    ) -> None:
        """Write into an own feed."""
        feed = self.own[scope]
        feed.version += 1
        feed.written_s = now_s
        feed.put(Entry(kind, key, feed.version, now_s, now_s + ttl_s, value))

    def beat(self, now_s: float) -> None:
        """Let the own zone feed grow without an entry: the sign of life."""
        feed = self.own[Scope.ZONE]
        feed.version += 1
        feed.written_s = now_s

    def catch_up(self, feed: Feed, version: int) -> None:
        """Continue an own feed's numbers after a version that peers already know.

        An instance that came back under the same incarnation starts at 1 again;
        its peers hold higher numbers and would pass over all that it writes.
        """
        offset = version + 1
        for entry in feed.entries.values():
            entry.version += offset
        feed.version += offset

    def visible(self, scopes: Iterable[Scope]) -> Iterator[Feed]:
        """Iterate over the feeds that may be sent to a peer."""
        wanted = frozenset(scopes)
        return (feed for feed in self.feeds.values() if feed.name.scope in wanted)

    def heads(self, scopes: Iterable[Scope]) -> Heads:
        """Return how far each feed is known."""
        return {
            feed.feed_id: feed.version for feed in self.visible(scopes) if feed.version
        }

    def behind(self, heads: Heads, scopes: Iterable[Scope]) -> Heads:
        """Return the feeds of which a peer has more, as they are known here."""
        wanted = frozenset(scopes)
        missing: Heads = {}
        for name, version in heads.items():
            feed = self.feeds.get(name)
            if feed is None:
                missing[name] = 0
            elif feed.name.scope in wanted and version > feed.version:
                missing[name] = feed.version
        return missing

    def deltas(
        self,
        heads: Heads,
        scopes: Iterable[Scope],
        now_s: float,
        limit_bytes: int,
        only_named: bool = False,
    ) -> list[Delta]:
        """Return what a peer lacks, within a bound of bytes.

        Parameters
        ----------
        heads : dict of FeedId to Head
            How far the peer knows each feed.
        limit_bytes : int
            A feed that does not fit is cut after an older version; the rest goes
            in a later exchange.
        only_named : bool
            Leave out feeds that `heads` does not name.
        """
        lacking = [
            feed
            for feed in self.visible(scopes)
            if feed.version > heads.get(feed.feed_id, 0)
            and (feed.feed_id in heads or not only_named)
        ]
        # In a fixed order the last feeds would never fit while the first are busy.
        self.random.shuffle(lacking)
        left = limit_bytes
        deltas = []
        for feed in lacking:
            delta, size = _delta(feed, heads.get(feed.feed_id, 0), now_s, left)
            deltas.append(delta)
            left -= size
            if left <= 0:
                break
        return deltas

    def drop_expired(self, now_s: float) -> None:
        """Drop expired entries, and feeds that have been silent for long."""
        own = {feed.feed_id for feed in self.own.values()}
        for feed in list(self.feeds.values()):
            feed.drop_expired(now_s)
            silent = now_s - feed.written_s > FORGET_AFTER_S
            if silent and not feed.entries and feed.feed_id not in own:
                self.remove(feed)


def _version_of(item: tuple[EntryKey, Entry]) -> int:
    return item[1].version


def _delta(feed: Feed, base: int, now_s: float, limit_bytes: int) -> tuple[Delta, int]:
    """Return a feed's delta for a peer and its size, cut to a bound of bytes."""
    size = DELTA_OVERHEAD_BYTES
    newest = feed.version
    frames: list[EntryFrame] = []
    for entry in feed.newer_than(base):
        cost = ENTRY_OVERHEAD_BYTES + len(entry.key) + len(entry.value)
        # At least one entry goes each time, or a feed with a large one would
        # never get past it.
        if frames and size + cost > limit_bytes:
            newest = frames[-1].version
            break
        size += cost
        age_s = max(0.0, now_s - entry.written_s)
        frames.append(
            EntryFrame(entry.kind, entry.key, entry.version, age_s, entry.value)
        )
    name = None if base else feed.name
    age_s = max(0.0, now_s - feed.written_s)
    delta = Delta(feed.feed_id, base, newest, age_s, tuple(frames), name)
    return delta, size

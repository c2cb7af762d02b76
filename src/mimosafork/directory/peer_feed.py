"""Following the endpoints by peers' updates, so that not all instances poll the store.

Each poll costs a call, whether or not anything changed. In a large fleet a few readers
follow the feed and publish, after each answer, that nothing has changed since some
version. An instance that knows all changes up to that version needs no call; one that
does not, or that receives no update in time, polls the store itself, as all instances
do in a small fleet. A peer's update therefore only shows that there are no changes.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

import msgspec

from ..clock import Clock
from ..ids import InstanceId
from ..kernel.rendezvous import ranked
from .feed_update import FeedUpdate
from .row_version import RowVersion

SUBJECT = "endpoints"
FEED_READERS = 8
"""Number of instances that poll the feed. Their updates are spread over time, so that
one arrives every 0.25 s and the failure of a reader goes unnoticed by others; 8 of 195
make a 24th of the idle calls. In fleets of up to this size all instances poll it."""

MIN_WAIT_FACTOR = 0.5
"""Smallest jitter factor of a reader's long poll timeout. A change ends the
polls of all readers at the same instant; with equal timeouts their updates would arrive
together from then on, and expire at the other instances between two polls."""

MAX_UPDATE_AGE = timedelta(milliseconds=1700)
"""Maximum age of an update. If all readers fail at once, the other instances poll the
store this much later: within the two seconds after which a draining endpoint must get
no new work, and before rows can have expired in an outage."""

MAX_ANSWER_DELAY = timedelta(milliseconds=300)
"""An answer that exceeds its long poll timeout by more than this is not published.

Guard: a process that was suspended finds an answer as old as the suspension. Published
as fresh, it would keep peers from polling while an endpoint leaves."""


class ReceivedUpdate(msgspec.Struct, frozen=True):
    """A peer's update, and the instant as of which it holds."""

    update: FeedUpdate
    as_of: timedelta

    def remaining_freshness(self, now: timedelta) -> timedelta:
        """Return the time until the update expires."""
        return self.as_of + MAX_UPDATE_AGE - now


class PeerFeed:
    """Updates of peers about the endpoint feed.

    Parameters
    ----------
    clock : Clock
        Its monotonic scale must include suspensions, as updates age during them.

    Attributes
    ----------
    is_reader : bool
        Whether this instance polls the feed itself.
    has_followers : bool
        Whether the fleet has instances that are not readers.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_reader = True
        self.has_followers = False
        self.updates: dict[InstanceId, ReceivedUpdate] = {}
        self.publish: Callable[[FeedUpdate], None] = lambda update: None
        """Publishes an update of this instance to its peers."""

    def select_readers(self, own: InstanceId, peers: Iterable[InstanceId]) -> None:
        """Determine whether this instance is a reader of the feed."""
        others = set(peers)
        self.has_followers = len(others) >= FEED_READERS
        self.is_reader = own in ranked(SUBJECT, {own, *others})[:FEED_READERS]
        self.updates = {each: self.updates[each] for each in others & set(self.updates)}

    def receive(self, peer: InstanceId, update: FeedUpdate, age: timedelta) -> None:
        """Store a peer's update of some age."""
        self.updates[peer] = ReceivedUpdate(update, self.clock.monotonic() - age)

    def newest_covering(self, position: RowVersion) -> ReceivedUpdate | None:
        """Return the newest update that covers a position.

        None if there is no fresh one, or if this instance is a reader itself. None as
        well once a peer has followed the store into a later era: other peers may not
        have noticed the restore yet.
        """
        if self.is_reader:
            return None
        now = self.clock.monotonic()
        if any(
            each.update.followed.era > position.era for each in self.updates.values()
        ):
            return None
        covering = [
            each
            for each in self.updates.values()
            if each.remaining_freshness(now) > timedelta(0)
            and each.update.covers(position)
        ]
        return max(covering, key=lambda each: each.as_of, default=None)

    def reader_wait(self, usual: timedelta, random: Random) -> timedelta:
        """Return the long poll timeout, with jitter if peers rely on the answer."""
        if not self.is_reader or not self.has_followers:
            return usual
        return usual * random.uniform(MIN_WAIT_FACTOR, 1.0)

    def publish_answer(
        self, update: FeedUpdate, asked_at: timedelta, wait: timedelta
    ) -> None:
        """Publish an answer to peers, unless it arrived late.

        Parameters
        ----------
        asked_at : timedelta
            Instant of the call, on this object's clock.
        wait : timedelta
            Timeout of the long poll.
        """
        took = self.clock.monotonic() - asked_at
        if self.is_reader and self.has_followers and took <= wait + MAX_ANSWER_DELAY:
            self.publish(update)

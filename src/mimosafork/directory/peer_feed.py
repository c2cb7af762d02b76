"""Following the endpoints by peers' updates, so that not every instance asks the store.

Each answer of the store is a call that costs, changed or not. In a large fleet a few
instances follow the feed themselves and tell the others, after each answer, that
nothing has changed since some version. Who knows all up to that version needs no call;
who does not, or receives no such update in time, asks the store itself, as all do in a
small fleet. So a peer's update is never taken for a change: only for there being none.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from random import Random

import msgspec

from ..clock import Clock
from ..ids import InstanceId
from ..kernel.rendezvous import ranked
from .feed_update import FeedUpdate

SUBJECT = "endpoints"
FEED_READERS = 8
"""Instances that follow the feed themselves. Their updates come at any instant, so that
one comes every 0.25 s and no silence of one of them is noticed by others; 8 of 195 make
a 24th of the calls at rest. Fleets of up to so many all follow it themselves."""

MIN_WAIT_FACTOR = 0.5
"""Smallest part of a wait that an instance makes for others. One change ends the waits
of all who follow the feed at the same instant; with equal waits their updates came
together from then on, and grew old for the others between two calls."""

MAX_UPDATE_AGE = timedelta(milliseconds=1700)
"""How old an update may be. If all who follow the feed fall silent at once, the others
ask the store this much later: before the two seconds after which an endpoint that
leaves may have no new work, and before rows may have expired in an outage."""

MAX_ANSWER_DELAY = timedelta(milliseconds=300)
"""An answer that comes this much later than its wait was over is not passed on.

Guard: a process that was frozen finds an answer which is as old as its freeze. Told as
fresh, it would keep peers from asking while an endpoint leaves."""


class ReceivedUpdate(msgspec.Struct, frozen=True):
    """A peer's update, and the instant as of which it holds."""

    update: FeedUpdate
    as_of: timedelta

    def remaining_freshness(self, now: timedelta) -> timedelta:
        """Return how long it will be fresh."""
        return self.as_of + MAX_UPDATE_AGE - now


class PeerFeed:
    """What peers tell of the endpoints' feed.

    Parameters
    ----------
    clock : Clock
        Its monotonic scale must count the time of a suspension: updates grow old in it.

    Attributes
    ----------
    reads_itself : bool
        Whether this instance follows the feed itself.
    has_followers : bool
        Whether there are more instances than follow the feed themselves.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_reader = True
        self.has_followers = False
        self.updates: dict[InstanceId, ReceivedUpdate] = {}
        self.publish: Callable[[FeedUpdate], None] = lambda update: None
        """Tells peers an update of this instance's own."""

    def select_readers(self, own: InstanceId, peers: Iterable[InstanceId]) -> None:
        """Work out whether this instance is one of those that follow the feed."""
        others = set(peers)
        self.has_followers = len(others) >= FEED_READERS
        self.is_reader = own in ranked(SUBJECT, {own, *others})[:FEED_READERS]
        self.updates = {each: self.updates[each] for each in others & set(self.updates)}

    def receive(self, peer: InstanceId, update: FeedUpdate, age: timedelta) -> None:
        """Take a peer's update of some age."""
        self.updates[peer] = ReceivedUpdate(update, self.clock.monotonic() - age)

    def newest_covering(self, position: int) -> ReceivedUpdate | None:
        """Return the newest update by which all is known to one who is at a position.

        None if there is none that is fresh, or if this instance is to ask itself.
        """
        if self.is_reader:
            return None
        now = self.clock.monotonic()
        fitting = [
            each
            for each in self.updates.values()
            if each.remaining_freshness(now) > timedelta(0)
            and each.update.covers(position)
        ]
        return max(fitting, key=lambda each: each.as_of, default=None)

    def reader_wait(self, usual: timedelta, random: Random) -> timedelta:
        """Return how long a call may wait, whose answer peers may be waiting for."""
        if not self.is_reader or not self.has_followers:
            return usual
        return usual * random.uniform(MIN_WAIT_FACTOR, 1.0)

    def publish_answer(
        self, update: FeedUpdate, asked_at: timedelta, wait: timedelta
    ) -> None:
        """Publish an answer to peers, unless it came late.

        Parameters
        ----------
        asked_at : timedelta
            Instant of the call, on this object's clock.
        wait : timedelta
            How long the call was to wait for a change.
        """
        took = self.clock.monotonic() - asked_at
        if self.is_reader and self.has_followers and took <= wait + MAX_ANSWER_DELAY:
            self.publish(update)

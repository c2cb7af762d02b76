"""How many instances there are, for what is divided among all of them."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from ..ids import InstanceId
from .members import Identity

KEPT = timedelta(hours=1)
"""An instance counts for so long after it was last heard.

Guard: behind a cut, those on the other side are silent and spend their parts all the
same. Were they left out after some seconds, each side would divide what there is among
its own, and two sides would spend it twice. Parts of a fleet that are cut off from each
other for longer than this do so. One that is gone for good takes a part with it
meanwhile, which nobody spends."""


MOST_SILENT = 1000
"""Of those that are silent so many count at most, the latest; state stays bounded where
machines come under ever new names."""

STARTED_TOGETHER = timedelta(seconds=1)
"""Lives of a new fleet begin within this. One that began earlier may have sent, alone,
all that there is to be shared."""

MILLISECOND = timedelta(milliseconds=1)


class Census:
    """Counts the instances that this life has heard, or of which it has read.

    Parameters
    ----------
    started_ms : int
        Wall time at which this life began.

    Attributes
    ----------
    began_at : timedelta or None
        The same as a monotonic instant.
    seen : dict of InstanceId to timedelta
        When each other instance was last known to live, or was first told of.
    looks : int
        How often all rows have been read.
    complete : bool
        All instances that ever wrote their row have been read of. Before that a life
        that began behind a cut would count too few.
    fleet_is_new : bool
        No instance had a life before those that have just begun.
    joins : bool
        This instance had none, and others had.
    """

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.began_at: timedelta | None = None
        self.seen: dict[InstanceId, timedelta] = {}
        self.looks = 0
        self.complete = False
        self.fleet_is_new = False
        self.joins = False

    def learn(self, identity: Identity, now: timedelta) -> None:
        """Take in that a life exists; it need not be heard.

        Rows are never removed, and are read again and again: once all have been read,
        an old one is no news.
        """
        if identity.instance in self.seen:
            return
        if not (self.complete and self.began_long_ago(identity, now)):
            self.seen[identity.instance] = now

    def all_read(self, others: list[Identity], is_first_life: bool) -> bool:
        """Note that all rows have been read.

        Guard: the instances of a new fleet write their rows at about the same time, so
        that the first look finds some of them. One that took its part by these would
        divide the slack among too few; it waits for a second look, unless it is alone.

        Parameters
        ----------
        others : list of Identity
            The latest life of each other instance.
        is_first_life : bool
            This instance had none before.

        Returns
        -------
        bool
            Whether they should be read again soon.
        """
        self.looks += 1
        if self.looks == 1:
            oldest_ms = self.started_ms - STARTED_TOGETHER // MILLISECOND
            began_ms = [each.started_ms for each in others]
            self.fleet_is_new = is_first_life and min(began_ms, default=oldest_ms) >= (
                oldest_ms
            )
            self.joins = is_first_life and not self.fleet_is_new
        is_early = self.looks == 1 and self.fleet_is_new
        self.complete = self.complete or not (is_early and others)
        return is_early

    def began_long_ago(self, identity: Identity, now: timedelta) -> bool:
        """Return whether a life began longer ago than a silent one counts.

        By both clocks, in whole numbers: another writer's row may name any time.
        """
        if self.began_at is None:
            self.began_at = now
        lasted_ms = (now - self.began_at) // MILLISECOND
        began_ms_ago = self.started_ms - identity.started_ms + lasted_ms
        return began_ms_ago > KEPT // MILLISECOND

    def review(self, alive: Iterable[InstanceId], now: timedelta) -> None:
        """Note who is heard now, and forget those that were not for long."""
        if self.began_at is None:
            self.began_at = now
        heard = dict.fromkeys(alive, now)
        silent = [
            (at, name)
            for name, at in self.seen.items()
            if name not in heard and now - at <= KEPT
        ]
        latest = sorted(silent)[-MOST_SILENT:]
        self.seen = {name: at for at, name in latest} | heard

    def rank(
        self,
        me: InstanceId,
        now: timedelta,
        order: Callable[[InstanceId], tuple[int, InstanceId]],
    ) -> int:
        """Return how many of those that count stand before this one.

        Parameters
        ----------
        order : callable
            Returns an instance's sort key, the same on all instances.

        Notes
        -----
        Those that don't hear of one that comes under a new
        name go on by the order that they know; where it stood before some of them,
        one more than there are had a part. It stands last until all have heard it, as
        long as those that are cut off count.
        """
        if self.stands_last(now):
            return len(self.seen)
        own = order(me)
        return sum(order(name) < own for name in self.seen)

    def stands_last(self, now: timedelta) -> bool:
        """Return whether this instance ranks last, as it is new in its fleet."""
        lasted = now - self.began_at if self.began_at is not None else timedelta(0)
        return self.joins and lasted < KEPT

    @property
    def instances(self) -> int:
        """Instances that count, this one included."""
        return len(self.seen) + 1

"""How many instances there are, for what is divided among all of them."""

from collections.abc import Iterable
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
    complete : bool
        All instances that ever wrote their row have been read of. Before that a life
        that began behind a cut would count too few.
    fleet_is_new : bool
        No instance had a life before those that have just begun.
    """

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.began_at: timedelta | None = None
        self.seen: dict[InstanceId, timedelta] = {}
        self.complete = False
        self.fleet_is_new = False

    def learn(self, identity: Identity, now: timedelta) -> None:
        """Take in that a life exists; it need not be heard.

        Rows are never removed, and are read again and again: once all have been read,
        an old one is no news.
        """
        if identity.instance in self.seen:
            return
        if not (self.complete and self.age(identity, now) > KEPT):
            self.seen[identity.instance] = now

    def age(self, identity: Identity, now: timedelta) -> timedelta:
        """Return how long ago a life began, by its clock and this one's."""
        if self.began_at is None:
            self.began_at = now
        began_before = (self.started_ms - identity.started_ms) * MILLISECOND
        return began_before + now - self.began_at

    def review(self, alive: Iterable[InstanceId], now: timedelta) -> None:
        """Note who is heard now, and forget those that were not for long."""
        heard = dict.fromkeys(alive, now)
        silent = [
            (at, name)
            for name, at in self.seen.items()
            if name not in heard and now - at <= KEPT
        ]
        latest = sorted(silent)[-MOST_SILENT:]
        self.seen = {name: at for at, name in latest} | heard

    @property
    def instances(self) -> int:
        """Instances that count, this one included."""
        return len(self.seen) + 1

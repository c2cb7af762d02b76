"""Whether the store tells this instance a table, and since when."""

from datetime import timedelta

from ..clock import Clock


class StoreHealth:
    """The store's outages for one table, as this instance sees them.

    Parameters
    ----------
    clock : Clock
        Its monotonic scale is used.
    grace : timedelta
        How long after a return the list is still in doubt.
    """

    def __init__(self, clock: Clock, grace: timedelta) -> None:
        self.clock = clock
        self.grace = grace
        self.lost_at: timedelta | None = None
        self.returned_at: timedelta | None = None

    @property
    def in_doubt(self) -> bool:
        """Whether an entry may be missing only because of an outage."""
        if self.lost_at is not None:
            return True
        if self.returned_at is None:
            return False
        return self.clock.monotonic() < self.returned_at + self.grace

    def failed(self) -> bool:
        """Note a call without an answer; return whether the store is lost by it."""
        if self.lost_at is not None:
            return False
        self.lost_at = self.clock.monotonic()
        return True

    def answered(self) -> timedelta | None:
        """Note an answer; return how long the store was lost if it is regained."""
        if self.lost_at is None:
            return None
        lasted = self.clock.monotonic() - self.lost_at
        self.lost_at = None
        self.returned_at = self.clock.monotonic()
        return lasted


class Horizon:
    """The highest version that anyone has told of; all rows share one counter."""

    def __init__(self) -> None:
        self.version = 0

    def see(self, version: int) -> None:
        """Note a version that was told."""
        self.version = max(self.version, version)

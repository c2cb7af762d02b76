"""Whether the store tells this instance a table, and since when."""

from datetime import timedelta

from ..clock import Clock

MAX_ANSWER_GAP = timedelta(milliseconds=2700)
"""Longest time between two answers while the store is well: the wait of a call, the
time in which its connection is found silent, and the pause before it."""


class StoreHealth:
    """The store's outages for one table, as this instance sees them.

    Rows expire wrongly only in an outage that lasts: an endpoint must have missed
    several reports. A single connection that fell silent is found and replaced
    sooner, and casts no doubt on a removal.

    Parameters
    ----------
    clock : Clock
        Its monotonic scale is used.
    grace : timedelta
        How long after a return the list is still in doubt.
    least_outage : timedelta
        Shortest time without an answer in which rows may have expired wrongly.

    Attributes
    ----------
    lost_at : timedelta or None
        Monotonic instant of the first failed call, while the store is lost.
    outage_from : timedelta or None
        Instant of the last answer before the outage that goes on, or that ended
        last; None before the first answer and without an outage.
    returned_at : timedelta or None
        Instant of the first answer after the last outage.
    answered_last_by_peer : bool
        The last answer was a peer's.
    """

    def __init__(self, clock: Clock, grace: timedelta, min_outage: timedelta) -> None:
        self.clock = clock
        self.grace = grace
        self.min_outage = min_outage
        self.answered_at: timedelta | None = None
        self.last_answer_from_peer = False
        self.lost_at: timedelta | None = None
        self.outage_started_at: timedelta | None = None
        self.returned_at: timedelta | None = None

    @property
    def time_since_answer(self) -> timedelta | None:
        """Time since the last answer; None before the first."""
        if self.answered_at is None:
            return None
        return self.clock.monotonic() - self.answered_at

    @property
    def is_uncertain(self) -> bool:
        """Whether an entry may be missing only because of an outage."""
        now = self.clock.monotonic()
        if self.lost_at is not None:
            return self.expires_rows_by(now)
        if self.returned_at is None or now >= self.returned_at + self.grace:
            return False
        return self.expires_rows_by(self.returned_at)

    @property
    def uncertainty_left(self) -> timedelta:
        """Time until a doubt about missing entries ends; zero without one.

        While the store is lost it is zero, too: the answer that brings it back is
        wanted at once.
        """
        if (
            self.lost_at is not None
            or self.returned_at is None
            or not self.is_uncertain
        ):
            return timedelta(0)
        return self.returned_at + self.grace - self.clock.monotonic()

    def expires_rows_by(self, end: timedelta) -> bool:
        """Whether the outage, up to an instant, was long enough to expire rows."""
        if self.outage_started_at is None:
            return True
        return end - self.outage_started_at >= self.min_outage

    def record_failure(self) -> bool:
        """Note a call without an answer; return whether the store is lost by it."""
        if self.lost_at is not None:
            return False
        self.lost_at = self.clock.monotonic()
        # Guard: a store that comes back for a moment, again and again, is no use
        # to endpoints that report seldom: their rows expire though no single
        # outage was long. One that follows soon goes on with the one before.
        if self.returned_at is None or not self.in_return_grace():
            self.outage_started_at = self.answered_at
        return True

    def in_return_grace(self) -> bool:
        """Whether the store returned only a short time ago."""
        assert self.returned_at is not None
        return self.clock.monotonic() < self.returned_at + self.grace

    def record_peer_answer(self, told_at: timedelta) -> None:
        """Note that a peer had an answer, while the store is not lost here."""
        self.answered_at = max(told_at, self.answered_at or told_at)
        self.last_answer_from_peer = True

    def record_answer(self) -> timedelta | None:
        """Note an answer; return how long the store was lost if it is regained.

        Guard: one who follows by peers' updates asks the store only when they grow old.
        That call may wait out an outage and be answered at its end, with removals of
        rows that expired in it. Taken for sure, those endpoints would be lost, so a
        silence that no usual answer takes counts as an outage.
        """
        now = self.clock.monotonic()
        if (
            self.last_answer_from_peer
            and now - (self.answered_at or now) > MAX_ANSWER_GAP
        ):
            self.record_failure()
        self.last_answer_from_peer = False
        self.answered_at = now
        if self.lost_at is None:
            return None
        lasted = now - self.lost_at
        self.lost_at = None
        self.returned_at = now
        return lasted


class VersionWatermark:
    """The highest version that anyone has told of; all rows share one counter."""

    def __init__(self) -> None:
        self.version = 0

    def observe(self, version: int) -> None:
        """Note a version that was told."""
        self.version = max(self.version, version)

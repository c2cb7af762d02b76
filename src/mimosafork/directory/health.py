"""Availability of the store for one table, as seen by this instance."""

from datetime import timedelta

from ..clock import Clock
from .row_version import NO_VERSION, RowVersion

MAX_ANSWER_GAP = timedelta(milliseconds=2700)
"""Maximum time between two answers of a healthy store: the long poll timeout, the time
to detect a stalled connection, and the delay before the call."""


class StoreHealth:
    """Outages of the store for one table, as seen by this instance.

    Rows expire wrongly only in a longer outage, as an endpoint must have missed several
    reports. A single stalled connection is detected and replaced sooner, and does not
    make a removal uncertain.

    Parameters
    ----------
    clock : Clock
        Its monotonic scale is used.
    grace : timedelta
        How long missing entries stay uncertain after the store has returned.
    min_outage : timedelta
        Shortest time without an answer in which rows may have expired wrongly.

    Attributes
    ----------
    lost_at : timedelta or None
        Monotonic instant of the first failed call, while the store is unavailable.
    outage_started_at : timedelta or None
        Instant of the last answer before the current or the latest outage; None before
        the first answer and without an outage.
    returned_at : timedelta or None
        Instant of the first answer after the last outage.
    last_answer_from_peer : bool
        The last answer came from a peer.
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
        """Time until missing entries are certain; zero if they are.

        It is zero while the store is unavailable as well, so that polls do not wait and
        its return is detected immediately.
        """
        if (
            self.lost_at is not None
            or self.returned_at is None
            or not self.is_uncertain
        ):
            return timedelta(0)
        return self.returned_at + self.grace - self.clock.monotonic()

    def expires_rows_by(self, end: timedelta) -> bool:
        """Whether the outage had lasted long enough at an instant to expire rows."""
        if self.outage_started_at is None:
            return True
        return end - self.outage_started_at >= self.min_outage

    def record_failure(self) -> bool:
        """Record a failed call; return whether it starts an outage."""
        if self.lost_at is not None:
            return False
        self.lost_at = self.clock.monotonic()
        # Guard: if the store returns only briefly, again and again, endpoints that
        # report rarely miss it, and their rows expire although no single outage was
        # long. An outage soon after another therefore continues it.
        if self.returned_at is None or not self.in_return_grace():
            self.outage_started_at = self.answered_at
        return True

    def in_return_grace(self) -> bool:
        """Whether the store returned only a short time ago."""
        assert self.returned_at is not None
        return self.clock.monotonic() < self.returned_at + self.grace

    def record_restore(self) -> None:
        """Record that the store, which has just answered, was restored from a copy.

        Entries written since the copy are missing until they are written again.
        """
        self.outage_started_at = None
        self.returned_at = self.clock.monotonic()

    def record_peer_answer(self, answered_at: timedelta) -> None:
        """Record that a peer had an answer, while the store is available here."""
        self.answered_at = max(answered_at, self.answered_at or answered_at)
        self.last_answer_from_peer = True

    def record_answer(self) -> timedelta | None:
        """Record an answer; return the length of the outage if it ends one.

        Guard: a follower that relies on peers' updates calls the store only when they
        expire. That call may last through an outage and return the removals of rows
        that expired in it. Taken as confirmed, they would remove running endpoints, so
        a gap longer than `MAX_ANSWER_GAP` counts as an outage.
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
        outage_duration = now - self.lost_at
        self.lost_at = None
        self.returned_at = now
        return outage_duration


class VersionWatermark:
    """The highest version seen from any source."""

    def __init__(self) -> None:
        self.version = NO_VERSION

    def observe(self, version: RowVersion) -> None:
        """Record a version."""
        self.version = max(self.version, version)

"""Clock interface and implementations.

Monotonic instants are `datetime.timedelta` values since an arbitrary origin that
is fixed for one process; wall time is an aware `datetime.datetime` in UTC.
Deadlines and leases are kept on the monotonic scale only.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for code that makes time-based decisions."""

    def monotonic(self) -> timedelta:
        """Return the time since this clock's origin; it never decreases."""
        ...

    def now(self) -> datetime:
        """Return wall time in UTC, for people and audit rows only."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> timedelta:
        """Return the time since the operating system's origin."""
        return timedelta(seconds=time.monotonic())

    def now(self) -> datetime:
        """Return wall time in UTC."""
        return datetime.now(UTC)


class ManualClock:
    """Clock that moves only when advanced, for tests and virtual time.

    Parameters
    ----------
    start : timedelta, default=0
        First monotonic instant.
    epoch : datetime, default=2026-01-01 UTC
        Wall time at monotonic zero.
    """

    def __init__(
        self,
        start: timedelta = timedelta(0),
        epoch: datetime = datetime(2026, 1, 1, tzinfo=UTC),
    ) -> None:
        self.instant = start
        self.epoch = epoch

    def monotonic(self) -> timedelta:
        """Return the current manual instant."""
        return self.instant

    def now(self) -> datetime:
        """Return the wall time that corresponds to the current instant."""
        return self.epoch + self.instant

    def advance(self, step: timedelta) -> None:
        """Move forward by `step`, which must not be negative."""
        if step < timedelta(0):
            raise ValueError(f"a clock can't go back by {step}")
        self.instant += step

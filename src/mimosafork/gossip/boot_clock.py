"""Time since the machine's start, the time that it was suspended included."""

import time
from datetime import UTC, datetime, timedelta


class BootClock:
    """A monotonic clock that goes on while the machine is suspended.

    The ordinary steady clock may stand still meanwhile: an instance that wakes would
    take its peers' old datagrams for fresh ones, and pass its own old news on as
    fresh. This one jumps instead, and the exchange sees that.
    """

    def monotonic(self) -> timedelta:
        """Return the time since the machine's start."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def now(self) -> datetime:
        """Return wall time in UTC."""
        return datetime.now(UTC)

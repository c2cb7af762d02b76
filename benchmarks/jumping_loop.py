"""An asyncio loop in virtual time: it jumps to its next timer in place of waiting."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class JumpingSelector(selectors.SelectSelector):
    """Looks whether a socket is ready, and lets virtual time pass if none is.

    Attributes
    ----------
    now_s : float
        Virtual instant in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return at once; what was to be waited for has passed."""
        if timeout:
            self.now_s += timeout
        return []


READING = timedelta(microseconds=1)
"""Two readings of a real clock are never the same."""


class JumpingLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order; is a `Clock` too, of which each reading is later."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        self.readings = 0
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual instant in seconds."""
        return self.jumping.now_s

    def monotonic(self) -> timedelta:
        """Return the virtual instant."""
        self.readings += 1
        return timedelta(seconds=self.jumping.now_s) + self.readings * READING

    def now(self) -> datetime:
        """Return the wall time that belongs to it."""
        return EPOCH + self.monotonic()

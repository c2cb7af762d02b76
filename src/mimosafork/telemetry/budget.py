"""A budget of log lines, so that a flood of calls is no flood of lines."""

import threading
from collections import Counter
from datetime import timedelta

import msgspec

from ..clock import Clock
from .events import Importance

SAID_EVERY = timedelta(seconds=1)
"""How often it is said what was left out."""

KEPT_BACK = {Importance.SERVED: 0.5, Importance.CALL: 0.15, Importance.BELIEF: 0.0}
"""Share of the burst that lines of less importance leave to those of more: in a flood
served calls go first, then failures and refusals, and changes of belief last."""


class LeftOut(msgspec.Struct, frozen=True):
    """Lines that were left out in a time.

    Attributes
    ----------
    counts : Counter
        By importance.
    lasted : timedelta
        Since the first of them.
    """

    counts: Counter[Importance]
    lasted: timedelta


class LineBudget:
    """Lines a second on average, with a burst; safe for threads.

    Parameters
    ----------
    clock : Clock
    rate : float
        Lines a second.
    burst : float
        Lines that may come at once after a quiet time.

    Attributes
    ----------
    total : int
        Lines left out since the start.
    """

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self.clock = clock
        self.rate = rate
        self.burst = burst
        self.room = burst
        self.filled_at = clock.monotonic()
        self.first_left_out: timedelta | None = None
        self.counts: Counter[Importance] = Counter()
        self.total = 0
        self.lock = threading.Lock()

    def admits(self, importance: Importance) -> bool:
        """Return whether a line is written; count it if it is left out."""
        with self.lock:
            now = self.clock.monotonic()
            gained = (now - self.filled_at).total_seconds() * self.rate
            self.room = min(self.burst, self.room + max(0.0, gained))
            self.filled_at = now
            if self.room - 1 >= KEPT_BACK[importance] * self.burst:
                self.room -= 1
                return True
            self.counts[importance] += 1
            self.total += 1
            if self.first_left_out is None:
                self.first_left_out = now
            return False

    def due_in(self) -> timedelta | None:
        """Return when to say what was left out; None if nothing was."""
        with self.lock:
            if self.first_left_out is None:
                return None
            due = self.first_left_out + SAID_EVERY - self.clock.monotonic()
            return max(timedelta(0), due)

    def take(self) -> LeftOut | None:
        """Return what was left out since it was said last, and begin anew."""
        with self.lock:
            first, self.first_left_out = self.first_left_out, None
            if first is None:
                return None
            counts, self.counts = self.counts, Counter()
            return LeftOut(counts, self.clock.monotonic() - first)

"""An event loop in virtual time."""

import heapq
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from itertools import count
from typing import Any

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class EventLoop:
    """Runs callbacks in the order of their virtual instants; is a `Clock` too.

    Attributes
    ----------
    now_s : float
        Virtual instant in seconds.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.tie_breaker = count()

    def at(self, instant_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Call back at an instant, or now if that has passed."""
        due = max(instant_s, self.now_s)
        heapq.heappush(self.events, (due, next(self.tie_breaker), callback, args))

    def after(self, pause_s: float, callback: Callable[..., None], *args: Any) -> None:
        """Call back after a pause."""
        self.at(self.now_s + pause_s, callback, *args)

    def run(self, until_s: float) -> None:
        """Run all events up to an instant."""
        events = self.events
        while events and events[0][0] <= until_s:
            self.now_s, _, callback, args = heapq.heappop(events)
            callback(*args)
        self.now_s = until_s

    def monotonic(self) -> timedelta:
        """Return the virtual instant."""
        return timedelta(seconds=self.now_s)

    def now(self) -> datetime:
        """Return the wall time that belongs to it."""
        return EPOCH + self.monotonic()

"""Things that come due at an instant, in virtual or in real time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class Timers:
    """Callbacks by their instants; they can't be taken back, only ignored."""

    def __init__(self) -> None:
        self.entries: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()

    def add(self, due_s: float, callback: Callable[[float], None]) -> None:
        """Call back with the time once it is `due_s` or later."""
        heappush(self.entries, (due_s, next(self._order), callback))

    def advance(self, now_s: float) -> None:
        """Call back all that are due."""
        while self.entries and self.entries[0][0] <= now_s:
            heappop(self.entries)[2](now_s)

    def next_due_s(self) -> float | None:
        """Return the next instant, None if there is none."""
        return self.entries[0][0] if self.entries else None

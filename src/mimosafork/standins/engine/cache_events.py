"""Cache events as the engine publishes them: late, and with gaps."""

from bisect import bisect_right
from collections import deque

from .messages import CacheEvent, CacheEventKind

MAX_EVENTS = 20_000


class CacheEventLog:
    """Events of the prefix cache.

    Parameters
    ----------
    lag_s : float
        Seconds until an event can be read.
    gap_every : int
        Every so many events one is lost; 0: none is.
    """

    def __init__(self, lag_s: float, gap_every: int) -> None:
        self.lag_s = lag_s
        self.gap_every = gap_every
        self.sequence = 0
        self.now_s = 0.0
        self._visible_from: deque[float] = deque(maxlen=MAX_EVENTS)
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)

    def publish(self, kind: CacheEventKind, mark: str, tokens: int) -> None:
        """Add an event, at the time of `now_s`."""
        self.sequence += 1
        self._visible_from.append(self.now_s + self.lag_s)
        self._events.append(CacheEvent(self.sequence, kind, mark, tokens))

    def newest(self, now_s: float) -> int:
        """Return the sequence of the newest event that can be read."""
        visible = bisect_right(self._visible_from, now_s)
        return self._events[visible - 1].sequence if visible else 0

    def read(self, after: int, now_s: float) -> list[CacheEvent]:
        """List the events after a sequence that can be read, without the lost."""
        newest = self.newest(now_s)
        return [
            event
            for event in self._events
            if after < event.sequence <= newest and not self._is_lost(event)
        ]

    def _is_lost(self, event: CacheEvent) -> bool:
        return self.gap_every > 0 and event.sequence % self.gap_every == 0

"""Measures how fast queued requests leave this instance, by lane."""

from collections import deque
from dataclasses import dataclass, field

WINDOW_S = 30.0
"""Averaging window: long enough for a few long prompts."""


@dataclass(slots=True)
class DrainRate:
    """Prompt tokens per second that one lane has dispatched recently."""

    sent: deque[tuple[float, int]] = field(default_factory=deque)
    tokens: int = 0

    def note(self, now_s: float, tokens: int) -> None:
        """Record a dispatch."""
        self.sent.append((now_s, tokens))
        self.tokens += tokens
        self._forget(now_s)

    def rate(self, now_s: float) -> float:
        """Return the tokens per second over the window."""
        self._forget(now_s)
        return self.tokens / WINDOW_S

    def _forget(self, now_s: float) -> None:
        while self.sent and self.sent[0][0] < now_s - WINDOW_S:
            self.tokens -= self.sent.popleft()[1]

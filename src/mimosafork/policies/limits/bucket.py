"""A token bucket that can be resized while in use, and a meter of demand."""

from math import exp

FULL_TOLERANCE = 1e-6
"""Relative tolerance for floating-point error when testing whether a bucket is full."""

DEMAND_WINDOW_S = 10.0
"""Time constant of the moving average of demand."""


class AccountBucket:
    """Token bucket of one account at one instance.

    A request may overdraw a full bucket: one that is larger than the bucket would
    otherwise never be accepted. Refill pays the debt before the next request is
    accepted.

    Attributes
    ----------
    size, rate : float
        This instance's part of the account's burst and of its tokens per second.
    level : float
        Negative while the bucket is overdrawn.
    """

    def __init__(self, size: float, rate: float, now_s: float) -> None:
        self.size = size
        self.rate = rate
        self.level = size
        self.at_s = now_s

    @property
    def is_full(self) -> bool:
        """Whether the bucket is full, up to rounding."""
        return self.level >= self.size * (1 - FULL_TOLERANCE)

    def refill(self, now_s: float) -> None:
        """Add the tokens earned at the current rate since the last refill."""
        earned = (now_s - self.at_s) * self.rate
        self.level = min(self.size, self.level + earned)
        self.at_s = now_s

    def resize(self, size: float, rate: float, now_s: float) -> None:
        """Change the part of the limit that this bucket has from now on.

        A larger bucket is not filled at once: tokens that another instance has already
        granted from that part would be granted twice.
        """
        self.refill(now_s)
        self.size = size
        self.rate = rate
        self.level = min(size, self.level)

    def take(self, tokens: float, now_s: float) -> bool:
        """Take tokens if enough are available or the bucket is full."""
        self.refill(now_s)
        if self.level < tokens and not self.is_full:
            return False
        self.level -= tokens
        return True

    def refund(self, tokens: float, now_s: float) -> None:
        """Return unused tokens; negative if more than charged were used."""
        self.refill(now_s)
        self.level = min(self.size, self.level + tokens)

    def wait_s(self, tokens: float) -> float:
        """Return the time until enough tokens are available or the bucket is full."""
        return max(0.0, min(tokens, self.size) - self.level) / self.rate


class DemandMeter:
    """Recently requested tokens per second, granted or not."""

    def __init__(self) -> None:
        self.sum = 0.0
        self.at_s = 0.0

    def note(self, tokens: float, now_s: float) -> None:
        """Record a request."""
        self.sum = self.rate(now_s) * DEMAND_WINDOW_S + tokens
        self.at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return the tokens per second."""
        decayed = exp((self.at_s - now_s) / DEMAND_WINDOW_S)
        return self.sum * decayed / DEMAND_WINDOW_S

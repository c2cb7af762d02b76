"""A token bucket that may be moved while it is used, and a meter of demand."""

from math import exp

FULL_TOLERANCE = 1e-6
"""Part of a bucket's size by which a full one may fall short of it in floats."""

DEMAND_WINDOW_S = 10.0
"""Time over which demand is averaged."""


class AccountBucket:
    """Tokens that one instance may let an account take.

    Whoever finds it full may take more than it holds: a request larger than the
    bucket would otherwise be refused for ever. The debt is paid by refill before
    the next request gets through.

    Attributes
    ----------
    size, rate : float
        This instance's part of the account's burst and of its tokens a second.
    level : float
        Below zero while a debt is paid.
    """

    def __init__(self, size: float, rate: float, now_s: float) -> None:
        self.size = size
        self.rate = rate
        self.level = size
        self.at_s = now_s

    @property
    def is_full(self) -> bool:
        """Whether nothing is missing."""
        return self.level >= self.size * (1 - FULL_TOLERANCE)

    def refill(self, now_s: float) -> None:
        """Add what has come in at the rate in force so far."""
        came = (now_s - self.at_s) * self.rate
        self.level = min(self.size, self.level + came)
        self.at_s = now_s

    def resize(self, size: float, rate: float, now_s: float) -> None:
        """Take over another part of the limit from now on.

        A larger bucket is not filled at once: what another instance has taken from
        the part that moved would be given out twice.
        """
        self.refill(now_s)
        self.size = size
        self.rate = rate
        self.level = min(size, self.level)

    def take(self, tokens: float, now_s: float) -> bool:
        """Take tokens if they are there or the bucket is full."""
        self.refill(now_s)
        if self.level < tokens and not self.is_full:
            return False
        self.level -= tokens
        return True

    def refund(self, tokens: float, now_s: float) -> None:
        """Return tokens that were not used; negative if more were."""
        self.refill(now_s)
        self.level = min(self.size, self.level + tokens)

    def wait_s(self, tokens: float) -> float:
        """Return when as many tokens will be there, or the bucket full."""
        return max(0.0, min(tokens, self.size) - self.level) / self.rate


class DemandMeter:
    """Tokens a second that were asked for of late, let through or not."""

    def __init__(self) -> None:
        self.sum = 0.0
        self.at_s = 0.0

    def note(self, tokens: float, now_s: float) -> None:
        """Note a request."""
        self.sum = self.rate(now_s) * DEMAND_WINDOW_S + tokens
        self.at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return tokens a second."""
        faded = exp((self.at_s - now_s) / DEMAND_WINDOW_S)
        return self.sum * faded / DEMAND_WINDOW_S

"""A bound on calls a second."""


class RateLimit:
    """A token bucket that holds one second's worth, and at least one call.

    Parameters
    ----------
    per_s : float
        Calls a second; 0: no limit.
    """

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.most = max(per_s, 1.0)
        self.left = self.most
        self.at_s = 0.0

    def take(self, now_s: float) -> bool:
        """Say whether one more call fits, and count it if so."""
        if self.per_s == 0:
            return True
        filled = self.left + (now_s - self.at_s) * self.per_s
        self.left = min(filled, self.most)
        self.at_s = now_s
        if self.left < 1:
            return False
        self.left -= 1
        return True

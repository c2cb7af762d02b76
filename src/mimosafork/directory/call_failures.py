"""Summary of the failed calls of one outage of the store."""

from datetime import timedelta

import msgspec


class CallFailures(msgspec.Struct):
    """Consecutive failed calls about one table.

    The return of the store may be detected late for three reasons: a few calls that
    each took long, calls that were refused, or calls that were never sent.

    Attributes
    ----------
    count : int
        Number of failed calls.
    longest : timedelta
        Duration of the longest one.
    last_reason : str
        Reason of the last failure; empty if there was none.
    """

    count: int = 0
    longest: timedelta = timedelta(0)
    last_reason: str = ""

    def add(self, reason: str, took: timedelta) -> None:
        """Add a failed call."""
        self.count += 1
        self.longest = max(self.longest, took)
        self.last_reason = reason

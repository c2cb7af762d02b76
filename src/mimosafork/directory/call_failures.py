"""What the calls of one outage of the store had in common."""

from datetime import timedelta

import msgspec


class CallFailures(msgspec.Struct):
    """Calls about one table that failed in a row.

    A return of the store that is noticed late has one of three reasons: few calls that
    each waited long, calls that were refused, or calls that were never sent.

    Attributes
    ----------
    count : int
        Failed calls.
    longest : timedelta
        How long the longest of them took.
    last_reason : str
        Why the last one failed; empty without any.
    """

    count: int = 0
    longest: timedelta = timedelta(0)
    last_reason: str = ""

    def add(self, reason: str, took: timedelta) -> None:
        """Count a call that failed."""
        self.count += 1
        self.longest = max(self.longest, took)
        self.last_reason = reason

"""Rates of events, and the delay of peers' reports."""

from datetime import timedelta
from math import exp

RATE_SPAN_S = 1.0
SECOND = timedelta(seconds=1)
DELAY_WEIGHT = 1 / 32
"""Weight of the latest report in the mean delay; under high load there are some tens of
reports a second."""
MAX_DELAY_S = 1.0
"""Limit of one delay, as a report that was lost and resent says little about others."""


class DecayingRate:
    """Rate of events, such as request starts over all instances.

    The weight of each event decays exponentially over `RATE_SPAN_S`.
    """

    def __init__(self) -> None:
        self.level = 0.0
        self.at = timedelta(0)

    def record(self, started_at: timedelta) -> None:
        """Count an event; one that is reported out of order counts as of the latest."""
        now = max(started_at, self.at)
        self.level = self.level * self.decay_factor(now) + 1.0
        self.at = now

    def per_s(self, now: timedelta) -> float:
        """Return events per second."""
        return self.level * self.decay_factor(now) / RATE_SPAN_S

    def decay_factor(self, now: timedelta) -> float:
        """Return the share of the level that is left at a given time."""
        return exp(-max(0.0, (now - self.at) / SECOND) / RATE_SPAN_S)


class ReportDelay:
    """Moving average of the age of requests when peers first report them."""

    def __init__(self) -> None:
        self.mean_s = 0.0

    def record(self, delay: timedelta) -> None:
        """Add the age of a request at its first report."""
        delay_s = min(MAX_DELAY_S, delay / SECOND)
        self.mean_s += DELAY_WEIGHT * (delay_s - self.mean_s)

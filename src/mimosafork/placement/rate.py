"""How often works begin, and how late their words come."""

from datetime import timedelta
from math import exp

RATE_SPAN_S = 1.0
SECOND = timedelta(seconds=1)
DELAY_WEIGHT = 1 / 32
"""Share of the newest word in the mean age; a flood brings some tens a second."""
MAX_DELAY_S = 1.0
"""A word that was lost, and told again, says no more than that about the others."""


class DecayingRate:
    """How often works begin, over all instances.

    Each counts less the longer ago it began, by the exponential of `RATE_SPAN_S`.
    """

    def __init__(self) -> None:
        self.level = 0.0
        self.at = timedelta(0)

    def record(self, began_at: timedelta) -> None:
        """Count a work; those that are heard out of order count as of the latest."""
        now = max(began_at, self.at)
        self.level = self.level * self.decay_factor(now) + 1.0
        self.at = now

    def per_s(self, now: timedelta) -> float:
        """Return works begun a second."""
        return self.level * self.decay_factor(now) / RATE_SPAN_S

    def decay_factor(self, now: timedelta) -> float:
        """Return what is left of the level at an instant."""
        return exp(-max(0.0, (now - self.at) / SECOND) / RATE_SPAN_S)


class ReportDelay:
    """How old works are when their first word comes, over the latest of them."""

    def __init__(self) -> None:
        self.mean_s = 0.0

    def record(self, age: timedelta) -> None:
        """Take in the age of a work that is heard of for the first time."""
        age_s = min(MAX_DELAY_S, age / SECOND)
        self.mean_s += DELAY_WEIGHT * (age_s - self.mean_s)

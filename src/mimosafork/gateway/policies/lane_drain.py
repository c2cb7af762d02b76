"""How fast the waiting calls of a lane are placed, as observed."""

from datetime import timedelta
from math import exp

from ...kernel.core import TICK

SECOND = timedelta(seconds=1)
DRAIN_SPAN_S = 5.0
"""Work counts by a factor of e less after so much time in which calls waited."""

MAX_GAP = 3 * TICK
"""While calls wait, the lane is looked at each tick. After a longer gap nothing waited
in between, or the process was frozen."""

MIN_PLACEMENTS = 4.0
"""Placements from which the observed rate is used, however short the time was."""


class LaneDrain:
    """Rate at which the work that waits in a lane is placed.

    Only time counts in which calls waited: an idle lane says nothing about capacity.

    Attributes
    ----------
    queued, calls : float, int
        Work and number of the calls that waited when the lane was last looked at.
    """

    def __init__(self) -> None:
        self.work = 0.0
        self.placements = 0.0
        self.span_s = 0.0
        self.at: timedelta | None = None
        self.queued = 0.0
        self.calls = 0

    def observe(self, queued: float, calls: int, now: timedelta) -> None:
        """Note that calls wait now, and their work."""
        self.queued, self.calls = queued, calls
        gap = timedelta.max if self.at is None else now - self.at
        self.at = now
        if gap > MAX_GAP:
            if gap / SECOND > DRAIN_SPAN_S:
                self.work = self.placements = self.span_s = 0.0
            return
        factor = exp(-(gap / SECOND) / DRAIN_SPAN_S)
        self.work *= factor
        self.placements *= factor
        self.span_s = self.span_s * factor + DRAIN_SPAN_S * (1.0 - factor)

    def place(self, work: float, now: timedelta) -> None:
        """Note that work was placed; it counts if calls were waiting."""
        if self.at is not None and now - self.at <= MAX_GAP:
            self.work += work
            self.placements += 1.0

    def wait_s(self, ahead: float, calls: int, allowed_s: float) -> float:
        """Return the predicted wait behind other calls, low rather than high.

        One more call than was placed is counted, so that a lane in which nothing was
        placed yet is not taken for blocked.

        Parameters
        ----------
        ahead : float
            Work of the calls that go before.
        calls : int
            Number of them.
        allowed_s : float
            How long the call may wait. Until the lane was observed for as long, or
            some calls were placed, the wait is not predicted: it is 0.
        """
        if not calls or self.span_s <= 0.0:
            return 0.0
        if self.placements < MIN_PLACEMENTS and self.span_s < allowed_s:
            return 0.0
        return ahead * self.span_s / (self.work + ahead / calls)

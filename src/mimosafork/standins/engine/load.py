"""Load reports that are as old as the engine's lag wants them."""

from collections import deque
from dataclasses import dataclass, replace

from .messages import LoadReport


@dataclass(frozen=True, slots=True)
class Sample:
    """A report and when it was true."""

    at_s: float
    report: LoadReport


class LoadReports:
    """Samples of the load, kept until they are older than the lag.

    Parameters
    ----------
    lag_s : float
        Least age in seconds of what is read.
    """

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self.samples: deque[Sample] = deque()

    def add(self, report: LoadReport, now_s: float) -> None:
        """Keep a report that is true now."""
        self.samples.append(Sample(now_s, report))
        while len(self.samples) > 1 and self.samples[1].at_s <= now_s - self.lag_s:
            self.samples.popleft()

    def read(self, now_s: float) -> LoadReport:
        """Return the newest report that is old enough, or else the oldest."""
        chosen = self.samples[0]
        for sample in self.samples:
            if sample.at_s > now_s - self.lag_s:
                break
            chosen = sample
        return replace(chosen.report, lag_s=round(now_s - chosen.at_s, 3))

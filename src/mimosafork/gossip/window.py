"""How much counters have grown within a sliding window."""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from ..ids import ServiceId
from .kinds.spending import Spent


class Sample(NamedTuple):
    """A counter's value at an instant."""

    at: timedelta
    spent: Spent


class Meter(NamedTuple):
    """Counters of one life of one instance for one service."""

    boot: int
    service: ServiceId


class SpendingWindow:
    """Counters of all instances over a span of time.

    Lives of an instance are kept apart, so that counters that begin anew take
    nothing back.

    Parameters
    ----------
    span : timedelta
        Length of the window.
    """

    def __init__(self, span: timedelta) -> None:
        self.span = span
        self.samples: dict[Meter, deque[Sample]] = {}

    def note(self, meter: Meter, at: timedelta, spent: Spent) -> None:
        """Note newer counters as of an instant.

        A datagram that was quicker than the one before seems to be older by some
        milliseconds. It counts as of the same instant: were it passed over and the
        last one of its peer, the sum would stay too low for good.
        """
        kept = self.samples.setdefault(meter, deque())
        if kept:
            at = max(at, kept[-1].at)
        kept.append(Sample(at, spent))
        self.prune(kept, at)

    def grown(self, service: ServiceId, now: timedelta) -> Spent:
        """Return the sum, over all instances, of the growth within the window.

        A peer's first sample is where its growth begins: what it had spent before
        can't be placed in time.
        """
        requests = repeats = 0
        for meter, kept in self.samples.items():
            self.prune(kept, now)
            if meter.service == service and kept:
                requests += kept[-1].spent.requests - kept[0].spent.requests
                repeats += kept[-1].spent.repeats - kept[0].spent.repeats
        return Spent(requests, repeats)

    def prune(self, kept: deque[Sample], now: timedelta) -> None:
        """Keep one sample from before the window, and what lies in it."""
        while len(kept) > 1 and now - kept[1].at >= self.span:
            kept.popleft()

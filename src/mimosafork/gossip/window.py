"""How much counters have grown within a sliding window."""

from collections import deque
from collections.abc import Container
from datetime import timedelta
from typing import NamedTuple

from ..ids import ServiceId
from .kinds.spending import Spent
from .members import TAG_MASK

ABSENT_KEPT = 1000
"""Meters of absent lives that may come back; 9 instances need a handful."""

REPEATS_LAG = timedelta(milliseconds=600)
"""A repeat is counted before it is sent, and reaches its endpoint up to so much later:
a connection may have to be opened for it."""


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
    lag : timedelta, optional
        Repeats count for so much longer. One that was counted just before the
        window may arrive within it, and would not be counted in any that it is in.

    Attributes
    ----------
    samples, repeats : dict
        The counters of each life; `repeats` has only those whose repeats had grown.
    """

    def __init__(self, span: timedelta, lag: timedelta = timedelta(0)) -> None:
        self.span = span
        self.lag = lag
        self.samples: dict[Meter, deque[Sample]] = {}
        self.repeats: dict[Meter, deque[Sample]] = {}

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
        self.prune(kept, at, self.span)
        repeats = self.repeats.setdefault(meter, deque())
        if not repeats or repeats[-1].spent.repeats != spent.repeats:
            repeats.append(Sample(at, spent))
        self.prune(repeats, at, self.span + self.lag)

    def grown(self, service: ServiceId, now: timedelta) -> Spent:
        """Return the sum, over all instances, of the growth within the window.

        A peer's first sample is where its growth begins: what it had spent before
        can't be placed in time.
        """
        requests = repeats = 0
        for meter, kept in self.samples.items():
            if meter.service != service:
                continue
            self.prune(kept, now, self.span)
            requests += kept[-1].spent.requests - kept[0].spent.requests
            longer = self.repeats[meter]
            self.prune(longer, now, self.span + self.lag)
            repeats += longer[-1].spent.repeats - longer[0].spent.repeats
        return Spent(requests, repeats)

    def prune(self, kept: deque[Sample], now: timedelta, span: timedelta) -> None:
        """Keep one sample from before a span, and what lies in it."""
        while len(kept) > 1 and now - kept[1].at >= span:
            kept.popleft()

    def forget(
        self, present: Container[int], over: Container[int], now: timedelta
    ) -> None:
        """Forget lives that are gone, once they have no growth within the window.

        A life that is over is never heard again, so nothing is lost. One that is only
        absent may come back with more repeats than before; without its meter they
        would not count. So of these the last ones stay, and the first to go are those
        whose counters were the longest unchanged.

        Parameters
        ----------
        present : container of int
            Boot numbers of the lives that are known.
        over : container of int
            Tags of those that others have replaced.
        """
        absent: list[Meter] = []
        for meter, kept in list(self.samples.items()):
            still_counts = now - kept[-1].at < self.span + self.lag
            if meter.boot in present or still_counts:
                continue
            self.prune(kept, now, self.span)
            self.prune(self.repeats[meter], now, self.span + self.lag)
            if meter.boot & TAG_MASK in over:
                self.drop(meter)
            else:
                absent.append(meter)
        absent.sort(key=lambda meter: self.samples[meter][-1].at)
        for meter in absent[: max(len(absent) - ABSENT_KEPT, 0)]:
            self.drop(meter)

    def drop(self, meter: Meter) -> None:
        """Forget the counters of a life."""
        del self.samples[meter]
        del self.repeats[meter]

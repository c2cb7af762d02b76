"""Until when promised reading explains that an engine is silent."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from ..ids import EndpointId
from .work import Work, read_of

OVERRUN = 0.3
"""Share by which reading may take longer than predicted: the steps of writers and a
slow engine's pace are not in the prediction."""


class ReadingSpan(msgspec.Struct, frozen=True):
    """A time through which an engine reads without a pause.

    Attributes
    ----------
    start_ms, end_ms : float
        Monotonic milliseconds, by the predicted lengths of the reads.
    """

    start_ms: float
    end_ms: float

    @property
    def latest_end_ms(self) -> float:
        """The end if all of it takes longer than predicted."""
        return self.end_ms + OVERRUN * (self.end_ms - self.start_ms)


def reading_span(endpoint: EndpointId, works: Iterable[Work]) -> ReadingSpan | None:
    """Return the last span of an engine's promised reading; None without any."""
    reads = sorted(
        read_of(work, endpoint) for work in works if work.first_token_at is None
    )
    span: ReadingSpan | None = None
    for read in reads:
        if span is None or read.start_ms > span.latest_end_ms:
            span = ReadingSpan(read.start_ms, read.start_ms + read.length_ms)
        else:
            span = ReadingSpan(span.start_ms, span.end_ms + read.length_ms)
    return span


def explained_for(
    endpoint: EndpointId, works: Iterable[Work], now: timedelta
) -> timedelta:
    """Return for how long yet an engine's reading explains its silence."""
    span = reading_span(endpoint, works)
    if span is None:
        return timedelta(0)
    left_ms = span.latest_end_ms - now.total_seconds() * 1e3
    return timedelta(milliseconds=max(0.0, left_ms))

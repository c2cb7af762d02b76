"""Until when promised reading explains that an engine is silent."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from ..ids import EndpointId
from .load_tracker import InFlightRequest, prefill_of

OVERRUN_SHARE = 0.3
"""Share by which reading may take longer than predicted: the steps of writers and a
slow engine's pace are not in the prediction."""


class PrefillSpan(msgspec.Struct, frozen=True):
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
        return self.end_ms + OVERRUN_SHARE * (self.end_ms - self.start_ms)


def prefill_span(
    endpoint: EndpointId, works: Iterable[InFlightRequest]
) -> PrefillSpan | None:
    """Return the last span of an engine's promised reading; None without any."""
    reads = sorted(
        prefill_of(work, endpoint) for work in works if work.first_token_at is None
    )
    span: PrefillSpan | None = None
    for read in reads:
        if span is None or read.start_ms > span.latest_end_ms:
            span = PrefillSpan(read.start_ms, read.start_ms + read.length_ms)
        else:
            span = PrefillSpan(span.start_ms, span.end_ms + read.length_ms)
    return span


def prefill_time_left(
    endpoint: EndpointId, works: Iterable[InFlightRequest], now: timedelta
) -> timedelta:
    """Return for how long yet an engine's reading explains its silence."""
    span = prefill_span(endpoint, works)
    if span is None:
        return timedelta(0)
    left_ms = span.latest_end_ms - now.total_seconds() * 1e3
    return timedelta(milliseconds=max(0.0, left_ms))

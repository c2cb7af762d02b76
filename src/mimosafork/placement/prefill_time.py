"""How long assigned prefill accounts for the silence of an engine."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from ..ids import EndpointId
from .load_tracker import InFlightRequest, prefill_of

OVERRUN_SHARE = 0.3
"""Share by which prefill may exceed its prediction, which includes the slowdown of the
engine but not the steps of decoding requests."""


class PrefillSpan(msgspec.Struct, frozen=True):
    """A time span in which an engine prefills without a break.

    Attributes
    ----------
    start_ms, end_ms : float
        Monotonic milliseconds, by the predicted prefill times.
    """

    start_ms: float
    end_ms: float

    @property
    def latest_end_ms(self) -> float:
        """The end if all of it takes longer than predicted."""
        return self.end_ms + OVERRUN_SHARE * (self.end_ms - self.start_ms)


def prefill_span(
    endpoint: EndpointId, requests: Iterable[InFlightRequest]
) -> PrefillSpan | None:
    """Return the last span of an engine's assigned prefill; None without any."""
    intervals = sorted(
        prefill_of(request, endpoint)
        for request in requests
        if request.first_token_at is None
    )
    span: PrefillSpan | None = None
    for interval in intervals:
        if span is None or interval.start_ms > span.latest_end_ms:
            span = PrefillSpan(
                interval.start_ms, interval.start_ms + interval.length_ms
            )
        else:
            span = PrefillSpan(span.start_ms, span.end_ms + interval.length_ms)
    return span


def prefill_time_left(
    endpoint: EndpointId, requests: Iterable[InFlightRequest], now: timedelta
) -> timedelta:
    """Return how much longer an engine's prefill accounts for its silence."""
    span = prefill_span(endpoint, requests)
    if span is None:
        return timedelta(0)
    left_ms = span.latest_end_ms - now.total_seconds() * 1e3
    return timedelta(milliseconds=max(0.0, left_ms))

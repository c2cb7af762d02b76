"""Which ends of prefills are published to peers."""

from ...placement.load_tracker import InFlightRequest

MIN_PUBLISHED_PREFILL_MS = 100.0
"""The end of a prefill is published to peers if a part takes an engine this long."""


def has_long_prefill(work: InFlightRequest) -> bool:
    """Return whether the end of a call's prefill is published to peers.

    For a short prompt peers rely on the predicted end, and its decoding lengthens a
    step by less than a millisecond. Omitting it saves one of three messages per call.
    """
    return any(part.prefill_ms >= MIN_PUBLISHED_PREFILL_MS for part in work.parts)

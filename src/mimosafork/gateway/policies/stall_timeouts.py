"""How long callers wait for the next event, and when a silence is worth a thought."""

from datetime import timedelta

from ...kernel.messages.dispatch import SilenceTimeouts
from ...kernel.messages.requests import CallTerms, Repeatability, Request

MIN_CALLER_TIMEOUT = timedelta(seconds=2)
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_PAUSES = 8
"""A stream's caller leaves after the longest of the time above, so many objectives
and so many of the longest pauses without an event."""

STREAM_STALL_SHARE = 0.45
"""Share of that time after which another endpoint is tried: it leaves as long for
the second answer to begin."""

CALL_STALL_OBJECTIVES = 2
"""A plain call is tried elsewhere after so many objectives."""

MIN_CALL_STALL_TIMEOUT = timedelta(milliseconds=200)


def stall_timeouts_for(request: Request) -> SilenceTimeouts | None:
    """Return how long an attempt of a request may be silent."""
    terms = request.terms
    if terms is None or request.repeatability is Repeatability.NON_IDEMPOTENT:
        return None
    if terms.streams:
        share = caller_timeout(terms) * STREAM_STALL_SHARE
        return SilenceTimeouts(share, share)
    objective = max(MIN_CALL_STALL_TIMEOUT, terms.objective * CALL_STALL_OBJECTIVES)
    return SilenceTimeouts(objective, objective)


def caller_timeout(terms: CallTerms) -> timedelta:
    """Return how long a stream's caller waits for the next event."""
    pause = terms.longest_pause or timedelta(0)
    return max(
        MIN_CALLER_TIMEOUT,
        terms.objective * CALLER_TIMEOUT_OBJECTIVES,
        pause * CALLER_TIMEOUT_PAUSES,
    )

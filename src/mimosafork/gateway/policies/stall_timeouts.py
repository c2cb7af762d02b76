"""Stall timeouts of attempts, derived from how long callers wait for an event."""

from datetime import timedelta

from ...kernel.messages.dispatch import SilenceTimeouts
from ...kernel.messages.requests import CallTerms, Repeatability, Request

MIN_CALLER_TIMEOUT = timedelta(seconds=2)
CALLER_TIMEOUT_OBJECTIVES = 4
CALLER_TIMEOUT_PAUSES = 8
"""The caller of a stream disconnects after the longest of the minimum above, this many
objectives and this many longest pauses without an event."""

STREAM_STALL_SHARE = 0.45
"""Share of the caller's timeout after which another endpoint is tried. Below one half,
so that the second answer has as much time to start."""

CALL_STALL_OBJECTIVES = 2
"""A plain call is retried elsewhere after this many objectives."""

MIN_CALL_STALL_TIMEOUT = timedelta(milliseconds=200)


def stall_timeouts_for(request: Request) -> SilenceTimeouts | None:
    """Return the stall timeouts of a request; None if it must not be retried."""
    terms = request.terms
    if terms is None or request.repeatability is Repeatability.NON_IDEMPOTENT:
        return None
    if terms.streams:
        share = caller_timeout(terms) * STREAM_STALL_SHARE
        return SilenceTimeouts(share, share)
    objective = max(MIN_CALL_STALL_TIMEOUT, terms.objective * CALL_STALL_OBJECTIVES)
    return SilenceTimeouts(objective, objective)


def caller_timeout(terms: CallTerms) -> timedelta:
    """Return how long the caller of a stream waits for the next event."""
    pause = terms.longest_pause or timedelta(0)
    return max(
        MIN_CALLER_TIMEOUT,
        terms.objective * CALLER_TIMEOUT_OBJECTIVES,
        pause * CALLER_TIMEOUT_PAUSES,
    )

"""How long callers wait for the next event, and when a silence is worth a thought."""

from datetime import timedelta

from ...kernel.messages.dispatch import SilenceTimeouts
from ...kernel.messages.requests import CallTerms, Repeatability, Request

SHORTEST_GIVE_UP = timedelta(seconds=2)
GIVE_UP_OBJECTIVES = 4
GIVE_UP_PAUSES = 8
"""A stream's caller leaves after the longest of the time above, so many objectives
and so many of the longest pauses without an event."""

STREAM_SHARE = 0.45
"""Share of that time after which another endpoint is tried: it leaves as long for
the second answer to begin."""

CALL_OBJECTIVES = 2
"""A plain call is tried elsewhere after so many objectives."""

SHORTEST_CALL = timedelta(milliseconds=200)


def patience_of(request: Request) -> SilenceTimeouts | None:
    """Return how long an attempt of a request may be silent."""
    terms = request.terms
    if terms is None or request.repeatability is Repeatability.NON_IDEMPOTENT:
        return None
    if terms.streams:
        share = longest_silence(terms) * STREAM_SHARE
        return SilenceTimeouts(share, share)
    objective = max(SHORTEST_CALL, terms.objective * CALL_OBJECTIVES)
    return SilenceTimeouts(objective, objective)


def longest_silence(terms: CallTerms) -> timedelta:
    """Return how long a stream's caller waits for the next event."""
    pause = terms.longest_pause or timedelta(0)
    return max(
        SHORTEST_GIVE_UP,
        terms.objective * GIVE_UP_OBJECTIVES,
        pause * GIVE_UP_PAUSES,
    )

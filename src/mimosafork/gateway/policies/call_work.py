"""Predicted work and least times of a waiting call."""

from datetime import timedelta

import msgspec

from ...kernel.records import RequestRecord
from ...placement.admission import COUNTED_ANSWER_SHARE
from ...placement.fair_share import engine_time_ms
from ...routing.engine import EngineFigures
from .placement_requests import MAX_WAIT_SHARE, expected_answer_tokens

OVERDUE_SHARE = 0.5
"""A call that has waited for this share of the time that it may wait is overdue."""

MAX_PREFILL_SHARE = 0.5
"""Largest share of the objective that a prefill is assumed to take: a longer one is
split over several engines."""

DEFAULT_PRIORITY = 5


class CallWork(msgspec.Struct, frozen=True):
    """What is predicted of a call when it first waits or is placed.

    Attributes
    ----------
    work : float
        Engine time, or the same number for all calls of a plain service.
    on_time_start : timedelta
        Monotonic instant after which its answer is not on time.
    latest_start : timedelta
        Monotonic instant after which its answer is not complete by the deadline.
    longest_wait : timedelta
        How long it may wait while it is tried again and again.
    overdue_after : timedelta
        Wait after which it is overdue.
    """

    work: float
    on_time_start: timedelta
    latest_start: timedelta
    longest_wait: timedelta
    overdue_after: timedelta


def predict(record: RequestRecord, figures: EngineFigures | None) -> CallWork:
    """Return the prediction for a call; `figures` is None for a plain service."""
    request = record.request
    objective = timedelta(0) if request.terms is None else request.terms.objective
    answer = 0 if figures is None else expected_answer_tokens(request, figures)
    first = rest = timedelta(0)
    if figures is not None:
        prompt = request.prompt_tokens
        prefill = timedelta(milliseconds=figures.prefill_ms(prompt, prompt))
        first = min(prefill, objective * MAX_PREFILL_SHARE)
        rest_ms = answer * COUNTED_ANSWER_SHARE * figures.step_ms
        rest = timedelta(milliseconds=rest_ms)
    longest_wait = (request.deadline - record.submitted_at) * MAX_WAIT_SHARE
    return CallWork(
        work=engine_time_ms(request.prompt_tokens, answer, figures),
        on_time_start=record.submitted_at + objective - first,
        latest_start=request.deadline - first - rest,
        longest_wait=longest_wait,
        overdue_after=longest_wait * OVERDUE_SHARE,
    )


def priority_of(record: RequestRecord) -> int:
    """Return the priority of a call; 0 is the most urgent."""
    terms = record.request.terms
    return DEFAULT_PRIORITY if terms is None else terms.priority

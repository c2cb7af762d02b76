"""Predicted work and least times of a waiting call."""

from datetime import timedelta
from math import inf

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


class CallWork(msgspec.Struct):
    """What is predicted of a call when it first waits or is placed.

    Instants are monotonic, in seconds: they are compared for each waiting call in each
    pass over the queue.

    Attributes
    ----------
    work : float
        Engine time, or the same number for all calls of a plain service.
    on_time_start_s : float
        Instant after which its answer is not on time.
    latest_start_s : float
        Instant after which its answer is not complete by the deadline.
    longest_wait_s : float
        How long it may wait while it is tried again and again.
    overdue_at_s : float
        Instant from which it is overdue; infinite while it does not wait.
    """

    work: float
    on_time_start_s: float
    latest_start_s: float
    longest_wait_s: float
    overdue_at_s: float = inf

    def note_waiting(self, now_s: float) -> None:
        """Note that the call waits."""
        if self.overdue_at_s == inf:
            self.overdue_at_s = now_s + self.longest_wait_s * OVERDUE_SHARE


def predict(record: RequestRecord, figures: EngineFigures | None) -> CallWork:
    """Return the prediction for a call; `figures` is None for a plain service."""
    request = record.request
    objective = timedelta(0) if request.terms is None else request.terms.objective
    objective_s = objective.total_seconds()
    submitted_s = record.submitted_at.total_seconds()
    deadline_s = request.deadline.total_seconds()
    answer = 0 if figures is None else expected_answer_tokens(request, figures)
    first_s = rest_s = 0.0
    if figures is not None:
        prompt = request.prompt_tokens
        prefill_s = figures.prefill_ms(prompt, prompt) / 1e3
        first_s = min(prefill_s, objective_s * MAX_PREFILL_SHARE)
        rest_s = answer * COUNTED_ANSWER_SHARE * figures.step_ms / 1e3
    return CallWork(
        work=engine_time_ms(request.prompt_tokens, answer, figures),
        on_time_start_s=submitted_s + objective_s - first_s,
        latest_start_s=deadline_s - first_s - rest_s,
        longest_wait_s=(deadline_s - submitted_s) * MAX_WAIT_SHARE,
    )


def priority_of(record: RequestRecord) -> int:
    """Return the priority of a call; 0 is the most urgent."""
    terms = record.request.terms
    return DEFAULT_PRIORITY if terms is None else terms.priority

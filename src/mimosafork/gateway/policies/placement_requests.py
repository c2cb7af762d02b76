"""Placement requests of calls, and the problem of calls that cannot be placed."""

from datetime import timedelta

from ...kernel.context import Context
from ...kernel.messages.attempts import Exposure
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.requests import Request
from ...kernel.records import RequestRecord
from ...placement.choice import PlacementRequest
from ...routing.engine import EngineFigures

RETRY_AFTER = timedelta(milliseconds=600)

MAX_WAIT_SHARE = 0.25
"""A call that has waited for this share of its time is rejected: it could hardly be
served any more, and its caller should retry elsewhere immediately."""


def placement_request(
    record: RequestRecord, figures: EngineFigures | None, context: Context
) -> PlacementRequest:
    """Return the placement request for a call."""
    request = record.request
    terms = request.terms
    objective = timedelta(0)
    if terms is not None:
        objective = terms.objective - (context.now - record.submitted_at)
    return PlacementRequest(
        request=request.request_id,
        prompt_tokens=request.prompt_tokens,
        max_answer_tokens=request.max_tokens,
        answer_tokens=0
        if figures is None
        else expected_answer_tokens(request, figures),
        time_left=request.deadline - context.now,
        objective=max(timedelta(0), objective),
        longest_pause=None if terms is None else terms.longest_pause,
        priority=5 if terms is None else terms.priority,
        avoid=frozenset(record.avoid),
        zone=context.state.identity.availability_zone,
        may_have_run=any(a.exposure is Exposure.POSSIBLE for a in record.attempts),
    )


def expected_answer_tokens(request: Request, figures: EngineFigures) -> int:
    """Return the expected number of output tokens."""
    hint = request.terms.expected_tokens if request.terms is not None else 0
    expected = hint or figures.expected_answer_tokens
    return min(expected, request.max_tokens) if request.max_tokens else expected


def overloaded_problem(detail: str, come_back: timedelta) -> Problem:
    """Return the problem for a call that cannot be placed."""
    return Problem(ProblemCode.OVERLOADED, detail, come_back)

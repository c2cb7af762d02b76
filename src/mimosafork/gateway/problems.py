"""How the end of a request that has no answer is told to its caller."""

from datetime import timedelta
from http import HTTPStatus

import msgspec

from ..kernel.messages.outcomes import Conclude, Outcome
from ..kernel.messages.problems import ProblemCode

DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)
"""Told where the kernel gives no time of its own."""

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that tell a caller that its request has not run and never will."""

TIMED_OUT = frozenset({ProblemCode.DEADLINE_PASSED, ProblemCode.DEADLINE_UNREACHABLE})


class FinalStatus(msgspec.Struct, frozen=True):
    """Status of the final answer, and when to come back."""

    status: HTTPStatus
    retry_after: timedelta | None


def final_status(conclusion: Conclude) -> FinalStatus:
    """Return what a caller is told of a request that ended without an answer.

    503 and 429 promise that the request has not run and never will; so they follow
    from the outcome alone, whatever the problem was.
    """
    problem = conclusion.problem
    code = problem.code if problem is not None else ProblemCode.INTERNAL
    asked = problem.retry_after if problem is not None else None
    if conclusion.outcome is Outcome.NOT_RUN:
        limited = code is ProblemCode.RATE_LIMITED
        status = (
            HTTPStatus.TOO_MANY_REQUESTS if limited else HTTPStatus.SERVICE_UNAVAILABLE
        )
        return FinalStatus(status, asked or DEFAULT_RETRY_AFTER)
    if code in TIMED_OUT:
        return FinalStatus(HTTPStatus.GATEWAY_TIMEOUT, None)
    return FinalStatus(HTTPStatus.BAD_GATEWAY, None)

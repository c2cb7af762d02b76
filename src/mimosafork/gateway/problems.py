"""HTTP statuses for requests that end without a response of an endpoint."""

from datetime import timedelta
from http import HTTPStatus

import msgspec

from ..kernel.messages.outcomes import Conclude, Outcome
from ..kernel.messages.problems import ProblemCode

DEFAULT_RETRY_AFTER = timedelta(milliseconds=500)
"""Retry delay if the kernel gives none."""

NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that guarantee that the request has not run and never will."""

TIMEOUT_CODES = frozenset(
    {ProblemCode.DEADLINE_PASSED, ProblemCode.DEADLINE_UNREACHABLE}
)


class FinalStatus(msgspec.Struct, frozen=True):
    """Status and retry delay of the final response."""

    status: HTTPStatus
    retry_after: timedelta | None


def final_status(conclusion: Conclude) -> FinalStatus:
    """Return the status for a request that ended without a response.

    503 and 429 guarantee that the request has not run and never will, so they depend on
    the outcome alone and not on the kind of problem.
    """
    problem = conclusion.problem
    code = problem.code if problem is not None else ProblemCode.INTERNAL
    requested = problem.retry_after if problem is not None else None
    if conclusion.outcome is Outcome.NOT_RUN:
        limited = code is ProblemCode.RATE_LIMITED
        status = (
            HTTPStatus.TOO_MANY_REQUESTS if limited else HTTPStatus.SERVICE_UNAVAILABLE
        )
        return FinalStatus(status, requested or DEFAULT_RETRY_AFTER)
    if code in TIMEOUT_CODES:
        return FinalStatus(HTTPStatus.GATEWAY_TIMEOUT, None)
    return FinalStatus(HTTPStatus.BAD_GATEWAY, None)

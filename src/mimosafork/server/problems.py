"""Problem details for callers (RFC 9457)."""

import math
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from ..ids import RequestId
from ..kernel.messages.outcomes import Outcome
from ..kernel.messages.problems import Problem, ProblemCode

PROBLEM_TYPE_PREFIX = "urn:mimosafork:problem:"
PROBLEM_MEDIA_TYPE = "application/problem+json"

STATUSES = {
    ProblemCode.MALFORMED: HTTPStatus.BAD_REQUEST,
    ProblemCode.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    ProblemCode.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
    ProblemCode.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    ProblemCode.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ProblemCode.PROMPT_TOO_LONG: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ProblemCode.BAD_DEADLINE: HTTPStatus.BAD_REQUEST,
    ProblemCode.RATE_LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    ProblemCode.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.DEADLINE_UNREACHABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.DEADLINE_PASSED: HTTPStatus.GATEWAY_TIMEOUT,
    ProblemCode.NO_ENDPOINT: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.NO_HOME_ENDPOINT: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.ENDPOINT_FAILED: HTTPStatus.BAD_GATEWAY,
    ProblemCode.KEY_REUSED: HTTPStatus.CONFLICT,
    ProblemCode.KEY_IN_PROGRESS: HTTPStatus.CONFLICT,
    ProblemCode.OUTCOME_UNKNOWN: HTTPStatus.CONFLICT,
    ProblemCode.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ProblemCode.SHUTTING_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.NOT_CONFIGURED: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemCode.CALLER_GONE: HTTPStatus.BAD_REQUEST,
    ProblemCode.INTERNAL: HTTPStatus.INTERNAL_SERVER_ERROR,
}


class ProblemBody(msgspec.Struct, omit_defaults=True):
    """Body of a refusal or failure.

    Attributes
    ----------
    outcome : str
        ``not-run``, ``failed`` or ``unknown``.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    request_id: str = ""
    retry_after: int | None = None


@dataclass(frozen=True, slots=True)
class ProblemAnswer:
    """A problem as the parts of an HTTP response."""

    status: HTTPStatus
    headers: tuple[tuple[str, str], ...]
    body: bytes


def problem_body(
    problem: Problem, outcome: Outcome, request_id: RequestId | None = None
) -> ProblemBody:
    """Return the body that states a problem."""
    status = STATUSES.get(problem.code, HTTPStatus.INTERNAL_SERVER_ERROR)
    return ProblemBody(
        type=f"{PROBLEM_TYPE_PREFIX}{problem.code.value}",
        title=problem.code.value.replace("-", " "),
        status=status,
        detail=problem.detail,
        outcome=outcome.value,
        request_id=request_id or "",
        retry_after=retry_after_seconds(problem),
    )


def problem_answer(
    problem: Problem, outcome: Outcome, request_id: RequestId | None = None
) -> ProblemAnswer:
    """Return the response that states a problem."""
    body = problem_body(problem, outcome, request_id)
    headers = [("Content-Type", PROBLEM_MEDIA_TYPE)]
    if body.retry_after is not None:
        headers.append(("Retry-After", str(body.retry_after)))
    if problem.code is ProblemCode.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return ProblemAnswer(
        HTTPStatus(body.status), tuple(headers), msgspec.json.encode(body)
    )


def retry_after_seconds(problem: Problem) -> int | None:
    """Return when to come back, in whole seconds, as HTTP wants it."""
    if problem.retry_after is None:
        return None
    return max(1, math.ceil(problem.retry_after.total_seconds()))


def status_answer(status: HTTPStatus, detail: str) -> ProblemAnswer:
    """Return the response for an error that HTTP itself names."""
    body = ProblemBody(
        type="about:blank",
        title=status.phrase,
        status=status,
        detail=detail,
        outcome=Outcome.NOT_RUN.value,
    )
    headers = (("Content-Type", PROBLEM_MEDIA_TYPE),)
    return ProblemAnswer(status, headers, msgspec.json.encode(body))

"""Tests of final statuses: "not run" is only stated if it is certain."""

from datetime import timedelta
from http import HTTPStatus
from itertools import product
from unittest import TestCase

from mimosafork.gateway.problems import (
    DEFAULT_RETRY_AFTER,
    NOT_RUN_STATUSES,
    final_status,
)
from mimosafork.ids import RequestId
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode

from ...support.functions import function_tests

case = TestCase()


def conclusion(
    outcome: Outcome, code: ProblemCode, retry_after: timedelta | None = None
) -> Conclude:
    problem = Problem(code, "x", retry_after)
    return Conclude(RequestId("1"), outcome, 1, problem)


def test_a_not_run_status_is_sent_only_if_nothing_ran() -> None:
    """A caller repeats a payment that was already made.

    Statuses that guarantee "not run" depended on the kind of problem, which was the
    same for a call that had run and for one that had not.
    """
    for outcome, code in product(Outcome, ProblemCode):
        final = final_status(conclusion(outcome, code))
        case.assertEqual(outcome is Outcome.NOT_RUN, final.status in NOT_RUN_STATUSES)
        has_retry_after = final.retry_after is not None
        case.assertEqual(outcome is Outcome.NOT_RUN, has_retry_after)
    not_run_codes = {408, 421, 429, 503}
    case.assertEqual(not_run_codes, NOT_RUN_STATUSES)
    bare = Conclude(RequestId("1"), Outcome.UNKNOWN, 1)
    case.assertEqual(HTTPStatus.BAD_GATEWAY, final_status(bare).status)


def test_status_by_outcome_and_problem() -> None:
    for outcome, code, status in (
        (Outcome.NOT_RUN, ProblemCode.RATE_LIMITED, HTTPStatus.TOO_MANY_REQUESTS),
        (Outcome.NOT_RUN, ProblemCode.OVERLOADED, HTTPStatus.SERVICE_UNAVAILABLE),
        (
            Outcome.NOT_RUN,
            ProblemCode.DEADLINE_PASSED,
            HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        (Outcome.UNKNOWN, ProblemCode.DEADLINE_PASSED, HTTPStatus.GATEWAY_TIMEOUT),
        (Outcome.FAILED, ProblemCode.ENDPOINT_FAILED, HTTPStatus.BAD_GATEWAY),
        (Outcome.UNKNOWN, ProblemCode.RATE_LIMITED, HTTPStatus.BAD_GATEWAY),
    ):
        case.assertEqual(status, final_status(conclusion(outcome, code)).status)


def test_retry_after() -> None:
    requested = timedelta(seconds=3)
    with_own_time = final_status(
        conclusion(Outcome.NOT_RUN, ProblemCode.OVERLOADED, requested)
    )
    case.assertEqual(requested, with_own_time.retry_after)
    usual = final_status(conclusion(Outcome.NOT_RUN, ProblemCode.OVERLOADED))
    case.assertEqual(DEFAULT_RETRY_AFTER, usual.retry_after)


load_tests = function_tests(__name__)

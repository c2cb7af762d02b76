"""Tests of final statuses: a promise is made only where it holds."""

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


def test_a_promise_is_given_just_when_nothing_ran() -> None:
    """A caller sends a payment again that was made.

    Statuses that promise "not run" came from the problem, and the problem was the
    same for a call that had run and for one that had not.
    """
    for outcome, code in product(Outcome, ProblemCode):
        final = final_status(conclusion(outcome, code))
        case.assertEqual(outcome is Outcome.NOT_RUN, final.status in NOT_RUN_STATUSES)
        promised = final.retry_after is not None
        case.assertEqual(outcome is Outcome.NOT_RUN, promised)
    told = {408, 421, 429, 503}
    case.assertEqual(told, NOT_RUN_STATUSES)
    bare = Conclude(RequestId("1"), Outcome.UNKNOWN, 1)
    case.assertEqual(HTTPStatus.BAD_GATEWAY, final_status(bare).status)


def test_statuses_say_what_happened() -> None:
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


def test_when_to_come_back() -> None:
    asked = timedelta(seconds=3)
    told = final_status(conclusion(Outcome.NOT_RUN, ProblemCode.OVERLOADED, asked))
    case.assertEqual(asked, told.retry_after)
    usual = final_status(conclusion(Outcome.NOT_RUN, ProblemCode.OVERLOADED))
    case.assertEqual(DEFAULT_RETRY_AFTER, usual.retry_after)


load_tests = function_tests(__name__)

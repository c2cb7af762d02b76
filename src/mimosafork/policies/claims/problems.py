"""Refusals concerning idempotency keys."""

from datetime import timedelta

from ...kernel.messages.outcomes import Outcome
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.plugins import Refuse

STORE_RETRY_AFTER = timedelta(seconds=2)
IN_PROGRESS_RETRY_AFTER = timedelta(seconds=1)


def key_reused() -> Refuse:
    """Return the refusal of a key that was used with another body."""
    detail = "the idempotency key was used with another body; this call was not run"
    return Refuse(Problem(ProblemCode.KEY_REUSED, detail))


def in_progress() -> Refuse:
    """Return the refusal of a resend while the first call may still run."""
    detail = "a call with this idempotency key is in progress"
    problem = Problem(ProblemCode.KEY_IN_PROGRESS, detail, IN_PROGRESS_RETRY_AFTER)
    return Refuse(problem, Outcome.UNKNOWN)


def outcome_unknown(detail: str) -> Refuse:
    """Return the final refusal of a request that may have run already."""
    return Refuse(Problem(ProblemCode.OUTCOME_UNKNOWN, detail), Outcome.UNKNOWN)


def store_unavailable() -> Refuse:
    """Return the refusal of a request that can't be claimed.

    It covers this call only: the store can't be read for an earlier one with the
    same key.
    """
    detail = (
        "the call must not run twice and the store that guards it does not answer; "
        "this call was not run"
    )
    return Refuse(Problem(ProblemCode.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER))


def earlier_call_unreadable() -> Refuse:
    """Return the refusal of a resend while the earlier call can't be read."""
    detail = "what became of the earlier call with this key can't be read now"
    problem = Problem(ProblemCode.STORE_UNAVAILABLE, detail, STORE_RETRY_AFTER)
    return Refuse(problem, Outcome.UNKNOWN)

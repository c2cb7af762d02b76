"""Why a request ends without its answer."""

from datetime import timedelta
from enum import Enum

import msgspec


class ProblemCode(Enum):
    """Why a request was refused or failed; the last part of the problem's type."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    BODY_TOO_LARGE = "body-too-large"
    PROMPT_TOO_LONG = "prompt-too-long"
    BAD_DEADLINE = "bad-deadline"
    RATE_LIMITED = "rate-limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    NO_ENDPOINT = "no-endpoint"
    ENDPOINT_FAILED = "endpoint-failed"
    KEY_REUSED = "idempotency-key-reused"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    """An earlier call with the key may have run; it is never run again."""
    STORE_UNAVAILABLE = "store-unavailable"
    QUARANTINED = "quarantined"
    SHUTTING_DOWN = "shutting-down"
    NOT_CONFIGURED = "not-configured"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"


class Problem(msgspec.Struct, frozen=True):
    """Why a request ends without its answer.

    Attributes
    ----------
    retry_after : timedelta or None
        When it makes sense to come back; None when it does not.
    """

    code: ProblemCode
    detail: str
    retry_after: timedelta | None = None

"""Problems that end a request without its answer."""

from datetime import timedelta
from enum import Enum

import msgspec


class ProblemCode(Enum):
    """Reason of a refusal or failure; the last component of the problem type."""

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
    NO_HOME_ENDPOINT = "no-home-endpoint"
    """The request may not be sent to the regions in which endpoints are usable."""
    ENDPOINT_FAILED = "endpoint-failed"
    KEY_REUSED = "idempotency-key-reused"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    """An earlier call with the key may have run; the request is not run again."""
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
        Delay after which a retry makes sense; None if it does not.
    """

    code: ProblemCode
    detail: str
    retry_after: timedelta | None = None

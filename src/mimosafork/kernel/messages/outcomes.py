"""What a caller is told at the end of its request."""

from enum import Enum

from ...ids import RequestId
from .base import Effect
from .problems import Problem


class Outcome(Enum):
    """What the caller is told about the fate of a request.

    ``NOT_RUN`` is a promise: no endpoint can have run any part of it.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Retention(Enum):
    """Whether a resend under the same key gets the answer from the store."""

    NOT_ASKED = "not-asked"
    KEPT = "kept"
    NOT_KEPT = "not-kept"
    """It should have been kept, but the store could not take it in time."""


class Conclude(Effect, frozen=True):
    """Give the caller its final answer now.

    Attributes
    ----------
    problem : Problem or None
        None when the whole answer has been delivered.
    retention : Retention
        Told to the caller with the final marker.
    """

    request_id: RequestId
    outcome: Outcome
    attempts: int
    problem: Problem | None = None
    retention: Retention = Retention.NOT_ASKED

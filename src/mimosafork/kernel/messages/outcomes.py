"""Final outcome of a request as reported to its caller."""

from enum import Enum

from ...ids import RequestId
from .attempts import Exposure
from .base import Effect
from .problems import Problem


class Outcome(Enum):
    """Outcome of a request as reported to its caller.

    ``NOT_RUN`` guarantees that no endpoint can have run any part of it.
    """

    COMPLETED = "completed"
    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Retention(Enum):
    """Whether a resend with the same key is answered from the store."""

    NOT_ASKED = "not-asked"
    KEPT = "kept"
    NOT_KEPT = "not-kept"
    """The answer should have been kept, but could not be stored in time."""


class Conclude(Effect, frozen=True):
    """Send the caller its final answer.

    Attributes
    ----------
    problem : Problem or None
        None if the complete answer has been delivered.
    retention : Retention
        Reported to the caller with the final marker.
    exposures : tuple of Exposure
        How far each attempt may have got, in their order. ``NOT_RUN`` requires that
        none may have run.
    """

    request_id: RequestId
    outcome: Outcome
    attempts: int
    problem: Problem | None = None
    retention: Retention = Retention.NOT_ASKED
    exposures: tuple[Exposure, ...] = ()

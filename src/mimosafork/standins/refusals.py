"""Refusals: answers that say that a request was not run."""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from .errors import BadRequestError, StandinError
from .http import HttpAnswer


class RefusalReason(Enum):
    """Why a request was refused."""

    DRAINING = "draining"
    MEMORY = "memory"
    BUSY = "busy"
    UNKNOWN_MODEL = "unknown-model"
    ROLE = "role"
    DUPLICATE = "duplicate"
    STALE_FENCING = "stale-fencing"

    @classmethod
    def read(cls, name: str) -> "RefusalReason":
        """Return the reason of a name.

        Raises
        ------
        BadRequestError
            If no reason has this name.
        """
        try:
            return cls(name)
        except ValueError as error:
            raise BadRequestError(str(error)) from error


STATUS_OF_REASON = {
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.BUSY: HTTPStatus.TOO_MANY_REQUESTS,
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """The body of a refusal."""

    refused: RefusalReason
    detail: str


class RefusedError(StandinError):
    """The request is refused and was not run.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    detail : str
        The same for people.
    """

    def __init__(self, reason: RefusalReason, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.refusal = Refusal(reason, detail)


def refusal_answer(refusal: Refusal, status: int | None = None) -> HttpAnswer:
    """Answer with a refusal; its reason gives the status if none is named."""
    if status is None:
        status = STATUS_OF_REASON.get(refusal.refused, HTTPStatus.CONFLICT)
    return HttpAnswer.json(refusal, status)

"""Errors of the server towards callers."""

from datetime import timedelta

from ..errors import MimosaforkError
from ..kernel.messages.problems import Problem, ProblemCode


class ServerError(MimosaforkError):
    """Base of the server's errors."""


class RejectedError(ServerError):
    """A request is refused before the kernel has heard of it.

    Attributes
    ----------
    problem : Problem
        What the caller is told.
    """

    def __init__(
        self, code: ProblemCode, detail: str, retry_after: timedelta | None = None
    ) -> None:
        super().__init__(f"{code.value}: {detail}")
        self.problem = Problem(code, detail, retry_after)

"""Errors of the caller's side."""

from ..errors import MimosaforkError


class ClientError(MimosaforkError):
    """Base of the caller's errors."""


class BrokenAnswerError(ClientError):
    """The connection ended before the answer did.

    Parameters
    ----------
    why : str
    sent : bool
        Whether any byte of the call can have reached the other side.
    """

    def __init__(self, why: str, sent: bool) -> None:
        self.sent = sent
        super().__init__(why)


class UnreadableAnswerError(ClientError):
    """The answer does not follow the protocol."""

"""Errors of calls to endpoints."""

from ..errors import MimosaforkError
from ..kernel.messages.attempts import Exposure, FailureKind


class EndpointError(MimosaforkError):
    """Base class of failed calls to endpoints."""


class OpenError(EndpointError):
    """The call of an attempt could not be sent completely.

    Attributes
    ----------
    kind : FailureKind
    exposure : Exposure
        Whether any byte can have reached the endpoint.
    """

    def __init__(self, detail: str, kind: FailureKind, exposure: Exposure) -> None:
        super().__init__(detail)
        self.kind = kind
        self.exposure = exposure

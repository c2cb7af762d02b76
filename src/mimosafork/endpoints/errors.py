"""Errors of calls to endpoints."""

from ..errors import MimosaforkError
from ..kernel.messages.attempts import Exposure, FailureKind


class EndpointError(MimosaforkError):
    """Base of failed calls to endpoints."""


class OpenError(EndpointError):
    """An attempt's call could not be sent whole.

    Attributes
    ----------
    kind : FailureKind
    exposure : Exposure
        Whether a byte can have reached the endpoint.
    """

    def __init__(self, detail: str, kind: FailureKind, exposure: Exposure) -> None:
        super().__init__(detail)
        self.kind = kind
        self.exposure = exposure

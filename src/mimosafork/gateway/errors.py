"""Errors of the gateway layer."""

from http import HTTPStatus

from ..errors import MimosaforkError


class GatewayError(MimosaforkError):
    """Base of the gateway's errors."""


class BadRequestError(GatewayError):
    """A caller's bytes are no proper request.

    Parameters
    ----------
    status : HTTPStatus
        What the caller is told; its connection is closed after it.
    detail : str
        What was wrong, for the log.
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class BadResponseError(GatewayError):
    """An endpoint's bytes are no proper answer."""

"""Errors of the gateway layer."""

from http import HTTPStatus

from ..errors import MimosaforkError


class GatewayError(MimosaforkError):
    """Base of the gateway's errors."""


class BadRequestError(GatewayError):
    """A caller's request is malformed or can't be accepted.

    Parameters
    ----------
    status : HTTPStatus
        Status of the response, after which the connection is closed.
    detail : str
        Reason, for the log.
    """

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class ForwardingError(GatewayError):
    """A request on the instances' own listener was not sent by an instance."""


class BadResponseError(GatewayError):
    """An endpoint sent a malformed response."""


class EventOrderError(BadResponseError):
    """The ids of a stream's events do not increase, so one of them is wrong.

    Parameters
    ----------
    event : bytes
        The event that is out of order.
    """

    def __init__(self, event: bytes) -> None:
        super().__init__("an event of the stream is out of order")
        self.event = event

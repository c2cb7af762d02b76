"""Reading of the present request's body."""

from http import HTTPStatus

import cherrypy

from ..kernel.messages.problems import ProblemCode
from .errors import RejectedError
from .gateway import CALLER_KEY, DetachableConnection

DISCARD_STEP = 64 << 10
DISCARD_FACTOR = 4
"""An unread body of up to so many times the limit is read and thrown away: a
caller that is still sending when its connection closes never sees the answer."""


def connection() -> DetachableConnection:
    """Return the present request's connection."""
    found: DetachableConnection = cherrypy.request.wsgi_environ[CALLER_KEY]
    return found


def read_body(limit: int) -> bytes:
    """Return the whole body.

    Raises
    ------
    RejectedError
        If it is over the limit.
    """
    body: bytes = b""
    if declared_length() <= limit:
        body = receive(limit + 1)
    if declared_length() > limit or len(body) > limit:
        discard_body(limit)
        detail = f"the body is longer than {limit} bytes"
        raise RejectedError(ProblemCode.BODY_TOO_LARGE, detail)
    return body


def discard_body(limit: int) -> None:
    """Read what the caller still sends, within bounds, and close behind it."""
    connection().request.close_connection = True
    left = DISCARD_FACTOR * limit
    while left > 0:
        data = receive(DISCARD_STEP)
        if not data:
            return
        left -= len(data)


def declared_length() -> int:
    """Return the body's length as the caller gives it; 0 if it does not."""
    return int(cherrypy.request.headers.get("Content-Length") or 0)


def receive(size: int) -> bytes:
    """Read a part of the body.

    Raises
    ------
    RejectedError
        If its framing makes no sense.
    cherrypy.HTTPError
        If it stops before its end. In both cases the connection closes, as nobody
        knows where a next request would begin.
    """
    try:
        if declared_length() < 0:
            raise ValueError("negative length")
        data: bytes = cherrypy.request.rfile.read(size)
    except ValueError as error:
        connection().request.close_connection = True
        detail = "the body's length or chunks can't be read"
        raise RejectedError(ProblemCode.MALFORMED, detail) from error
    except TimeoutError as error:
        connection().request.close_connection = True
        detail = "the body did not come to its end in time"
        raise cherrypy.HTTPError(HTTPStatus.REQUEST_TIMEOUT, detail) from error
    return data

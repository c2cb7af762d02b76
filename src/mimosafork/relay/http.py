"""Bytes of HTTP responses towards callers."""

from collections.abc import Iterable
from email.utils import formatdate
from http import HTTPStatus

REQUEST_ID_HEADER = "X-Request-Id"
ATTEMPTS_HEADER = "X-Attempts"
OUTCOME_HEADER = "X-Outcome"
KEPT_HEADER = "X-Answer-Kept"
"""Whether a resend under the same key finds the answer in the store."""

BODILESS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})

Headers = Iterable[tuple[str, str]]


def response_head(status: int, headers: Headers, reason: str = "") -> bytes:
    """Return the head of a response after which the connection closes.

    Header values come from this program or have been parsed as HTTP, so that they
    hold no line ends.
    """
    lines = [f"HTTP/1.1 {status} {reason or _reason(status)}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Date: {formatdate(usegmt=True)}")
    lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def whole_response(
    status: int, headers: Headers, body: bytes, reason: str = ""
) -> bytes:
    """Return a response with a body of known length.

    Statuses that have no body by definition get no length either.
    """
    if status in BODILESS:
        return response_head(status, headers, reason)
    length = ("Content-Length", str(len(body)))
    return response_head(status, [*headers, length], reason) + body


def chunk(data: bytes) -> bytes:
    """Return data framed as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def last_chunk(trailers: Headers) -> bytes:
    """Return the end of a chunked body."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in trailers)
    return b"0\r\n" + lines.encode("latin-1") + b"\r\n"


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""

"""Strict parsing and rendering of HTTP message heads."""

import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from .errors import BadRequestError

REQUEST_LINE = re.compile(rb"([A-Z]{1,20}) (/[\x21-\x7e\x80-\xff]*) HTTP/1\.([01])")
HEADER_LINE = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)
DIGITS = re.compile(rb"[0-9]{1,15}")

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection and aren't forwarded."""

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
HOST = b"host"
EXPECT = b"expect"

HEAD = b"HEAD"
"""Method whose responses have no body."""


class Header(NamedTuple):
    """One header as received."""

    name: bytes
    value: bytes


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers of a request.

    Attributes
    ----------
    target : bytes
        Path and query, unmodified.
    minor_version : int
        The x of HTTP/1.x.
    content_length : int or None
        None for a chunked body.
    """

    method: bytes
    target: bytes
    minor_version: int
    headers: tuple[Header, ...]
    content_length: int | None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The Host header without a port, in lower case."""
        value = first_header_value(self.headers, HOST) or b""
        return value.partition(b":")[0].decode("latin-1").lower()

    @property
    def keeps_alive(self) -> bool:
        """Whether the caller wants a persistent connection."""
        tokens = connection_tokens(self.headers)
        if self.minor_version == 0:
            return b"keep-alive" in tokens
        return b"close" not in tokens

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for "100 Continue" before it sends the body."""
        value = first_header_value(self.headers, EXPECT)
        return value is not None and value.lower() == b"100-continue"


def header_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the values of all headers with a name, which is given in lower case."""
    return [header.value for header in headers if header.name.lower() == name]


def first_header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is given in lower case."""
    for header in headers:
        if header.name.lower() == name:
            return header.value
    return None


def connection_tokens(headers: Iterable[Header]) -> frozenset[bytes]:
    """Return the options of the Connection headers, in lower case."""
    joined = b",".join(header_values(headers, CONNECTION)).lower()
    return frozenset(part.strip() for part in joined.split(b",") if part.strip())


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the end-to-end headers, which are forwarded."""
    headers = tuple(headers)
    dropped = HOP_BY_HOP_HEADERS | connection_tokens(headers) | {CONTENT_LENGTH, EXPECT}
    return [header for header in headers if header.name.lower() not in dropped]


def parse_request_head(block: bytes) -> RequestHead:
    """Parse a request head, without the empty line that ends it.

    Lenient parsing enables request smuggling: if the gateway and the endpoint disagree
    about where a body ends, its remainder is read as a request that no caller sent. So
    ambiguous input is rejected: bare CR or LF, folded lines, whitespace before a colon,
    duplicate lengths, and a length together with chunked encoding.

    Raises
    ------
    BadRequestError
    """
    first, *lines = block.split(b"\r\n")
    match = REQUEST_LINE.fullmatch(first)
    if match is None:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the request line is malformed")
    headers = tuple(_parse_header(line) for line in lines)
    minor = int(match[3])
    _check_host(headers, minor)
    return RequestHead(match[1], match[2], minor, headers, _length(headers, minor))


def _parse_header(line: bytes) -> Header:
    match = HEADER_LINE.fullmatch(line)
    if match is None:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "a header line is malformed")
    return Header(match[1], match[2].rstrip(b" \t"))


def _check_host(headers: tuple[Header, ...], minor: int) -> None:
    hosts = header_values(headers, HOST)
    if len(hosts) > 1 or (not hosts and minor == 1):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "there must be one Host header")


def _length(headers: tuple[Header, ...], minor: int) -> int | None:
    """Return the length of the body; None if it is chunked."""
    lengths = header_values(headers, CONTENT_LENGTH)
    codings = header_values(headers, TRANSFER_ENCODING)
    if codings:
        if lengths or minor == 0 or [c.lower() for c in codings] != [b"chunked"]:
            raise BadRequestError(HTTPStatus.BAD_REQUEST, "the framing is ambiguous")
        return None
    if not lengths:
        return 0
    if len(lengths) > 1 or DIGITS.fullmatch(lengths[0]) is None:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "the length is malformed")
    return int(lengths[0])


def render_head(first_line: bytes, headers: Iterable[Header]) -> bytes:
    """Return the encoded head, including the terminating empty line."""
    lines = [first_line]
    lines += [b"%s: %s" % (header.name, header.value) for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"

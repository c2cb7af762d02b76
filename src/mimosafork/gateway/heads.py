"""Heads of HTTP messages, checked strictly when they are read."""

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

HOP_BY_HOP = frozenset(
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
"""Headers that concern one connection only."""

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CONNECTION = b"connection"
HOST = b"host"
EXPECT = b"expect"

HEAD = b"HEAD"
"""Method whose answers have no body."""


class Header(NamedTuple):
    """One header as it came."""

    name: bytes
    value: bytes


class RequestHead(msgspec.Struct, frozen=True):
    """A request's first line and headers.

    Attributes
    ----------
    target : bytes
        Path and query as the caller wrote them.
    minor : int
        Of HTTP/1.x.
    content_length : int or None
        None for a chunked body.
    """

    method: bytes
    target: bytes
    minor: int
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
        """Whether the caller wants to use its connection again."""
        tokens = connection_tokens(self.headers)
        if self.minor == 0:
            return b"keep-alive" in tokens
        return b"close" not in tokens

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for a word before it sends its body."""
        value = first_header_value(self.headers, EXPECT)
        return value is not None and value.lower() == b"100-continue"


def header_values(headers: Iterable[Header], name: bytes) -> list[bytes]:
    """Return the values of all headers with a name, given in lower case."""
    return [header.value for header in headers if header.name.lower() == name]


def first_header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, whose name is given in lower case."""
    for header in headers:
        if header.name.lower() == name:
            return header.value
    return None


def connection_tokens(headers: Iterable[Header]) -> frozenset[bytes]:
    """Return what the Connection headers list, in lower case."""
    joined = b",".join(header_values(headers, CONNECTION)).lower()
    return frozenset(part.strip() for part in joined.split(b",") if part.strip())


def end_to_end_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that are passed on: not those of one connection only."""
    headers = tuple(headers)
    dropped = HOP_BY_HOP | connection_tokens(headers) | {CONTENT_LENGTH, EXPECT}
    return [header for header in headers if header.name.lower() not in dropped]


def parse_request_head(block: bytes) -> RequestHead:
    """Parse a head, without the empty line that ends it.

    A lenient reading is how requests are smuggled: where this process and the
    endpoint disagree about where a body ends, its rest is taken for a request that
    no caller sent. So whatever could be read in two ways is refused: bare line ends,
    folded lines, blanks before a colon, two lengths, a length beside chunks.

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
    """Return the body's length; None if it comes in chunks."""
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
    """Return a head's bytes, with the empty line that ends it."""
    lines = [first_line]
    lines += [b"%s: %s" % (header.name, header.value) for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"

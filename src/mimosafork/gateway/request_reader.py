"""Incremental parser for HTTP requests from callers."""

from http import HTTPStatus
from weakref import ref

import httptools
import msgspec

from ..routing.table import ClientLimits
from .errors import BadRequestError
from .heads import RequestHead, parse_request_head

HEAD_END = b"\r\n\r\n"
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
"""Puts the parser into chunked mode; the caller's own head is parsed by this module."""


class RequestMessage(msgspec.Struct, frozen=True):
    """A complete request."""

    head: RequestHead
    body: bytes


class ChunkedBody:
    """Decodes a chunked body.

    Attributes
    ----------
    complete : bool
        Whether the last chunk has been read.
    overrun : bool
        Whether more bytes followed the body.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.body = bytearray()
        self.complete = False
        self.overrun = False
        self.message_begun = False
        self.parser = httptools.HttpRequestParser(ChunkCallbacks(self))
        self.parser.feed_data(CHUNKED_HEAD)

    def feed(self, data: bytes) -> None:
        """Decode received bytes.

        Raises
        ------
        BadRequestError
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                raise BadRequestError(
                    HTTPStatus.BAD_REQUEST, "the chunks are malformed"
                ) from None
            self.overrun = True
        if len(self.body) > self.limit:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"
            )

    def on_message_begin(self) -> None:
        """Detect a second message, that is bytes after the body."""
        if self.message_begun:
            self.overrun = True
        self.message_begun = True

    def on_body(self, body: bytes) -> None:
        """Collect body bytes, unless they belong to a following message."""
        if not self.complete:
            self.body += body

    def on_message_complete(self) -> None:
        """Mark the body as complete."""
        self.complete = True


class ChunkCallbacks:
    """Passes a parser's callbacks on to the body that owns the parser.

    The parser keeps its callbacks. If it kept the body itself, memory would fill up
    with bodies of calls that have ended: the garbage collector doesn't count bytes, and
    looks for reference cycles only now and then.
    """

    def __init__(self, body: ChunkedBody) -> None:
        self.body = ref(body)

    def on_message_begin(self) -> None:
        """Pass on that a message begins."""
        if (body := self.body()) is not None:
            body.on_message_begin()

    def on_body(self, data: bytes) -> None:
        """Pass on body bytes."""
        if (body := self.body()) is not None:
            body.on_body(data)

    def on_message_complete(self) -> None:
        """Pass on that a message is complete."""
        if (body := self.body()) is not None:
            body.on_message_complete()


class RequestReader:
    """Splits a caller's bytes into requests.

    Pipelined bytes stay in the buffer until the current request has been answered.

    Attributes
    ----------
    limits : ClientLimits
        Limits in force; the owner updates them from the configuration.
    closing : bool
        Whether no further request can be read from this connection.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.buffer = bytearray()
        self.head: RequestHead | None = None
        self.chunked: ChunkedBody | None = None
        self.closing = False

    @property
    def begun(self) -> bool:
        """Whether part of a request has been received."""
        return bool(self.buffer) or self.head is not None

    @property
    def awaits_body(self) -> bool:
        """Whether the head is parsed and the body is incomplete."""
        return self.head is not None

    def feed(self, data: bytes) -> None:
        """Buffer received bytes."""
        self.buffer += data

    def next_request(self) -> RequestMessage | None:
        """Return the next request, or None while it is incomplete.

        Raises
        ------
        BadRequestError
        """
        if self.closing:
            return None
        if self.head is None and not self._read_head():
            return None
        return self._read_body()

    def _read_head(self) -> bool:
        while self.buffer.startswith(b"\r\n"):
            del self.buffer[:2]
        end = self.buffer.find(HEAD_END, 0, self.limits.header_bytes + len(HEAD_END))
        if end < 0:
            if len(self.buffer) > self.limits.header_bytes:
                raise BadRequestError(
                    HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too long"
                )
            return False
        self.head = parse_request_head(bytes(self.buffer[:end]))
        del self.buffer[: end + len(HEAD_END)]
        length = self.head.content_length
        if length is None:
            self.chunked = ChunkedBody(self.limits.body_bytes)
        elif length > self.limits.body_bytes:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"
            )
        return True

    def _read_body(self) -> RequestMessage | None:
        assert self.head is not None
        if self.chunked is not None:
            return self._read_chunks(self.head, self.chunked)
        length = self.head.content_length or 0
        if len(self.buffer) < length:
            return None
        body = bytes(self.buffer[:length])
        del self.buffer[:length]
        return self._complete(self.head, body)

    def _read_chunks(
        self, head: RequestHead, chunked: ChunkedBody
    ) -> RequestMessage | None:
        chunked.feed(bytes(self.buffer))
        self.buffer.clear()
        if not chunked.complete:
            return None
        # The parser doesn't report where the bytes after the last chunk begin, so they
        # are not read as a pipelined request and the connection is closed.
        self.closing = chunked.overrun
        return self._complete(head, bytes(chunked.body))

    def _complete(self, head: RequestHead, body: bytes) -> RequestMessage:
        self.head = None
        self.chunked = None
        return RequestMessage(head, body)

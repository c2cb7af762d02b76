"""Reads requests from a caller's bytes, one at a time."""

from http import HTTPStatus

import httptools
import msgspec

from ..routing.table import ClientLimits
from .errors import BadRequestError
from .heads import RequestHead, parse_request_head

HEAD_END = b"\r\n\r\n"
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
"""Sets the parser to read chunks; the caller's own head is checked here."""


class RequestMessage(msgspec.Struct, frozen=True):
    """A whole request."""

    head: RequestHead
    body: bytes


class ChunkedBody:
    """Decodes a chunked body.

    Attributes
    ----------
    complete : bool
        The last chunk has been read.
    overrun : bool
        Bytes followed the body before it was answered.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0
        self.complete = False
        self.overrun = False
        self.begun = False
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(CHUNKED_HEAD)

    def feed(self, data: bytes) -> None:
        """Take bytes of the body.

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
        if self.size > self.limit:
            raise BadRequestError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too long"
            )

    def on_message_begin(self) -> None:
        """Note a second message: bytes behind the body."""
        if self.begun:
            self.overrun = True
        self.begun = True

    def on_body(self, body: bytes) -> None:
        """Keep a part, unless it belongs to what follows."""
        if not self.complete:
            self.parts.append(body)
            self.size += len(body)

    def on_message_complete(self) -> None:
        """Note the end."""
        self.complete = True


class RequestReader:
    """Takes a caller's bytes and gives whole requests.

    Bytes behind a request wait until it has been answered.

    Attributes
    ----------
    limits : ClientLimits
        In force; the owner replaces them with the configuration.
    closing : bool
        No further request can be read from this connection.
    """

    def __init__(self, limits: ClientLimits) -> None:
        self.limits = limits
        self.buffer = bytearray()
        self.head: RequestHead | None = None
        self.chunked: ChunkedBody | None = None
        self.closing = False

    @property
    def begun(self) -> bool:
        """Whether a part of a request has been read."""
        return bool(self.buffer) or self.head is not None

    @property
    def awaits_body(self) -> bool:
        """Whether the head is known and the body isn't whole."""
        return self.head is not None

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        self.buffer += data

    def next_request(self) -> RequestMessage | None:
        """Return the next request, or None until it is whole.

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
        return self._whole(self.head, body)

    def _read_chunks(
        self, head: RequestHead, chunked: ChunkedBody
    ) -> RequestMessage | None:
        chunked.feed(bytes(self.buffer))
        self.buffer.clear()
        if not chunked.complete:
            return None
        # The parser can't tell where bytes behind the last chunk begin; what a
        # caller sends before its answer is not read, and its connection closed.
        self.closing = chunked.overrun
        return self._whole(head, b"".join(chunked.parts))

    def _whole(self, head: RequestHead, body: bytes) -> RequestMessage:
        self.head = None
        self.chunked = None
        return RequestMessage(head, body)

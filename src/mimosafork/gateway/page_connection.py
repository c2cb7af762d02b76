"""Connections that answer small questions about this instance itself."""

import asyncio
from abc import ABC, abstractmethod
from http import HTTPStatus
from typing import cast

import msgspec

from ..routing.table import ClientLimits
from .errors import BadRequestError
from .heads import Header, render_head
from .request_reader import RequestReader

ANSWER_LIMITS = ClientLimits(header_bytes=4096, body_bytes=0)


class PageResponse(msgspec.Struct, frozen=True):
    """What a question is answered with.

    Attributes
    ----------
    content_type : bytes or None
        None leaves the header out.
    """

    status: HTTPStatus
    body: bytes = b""
    content_type: bytes | None = None


class PageConnection(asyncio.Protocol, ABC):
    """Answers each request at once, and closes on what is no request."""

    def __init__(self) -> None:
        self.reader = RequestReader(ANSWER_LIMITS)
        self.transport: asyncio.Transport | None = None

    @abstractmethod
    def respond(self, path: str) -> PageResponse:
        """Return the answer to a request for a path."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are whole."""
        self.reader.feed(data)
        try:
            while (message := self.reader.next_request()) is not None:
                answer = self.respond(message.head.path)
                self._write(answer, message.head.keeps_alive)
        except BadRequestError:
            self._close()

    def _write(self, answer: PageResponse, keep: bool) -> None:
        headers = [Header(b"Content-Length", b"%d" % len(answer.body))]
        if answer.content_type is not None:
            headers.insert(0, Header(b"Content-Type", answer.content_type))
        if not keep:
            headers.append(Header(b"Connection", b"close"))
        line = b"HTTP/1.1 %d %s" % (answer.status, answer.status.phrase.encode())
        if self.transport is not None:
            self.transport.write(render_head(line, headers) + answer.body)
        if not keep:
            self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

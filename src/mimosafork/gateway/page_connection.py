"""Connections for health and metrics pages of this instance."""

import asyncio
from abc import ABC, abstractmethod
from http import HTTPStatus
from typing import cast

import msgspec

from ..routing.table import ClientLimits
from .errors import BadRequestError
from .heads import Header, render_head
from .request_reader import RequestReader

PAGE_LIMITS = ClientLimits(header_bytes=4096, body_bytes=0)


class PageResponse(msgspec.Struct, frozen=True):
    """Response to a page request.

    Attributes
    ----------
    content_type : bytes or None
        None omits the header.
    """

    status: HTTPStatus
    body: bytes = b""
    content_type: bytes | None = None


class PageConnection(asyncio.Protocol, ABC):
    """Answers each request immediately; closes on a malformed request."""

    def __init__(self) -> None:
        self.reader = RequestReader(PAGE_LIMITS)
        self.transport: asyncio.Transport | None = None

    @abstractmethod
    def respond(self, path: str) -> PageResponse:
        """Return the response for a path."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer all complete requests."""
        self.reader.feed(data)
        try:
            while (message := self.reader.next_request()) is not None:
                response = self.respond(message.head.path)
                self._write(response, message.head.keeps_alive)
        except BadRequestError:
            self._close()

    def _write(self, response: PageResponse, keep: bool) -> None:
        headers = [Header(b"Content-Length", b"%d" % len(response.body))]
        if response.content_type is not None:
            headers.insert(0, Header(b"Content-Type", response.content_type))
        if not keep:
            headers.append(Header(b"Connection", b"close"))
        line = b"HTTP/1.1 %d %s" % (response.status, response.status.phrase.encode())
        if self.transport is not None:
            self.transport.write(render_head(line, headers) + response.body)
        if not keep:
            self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

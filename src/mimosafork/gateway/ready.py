"""Answers the balancer's question whether this instance takes new connections."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

from ..routing.table import ClientLimits
from .errors import BadRequestError
from .heads import Header, render_head
from .request_reader import RequestReader

ANSWER_LIMITS = ClientLimits(header_bytes=4096, body_bytes=0)


class ReadyConnection(asyncio.Protocol):
    """Answers each request with 200 or 503.

    It runs in the loop that serves the callers, so that a loop which stands still
    answers nothing and is taken out of rotation.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready
        self.reader = RequestReader(ANSWER_LIMITS)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Answer the requests that are whole."""
        self.reader.feed(data)
        try:
            while (message := self.reader.next_request()) is not None:
                self._answer(message.head.keeps_alive)
        except BadRequestError:
            self._close()

    def _answer(self, keep: bool) -> None:
        ready = self.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        headers = [Header(b"Content-Length", b"0")]
        if not keep:
            headers.append(Header(b"Connection", b"close"))
        line = b"HTTP/1.1 %d %s" % (status, status.phrase.encode())
        if self.transport is not None:
            self.transport.write(render_head(line, headers))
        if not keep:
            self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

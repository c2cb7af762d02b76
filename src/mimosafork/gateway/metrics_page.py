"""Serves the metrics page."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from .errors import BadRequestError
from .heads import Header, render_head
from .ready import ANSWER_LIMITS
from .request_reader import RequestReader

if TYPE_CHECKING:
    from ..telemetry.metrics import Metrics

METRICS_PATH = "/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def new_metrics() -> "Metrics":
    """Return new metrics; to be called in a thread of its own.

    OpenTelemetry's SDK takes over half a second of a small machine to load. An
    instance is ready without it, and its loop must not stand still meanwhile.
    """
    from ..telemetry.metrics import Metrics

    return Metrics()


class MetricsConnection(asyncio.Protocol):
    """Answers each request for the page, and others with 404.

    Parameters
    ----------
    page : callable
        Returns the page as it is now.
    """

    def __init__(self, page: Callable[[], bytes]) -> None:
        self.page = page
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
                self._answer(message.head.path, message.head.keeps_alive)
        except BadRequestError:
            self._close()

    def _answer(self, path: str, keep: bool) -> None:
        found = path == METRICS_PATH
        status = HTTPStatus.OK if found else HTTPStatus.NOT_FOUND
        body = self.page() if found else b""
        headers = [
            Header(b"Content-Type", CONTENT_TYPE),
            Header(b"Content-Length", b"%d" % len(body)),
        ]
        if not keep:
            headers.append(Header(b"Connection", b"close"))
        line = b"HTTP/1.1 %d %s" % (status, status.phrase.encode())
        if self.transport is not None:
            self.transport.write(render_head(line, headers) + body)
        if not keep:
            self._close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

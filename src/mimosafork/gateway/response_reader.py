"""Incremental parser for HTTP responses from endpoints."""

from collections.abc import Callable

import httptools
import msgspec

from ..network.responses import (
    INTERIM_STATUSES,
    MAX_INTERIM_RESPONSES,
    MAX_NON_BODY_BYTES,
    VALID_STATUSES,
)
from .errors import BadResponseError
from .heads import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    connection_tokens,
    first_header_value,
)

BODILESS_STATUSES = frozenset({204, 304})

MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BYTES = 256 * 1024
"""Limits on responses to other requests, and on the bytes of their bodies, while one
response is expected. An endpoint in trouble may send them without end."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status line and headers of a response.

    Attributes
    ----------
    framed : bool
        Whether the response delimits its own body; otherwise closing the connection
        ends it.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    framed: bool

    @property
    def closes(self) -> bool:
        """Whether the endpoint closes the connection after this response."""
        return not self.framed or b"close" in connection_tokens(self.headers)


def accept_any(headers: tuple[Header, ...]) -> bool:
    """Take any response for the expected one."""
    return True


class ResponseSink(msgspec.Struct, frozen=True):
    """Callbacks for the head, the body and the end of a response.

    Attributes
    ----------
    accepts : callable
        Returns whether a response belongs to the request; others are skipped.
    """

    head: Callable[[ResponseHead], None]
    data: Callable[[bytes], None]
    end: Callable[[], None]
    accepts: Callable[[tuple[Header, ...]], bool] = accept_any


class ResponseReader:
    """Parses the responses on one connection.

    Attributes
    ----------
    sink : ResponseSink or None
        None while no response is expected.
    unexpected_bytes : bool
        Bytes that belong to no request were received; the connection must not be
        reused.
    skipping : bool
        A response to another request is being skipped.
    skipped : int
        Number of responses skipped since the latest request.
    """

    def __init__(self) -> None:
        self.sink: ResponseSink | None = None
        self.unexpected_bytes = False
        self.bodiless = False
        self.open = False
        self.framed = True
        self.status = 0
        self.reason = b""
        self.headers: list[Header] = []
        self.non_body_bytes = 0
        self.interim_count = 0
        self.skipping = False
        self.skipped = 0
        self.skipped_bytes = 0
        self.parser = httptools.HttpResponseParser(self)

    def expect(self, sink: ResponseSink, without_body: bool) -> None:
        """Expect a response; `without_body` marks the response to a HEAD request."""
        self.sink = sink
        self.bodiless = without_body
        self.interim_count = self.skipped = self.skipped_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        The parser buffers a line until its end and accepts any number of lines, so an
        endpoint that never ends its head or trailers would exhaust memory. Bytes
        outside a body are counted, and a response beyond the limit is malformed.

        Raises
        ------
        BadResponseError
            If a response is expected and the bytes are malformed.
        """
        self.non_body_bytes += len(data)
        self._parse(data)
        if self.non_body_bytes > MAX_NON_BODY_BYTES:
            self.unexpected_bytes = True
            if self.sink is not None:
                raise BadResponseError(
                    "response head or trailers exceed the size limit"
                )

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # The parser wraps exceptions of its callbacks. Except for exceeded limits,
            # they are bugs of this program and must not be reported as malformed bytes
            # of the endpoint.
            self.unexpected_bytes = True
            raise error.__context__ or error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.unexpected_bytes = True
            if self.sink is not None:
                raise BadResponseError(f"malformed HTTP response: {error}") from None

    def finish(self) -> bool:
        """Handle an orderly EOF; return whether it completed a response."""
        if self.sink is None or not self.open or self.framed:
            return False
        self._end()
        return True

    def on_message_begin(self) -> None:
        """Start a response."""
        if self.sink is None:
            self.unexpected_bytes = True
        self.headers = []
        self.reason = b""

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Collect a header; drop trailers, which follow the head."""
        if self.open:
            return
        self.headers.append(Header(name, value or b""))

    def on_headers_complete(self) -> None:
        """Pass the head to the sink, unless it is an interim response.

        Raises
        ------
        BadResponseError
            If the status is invalid, or there are too many interim responses, or
            responses to other requests.
        """
        self.status = self.parser.get_status_code()
        if self.sink is None:
            return
        if self.status not in VALID_STATUSES:
            raise BadResponseError(f"invalid status {self.status}")
        if self.status in INTERIM_STATUSES:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise BadResponseError("too many interim responses")
            return
        headers = tuple(self.headers)
        if not self.sink.accepts(headers):
            self._skip()
            return
        length = first_header_value(headers, CONTENT_LENGTH)
        coding = first_header_value(headers, TRANSFER_ENCODING)
        bodiless = self.bodiless or self.status in BODILESS_STATUSES
        self.framed = bodiless or length is not None or coding is not None
        self.open = True
        self.sink.head(ResponseHead(self.status, self.reason, headers, self.framed))
        if self.bodiless:
            # The parser doesn't know that the request was HEAD. Unless the head itself
            # rules out a body, the parser would read the next response as this one's
            # body and that call would never complete. Don't reuse the connection.
            ruled_out = self.status in BODILESS_STATUSES or (
                length == b"0" and coding is None
            )
            self.unexpected_bytes = self.unexpected_bytes or not ruled_out
            self._end()

    def _skip(self) -> None:
        """Skip a response to another request; the expected one may follow.

        Raises
        ------
        BadResponseError
            If there are too many.
        """
        self.skipping = True
        self.skipped += 1
        if self.skipped > MAX_SKIPPED_RESPONSES:
            raise BadResponseError("too many responses to other requests")

    def on_body(self, body: bytes) -> None:
        """Pass body bytes to the sink.

        Raises
        ------
        BadResponseError
            If a response to another request is too long.
        """
        self.non_body_bytes = 0
        if self.skipping:
            self.skipped_bytes += len(body)
            if self.skipped_bytes > MAX_SKIPPED_BYTES:
                raise BadResponseError("a response to another request is too long")
            return
        if self.open and self.sink is not None:
            self.sink.data(body)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self.skipping:
            self.skipping = False
            self.non_body_bytes = 0
            return
        if self.open and self.framed:
            self._end()

    def _end(self) -> None:
        self.open = False
        self.non_body_bytes = 0
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.end()

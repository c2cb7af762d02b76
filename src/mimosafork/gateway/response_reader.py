"""Reads answers from an endpoint's bytes."""

from collections.abc import Callable

import httptools
import msgspec

from .errors import BadResponseError
from .heads import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
    connection_tokens,
    first_header_value,
)

BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200

MAX_NON_BODY_BYTES = 64 * 1024
"""Bytes of an answer in a row that belong to no body: its head with the interim ones
before it, its trailers, a chunk's extensions. Real ones have a few hundred."""


class ResponseHead(msgspec.Struct, frozen=True):
    """An answer's status and headers.

    Attributes
    ----------
    framed : bool
        The answer says where it ends; otherwise its connection's end does.
    """

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    framed: bool

    @property
    def closes(self) -> bool:
        """Whether the endpoint closes the connection after it."""
        return not self.framed or b"close" in connection_tokens(self.headers)


class ResponseSink(msgspec.Struct, frozen=True):
    """Who hears of an answer's parts."""

    head: Callable[[ResponseHead], None]
    data: Callable[[bytes], None]
    end: Callable[[], None]


class ResponseReader:
    """Parses the answers on one connection.

    Attributes
    ----------
    sink : ResponseSink or None
        None while no answer is awaited.
    stray : bool
        Bytes came that belong to no request; the connection must not be used again.
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
        self.parser = httptools.HttpResponseParser(self)

    def expect(self, sink: ResponseSink, without_body: bool) -> None:
        """Await an answer; `without_body` for one to a HEAD request."""
        self.sink = sink
        self.bodiless = without_body

    def feed(self, data: bytes) -> None:
        """Take bytes.

        Guard: the parser keeps a line until it ends and hands on any number of them,
        so that an endpoint which never ends a head or its trailers would fill the
        memory. What isn't body is counted, and is no answer beyond a bound.

        Raises
        ------
        BadAnswerError
            If an answer is awaited and these bytes are none.
        """
        self.non_body_bytes += len(data)
        self._parse(data)
        if self.non_body_bytes > MAX_NON_BODY_BYTES:
            self.unexpected_bytes = True
            if self.sink is not None:
                raise BadResponseError("a head or trailers without end")

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # The parser wraps what its callbacks raise. That is a fault of this
            # program: taken for the endpoint's bytes it would never be seen.
            self.unexpected_bytes = True
            raise error.__context__ or error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.unexpected_bytes = True
            if self.sink is not None:
                raise BadResponseError(f"no answer in the protocol: {error}") from None

    def finish(self) -> bool:
        """Note the connection's orderly end; return whether it ended an answer."""
        if self.sink is None or not self.open or self.framed:
            return False
        self._end()
        return True

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self.sink is None:
            self.unexpected_bytes = True
        self.headers = []
        self.reason = b""

    def on_status(self, status: bytes) -> None:
        """Keep the reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Keep a header; what comes behind the head are trailers, which end here."""
        if self.open:
            return
        self.headers.append(Header(name, value or b""))

    def on_headers_complete(self) -> None:
        """Hand the head on, unless it is an interim one."""
        self.status = self.parser.get_status_code()
        if self.sink is None or self.status < FIRST_FINAL_STATUS:
            return
        length = first_header_value(self.headers, CONTENT_LENGTH)
        coding = first_header_value(self.headers, TRANSFER_ENCODING)
        bodiless = self.bodiless or self.status in BODILESS_STATUSES
        self.framed = bodiless or length is not None or coding is not None
        self.open = True
        head = ResponseHead(self.status, self.reason, tuple(self.headers), self.framed)
        self.sink.head(head)
        if self.bodiless:
            # The parser doesn't know that the request was HEAD. Unless the head
            # itself rules a body out, it would take the next answer for this one's
            # body: a call whose answer never comes. The connection ends instead.
            ruled_out = self.status in BODILESS_STATUSES or (
                length == b"0" and coding is None
            )
            self.unexpected_bytes = self.unexpected_bytes or not ruled_out
            self._end()

    def on_body(self, body: bytes) -> None:
        """Hand a part of the body on."""
        self.non_body_bytes = 0
        if self.open and self.sink is not None:
            self.sink.data(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.open and self.framed:
            self._end()

    def _end(self) -> None:
        self.open = False
        self.non_body_bytes = 0
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.end()

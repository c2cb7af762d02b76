"""Reading of an endpoint's HTTP response as its bytes come in."""

import httptools

from ..network.responses import (
    INTERIM_STATUSES,
    MAX_INTERIM_RESPONSES,
    MAX_NON_BODY_BYTES,
    VALID_STATUSES,
)
from .errors import InvalidAnswerError

MAX_WHOLE_BODY = 64 << 20
"""Longest body that is collected whole, in bytes."""


class ResponseReader:
    """Parses one response.

    Attributes
    ----------
    status : int or None
        None until the head is complete.
    headers : list of tuple of (bytes, bytes)
        In the order in which they came.
    complete : bool
        The body has ended as its framing says.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status: int | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.complete = False
        self.ends_with_connection = True
        self.parts: list[bytes] = []
        self.non_body_bytes = 0
        self.interim_count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the body bytes that `data` carries.

        Raises
        ------
        InvalidAnswerError
            If it is not HTTP, or too long outside its body: the parser keeps a line
            until it ends.
        """
        self.non_body_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise InvalidAnswerError(f"not an HTTP response: {error}") from error
        if self.non_body_bytes > MAX_NON_BODY_BYTES and not self.complete:
            raise InvalidAnswerError("the head or the trailers do not end")
        parts = self.parts
        if len(parts) == 1:
            return parts.pop()
        body = b"".join(parts)
        parts.clear()
        return body

    def connection_ended(self) -> bool:
        """Return whether the body is whole now that the connection has ended.

        Only a response without length and without chunks ends that way; every
        other one has been cut off.
        """
        if not self.complete and self.status is not None and self.ends_with_connection:
            self.complete = True
        return self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; called by the parser."""
        self.headers.append((name, value))
        if name.lower() in {b"content-length", b"transfer-encoding"}:
            self.ends_with_connection = False

    def on_headers_complete(self) -> None:
        """Note the status; called by the parser.

        An interim response (1xx) is no answer: the one behind it counts.

        Raises
        ------
        InvalidAnswerError
            If the status is invalid, or there are too many interim responses.
        """
        status = self.parser.get_status_code()
        if status not in VALID_STATUSES:
            raise InvalidAnswerError(f"invalid status {status}")
        if status not in INTERIM_STATUSES:
            self.status = status
            return
        self.interim_count += 1
        if self.interim_count > MAX_INTERIM_RESPONSES:
            raise InvalidAnswerError("too many interim responses")

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body; called by the parser."""
        self.non_body_bytes = 0
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """Note the end; called by the parser."""
        if self.status is None:
            self.headers.clear()
            self.ends_with_connection = True
            return
        self.complete = True

"""One connection to the store: a call at a time, parsed by httptools."""

import asyncio

import httptools
import msgspec

from ..network.errors import NoAnswerError
from ..network.responses import INTERIM_STATUSES, VALID_STATUSES
from . import names

MAX_ERA_DIGITS = 15
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Limit on one answer, well above 500 rows of the largest size."""

STORE_ERA = names.STORE_ERA.lower()


class Answer(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Without its framing.
    keep : bool
        The connection takes another call.
    era : int or None
        The store's era; None if the answer states none that can be read.
    """

    status: int
    body: bytes
    keep: bool
    era: int | None = None


class Channel(asyncio.Protocol):
    """An open connection that carries one call at a time.

    Attributes
    ----------
    idle_since : float
        Loop time in seconds of the last whole answer, or of the opening.
    received : int
        Bytes received since the latest call was sent.
    surplus : bool
        Whether bytes followed the whole answer; they belong to no call.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[Answer] | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.body: list[bytes] = []
        self.era: int | None = None
        self.idle_since = 0.0
        self.received = 0
        self.surplus = False

    @property
    def usable(self) -> bool:
        """Whether another call may be sent."""
        return self.transport is not None and not self.transport.is_closing()

    async def exchange(self, request: bytes) -> Answer:
        """Send a call and wait for its whole answer.

        Raises
        ------
        NoAnswerError
            If the connection ends first; it is then of no more use.
        """
        loop = asyncio.get_running_loop()
        assert self.transport is not None
        self.waiter = loop.create_future()
        self.start_answer()
        self.transport.write(request)
        try:
            answer = await self.waiter
        # Guard: a call given up (its time-out cancels it) leaves its answer on the
        # way. Read as the answer of the next call, it would show rows of another
        # table. So a connection never outlives a call without an answer.
        except BaseException:
            self.abort()
            raise
        finally:
            self.waiter = None
            self.parser = None
        self.idle_since = loop.time()
        if self.surplus or not answer.keep:
            self.abort()
        return answer

    def start_answer(self) -> None:
        """Expect a new answer."""
        self.body = []
        self.era = None
        self.received = 0
        self.parser = httptools.HttpResponseParser(self)

    def abort(self) -> None:
        """Drop the connection without waiting."""
        if self.transport is not None:
            self.transport.abort()

    def fail(self, why: str) -> None:
        """End the call that waits, if one does."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(NoAnswerError(why))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, as asyncio tells it."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.idle_since = asyncio.get_running_loop().time()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; bytes that belong to no call end the connection."""
        if self.parser is None:
            self.abort()
            return
        if self.waiter is None or self.waiter.done():
            self.surplus = True
            return
        self.received += len(data)
        if self.received > MAX_ANSWER_BYTES:
            self.fail("the answer is too long")
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(f"not an answer: {error}")
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call that waits."""
        self.fail(f"connection lost: {exc or 'closed'}")

    def on_message_begin(self) -> None:
        """Note an answer behind the awaited one, as the parser tells it."""
        if self.waiter is None or self.waiter.done():
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the store's era, as the parser tells it."""
        if name.lower() == STORE_ERA:
            self.era = era_of(value)

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body, as the parser tells it."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Hand the whole answer to the call that waits."""
        parser = self.parser
        assert parser is not None
        status = parser.get_status_code()
        if status in INTERIM_STATUSES:
            self.body = []
            return
        if status not in VALID_STATUSES:
            self.fail(f"not an answer: status {status}")
            self.abort()
            return
        if self.waiter is not None and not self.waiter.done():
            body = b"".join(self.body)
            keep = parser.should_keep_alive()
            self.waiter.set_result(Answer(status, body, keep, self.era))


def era_of(value: bytes) -> int | None:
    """Return the era in a header, or None if it is no whole number."""
    digits = value.strip()
    if not digits.isdigit() or len(digits) > MAX_ERA_DIGITS:
        return None
    return int(digits)

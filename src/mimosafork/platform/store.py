"""The platform's store: reads, the feed of a table, and writes under conditions."""

from base64 import b64decode, b64encode
from collections.abc import Awaitable, Sequence
from datetime import timedelta
from typing import NoReturn
from urllib.parse import urlencode

import msgspec

from ..directory.errors import (
    CallRejectedError,
    ConflictError,
    HistoryExpiredError,
    NotAllowedError,
    RowsError,
    StoreUnavailableError,
    UnknownResultError,
)
from ..directory.row_version import RowVersion
from ..directory.rows import ABSENT, Row, RowCondition, RowKey, RowPage, RowPut
from ..network.errors import NetworkError, NoAnswerError
from . import names
from .channel import Answer
from .documents import RowDocument, RowsDocument, WrittenDocument, decode
from .errors import DocumentError, SilentError
from .lane import CallLimits, Lane

OK = 200
FORBIDDEN = 403
GONE = 410
PRECONDITION_FAILED = 412
TOO_MANY = 429
SERVER_ERRORS = 500
SERVICE_UNAVAILABLE = 503

NOTHING_DONE = frozenset({TOO_MANY, SERVICE_UNAVAILABLE})
MILLISECOND = timedelta(milliseconds=1)


class StoreTimeouts(msgspec.Struct, frozen=True):
    """How long calls of the store may take.

    Attributes
    ----------
    connect : timedelta
        A new connection.
    call : timedelta
        A read or write, from the call to its whole answer.
    resend_after : timedelta
        A long poll may answer this much after the wait that it asked for; with
        the shortest wait it bounds how soon silence is found. While the store keeps
        silent, reads are sent again this often.
    """

    connect: timedelta = timedelta(seconds=1)
    call: timedelta = timedelta(seconds=2)
    resend_after: timedelta = timedelta(milliseconds=800)


class PreparedStore:
    """The store of the prepared platform, as `directory.rows.Rows`.

    Keeps a connection for each table that is read, as a long poll holds it, and one for
    writes. To be built where an asyncio loop runs.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeouts : StoreTimeouts, optional
        Bounds of its calls.

    Attributes
    ----------
    answered, unanswered : int
        Calls so far, by whether an answer came in time.
    era : int
        Latest era that an answer stated; 0 before the first one.
    """

    def __init__(self, address: str, timeouts: StoreTimeouts | None = None) -> None:
        self.address = address
        self.timeouts = timeouts or StoreTimeouts()
        self.answered = 0
        self.unanswered = 0
        self.era = 0
        self.writes = self.new_lane()
        self.reads: dict[str, Lane] = {}

    def new_lane(self) -> Lane:
        """Return a lane without a connection yet."""
        host, _, port = self.address.rpartition(":")
        return Lane(host, int(port), self.timeouts.connect)

    def lane_of(self, table: str) -> Lane:
        """Return the lane of a table's reads, which wait for no other table's."""
        if table not in self.reads:
            self.reads[table] = self.new_lane()
        return self.reads[table]

    async def read(
        self,
        table: str,
        part: str = "",
        start: str | None = None,
        end: str | None = None,
        limit: int | None = None,
    ) -> RowPage:
        """Read a part's rows with keys from `start` up to and without `end`."""
        query = {names.TABLE: table, names.PART: part}
        if start is not None:
            query[names.FROM] = start
        if end is not None:
            query[names.UP_TO] = end
        if limit is not None:
            query[names.LIMIT] = str(limit)
        request = self.get(names.ROWS_GET_PATH, query)
        timeouts = self.timeouts
        limits = CallLimits(timeouts.call, timedelta(0), timeouts.resend_after)
        return await self.page(self.lane_of(table), request, limits)

    async def changes(self, table: str, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait up to `wait` for changes of a table after a version."""
        query = {
            names.TABLE: table,
            names.AFTER: str(after.number),
            names.WAIT_MS: str(wait // MILLISECOND),
        }
        request = self.get(names.ROWS_FEED_PATH, query)
        resend_after = self.timeouts.resend_after
        limits = CallLimits(wait + resend_after, wait, resend_after)
        return await self.page(self.lane_of(table), request, limits)

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removes: Sequence[RowKey] = (),
        conditions: Sequence[RowCondition] = (),
    ) -> RowVersion:
        """Write all or nothing, in one part, and return the new version."""
        body = msgspec.json.encode(
            {
                names.CONDITIONS: [condition_fields(each) for each in conditions],
                names.PUTS: [put_fields(each) for each in puts],
                names.REMOVES: [name_fields(each) for each in removes],
            }
        )
        request = self.post(names.ROWS_TX_PATH, body)
        try:
            call = self.writes.call(request, self.timeouts.call)
            answer = await self.counted(call)
        except NoAnswerError as error:
            raise UnknownResultError(str(error)) from error
        except NetworkError as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status != OK:
            raise_for_write(answer)
        era = self.era_of(answer)
        check_eras(conditions, era)
        try:
            number = decode(answer.body, WrittenDocument).version
        except DocumentError as error:
            raise UnknownResultError(f"answer not read: {error}") from error
        return RowVersion(era, number)

    async def page(self, lane: Lane, request: bytes, limits: CallLimits) -> RowPage:
        """Send a call that reads rows.

        Raises
        ------
        RowsError
            By status; no answer to a read means that nothing was done.
        """
        was_answered = lane.patience == 1
        try:
            answer = await self.counted(lane.repeatable_call(request, limits))
        except NetworkError as error:
            # Not for a connection that merely ended: a feed that was dropped here
            # ends so, and would drop the one that took its place. Nor while a silence
            # goes on: the newest connections may be about to answer.
            if was_answered and isinstance(error, SilentError):
                self.drop_reads()
            raise StoreUnavailableError(str(error)) from error
        if answer.status != OK:
            raise rows_error(answer)
        try:
            return page_of(decode(answer.body, RowsDocument), self.era_of(answer))
        except DocumentError as error:
            raise StoreUnavailableError(f"answer not read: {error}") from error

    async def counted(self, call: Awaitable[Answer]) -> Answer:
        """Make a call, and count whether it was answered.

        Raises
        ------
        NetworkError
        """
        try:
            answer = await call
        except NetworkError:
            self.unanswered += 1
            raise
        self.answered += 1
        return answer

    def era_of(self, answer: Answer) -> int:
        """Return the era of an answer; one that states none is of the latest."""
        if answer.era is None:
            return self.era
        self.era = max(self.era, answer.era)
        return answer.era

    def drop_reads(self) -> None:
        """End the connections of all reads after one call met silence.

        Guard: connections fall silent together. The feed of a quiet table waits
        longest and would find it last, while a new configuration lies in the store.
        Ending a sound one costs a call and nothing else.
        """
        for lane in self.reads.values():
            lane.drop()

    def close(self) -> None:
        """Drop all connections."""
        self.writes.drop()
        self.drop_reads()

    def get(self, path: str, query: dict[str, str]) -> bytes:
        """Return a whole GET request."""
        target = f"{path}?{urlencode(query)}"
        return f"GET {target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode()

    def post(self, path: str, body: bytes) -> bytes:
        """Return a whole POST request."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


def raise_for_write(answer: Answer) -> NoReturn:
    """Raise what a write's answer other than success leaves open.

    Guard: a failure of the store that promises nothing may have come after the
    write took effect. Told as "not done", the caller would write again over it.
    """
    if answer.status >= SERVER_ERRORS and answer.status not in NOTHING_DONE:
        raise UnknownResultError(f"status {answer.status}")
    raise rows_error(answer)


def check_eras(conditions: Sequence[RowCondition], era: int) -> None:
    """Check that the conditions of a write held for the rows that were meant.

    A restored store gives out numbers again, so that a condition may hold for another
    row version than the one that was read.

    Raises
    ------
    UnknownResultError
        If the store was restored after a condition's version was read.
    """
    if any(each.version != ABSENT and each.version.era != era for each in conditions):
        raise UnknownResultError(f"the store was restored: era {era}")


def rows_error(answer: Answer) -> RowsError:
    """Return the error of an answer by which nothing was done."""
    status = answer.status
    why = f"status {status}"
    if status == GONE:
        return HistoryExpiredError(why)
    if status == PRECONDITION_FAILED:
        return ConflictError(why)
    if status == FORBIDDEN:
        return NotAllowedError(why)
    if status in NOTHING_DONE or status >= SERVER_ERRORS:
        return StoreUnavailableError(why)
    return CallRejectedError(why)


def page_of(document: RowsDocument, era: int) -> RowPage:
    """Translate an answer about rows."""
    rows = tuple(row_of(each, era) for each in document.rows)
    return RowPage(rows, RowVersion(era, document.version), document.truncated)


def row_of(document: RowDocument, era: int) -> Row:
    """Translate a row."""
    return Row(
        table=document.table,
        part=document.part,
        key=document.key,
        value=value_of(document),
        version=RowVersion(era, document.version),
        removed=document.removed,
    )


def value_of(document: RowDocument) -> bytes:
    """Return a row's value; one in another form than the store's is an empty one.

    Guard: an error here would cost the whole page, and no row of it be heard as long
    as this one stands. What is empty can be read by nobody, and is told as such.
    """
    try:
        return b64decode(document.value, validate=True)
    except ValueError:
        return b""


def name_fields(row: RowKey | RowPut | RowCondition) -> dict[str, str | int]:
    """Return the fields that name a row."""
    return {names.TABLE: row.table, names.PART: row.part, names.KEY: row.key}


def put_fields(row: RowPut) -> dict[str, str | int]:
    """Return the fields of a row to write."""
    return name_fields(row) | {names.VALUE: b64encode(row.value).decode("ascii")}


def condition_fields(condition: RowCondition) -> dict[str, str | int]:
    """Return the fields of a condition."""
    return name_fields(condition) | {names.ROW_VERSION: condition.version.number}

"""The metadata store: rows under conditions, ranges, feeds, and faults on demand."""

import asyncio
import base64
import binascii
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from http import HTTPStatus
from typing import Any

import msgspec

from ..errors import BadRequestError
from ..rate_limit import RateLimit
from .background import LoopThread
from .http import (
    MAX_BODY_BYTES,
    Answer,
    Connection,
    Listener,
    Request,
    whichever,
)
from .rows import FEED_ROWS, Expected, Put, Row, RowName, Rows, Transaction
from .words import (
    ROWS_FEED,
    ROWS_GET,
    ROWS_PARTS,
    ROWS_TX,
    TABLE_OPERATOR,
    TABLE_SERVERS,
)

MAX_WAIT_MS = 30_000
MAX_PARTS = 1000
MAX_CALL_NAME = 40
DEFAULT_ROW_BYTES = 65_536
LOSE_ALL = -1
EXPECT = "expect-rev"
PROTECTED_TABLES = frozenset({TABLE_OPERATOR, TABLE_SERVERS})
NO_DELAY = timedelta(0)


class Refusal(Enum):
    """How the store turns a call away."""

    SILENT = "silent"
    UNAVAILABLE = "503"
    TOO_MANY = "429"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """Callers that are refused while all others are served.

    Attributes
    ----------
    addresses : frozenset of str
        Source addresses (loopback has 127.0.0.2 and so on).
    header, values
        Or a header of the call that has one of these values.
    """

    how: Refusal
    addresses: frozenset[str] = frozenset()
    header: str = ""
    values: frozenset[str] = frozenset()

    def applies(self, request: Request) -> bool:
        """Say whether this call's sender is one of them."""
        if request.peer in self.addresses:
            return True
        return bool(self.header) and request.header(self.header) in self.values


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """What is wrong with the store, until it is told otherwise.

    Attributes
    ----------
    down : Refusal or None
        Calls are turned away, and nothing is done.
    tables : frozenset of str
        `down` goes for calls about these tables only; empty for all calls.
    delay : timedelta
        Calls are carried out and answered this much later.
    lost_answers : int
        So many writes more are done and not answered; `LOSE_ALL` for all of them.
        Their channels deliver nothing further.
    late_by : timedelta
        Writes get no answer and are done this much later, if they still may be.
    stale_reads : bool
        Reads see the rows as they were when this began.
    """

    down: Refusal | None = None
    tables: frozenset[str] = frozenset()
    delay: timedelta = NO_DELAY
    lost_answers: int = 0
    late_by: timedelta = NO_DELAY
    stale_reads: bool = False
    turned_away: TurnedAway | None = None


NO_FAULTS = StoreFaults()


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store takes.

    Attributes
    ----------
    row_bytes : int
        Longest value of a row.
    writes_per_s, reads_per_s : float
        Calls of all callers together; those beyond get 429. 0 for no limit.
    """

    row_bytes: int = DEFAULT_ROW_BYTES
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0


NO_LIMITS = StoreLimits()


class Store:
    """The platform's store on a loopback port.

    Parameters
    ----------
    thread : LoopThread
        Owns sockets and rows. All public methods may be called from any thread.
    limits : StoreLimits
        What it takes.
    """

    def __init__(self, thread: LoopThread, limits: StoreLimits = NO_LIMITS) -> None:
        self.thread = thread
        self.limits = limits
        self.write_rate = RateLimit(limits.writes_per_s)
        self.read_rate = RateLimit(limits.reads_per_s)
        self.rows = Rows()
        self.seen = self.rows
        self.faults = NO_FAULTS
        self.losses_left = 0
        self.calls: Counter[str] = Counter()
        self.changed: asyncio.Event
        self.listener = Listener(self._serve)

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:PORT``."""
        return self.listener.address

    def start(self) -> None:
        """Listen."""
        self.thread.run(self._open())

    def stop(self) -> None:
        """Reset all channels and listen no longer."""
        self.thread.call(self.listener.shut)

    def set_faults(self, faults: StoreFaults = NO_FAULTS) -> None:
        """Bring faults into force in place of those before."""
        self.thread.call(lambda: self._set_faults(faults))

    def drop_history(self) -> None:
        """Forget all changes; feeds that need them get 410."""
        self.thread.call(self._drop_history)

    def silence_connections(self) -> None:
        """Let open channels deliver nothing further; new ones work."""
        self.thread.call(self.listener.silence)

    def put(self, table: str, key: str, document: object, part: str = "") -> int:
        """Write a row as the operator and the endpoints do; return its version."""
        value = encode_value(document)
        put = Put(RowName(table, part, key), value)
        return self.write(Transaction(puts=(put,)))

    def remove(self, table: str, key: str, part: str = "") -> int:
        """Remove a row; return the newest version."""
        return self.write(Transaction(removed=(RowName(table, part, key),)))

    def write(self, transaction: Transaction) -> int:
        """Apply a transaction past all faults; return the newest version."""
        return self.thread.call(lambda: self._write(transaction))

    def read(self, table: str, key: str, part: str = "") -> Row | None:
        """Return a row past all faults."""
        name = RowName(table, part, key)
        return self.thread.call(lambda: self.rows.current(name))

    # From here on in the loop's thread.

    async def _open(self) -> None:
        self.changed = asyncio.Event()
        await self.listener.open()

    def _set_faults(self, faults: StoreFaults) -> None:
        self.seen = self.rows.copy() if faults.stale_reads else self.rows
        self.losses_left = faults.lost_answers
        self.faults = faults
        self._wake()

    def _drop_history(self) -> None:
        self.rows.drop_history()
        self._wake()

    def _write(self, transaction: Transaction) -> int:
        self.rows.apply(transaction)
        self._wake()
        return self.rows.ver

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, request: Request, connection: Connection) -> None:
        if not await connection.body_arrived(request):
            return
        self.calls[f"{request.method} {request.path}"[:MAX_CALL_NAME]] += 1
        try:
            answer = await self._answer_unless_refused(request, connection)
        except (BadRequestError, msgspec.DecodeError, ValueError, KeyError) as error:
            answer = Answer.json(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        if answer is not None:
            connection.write(answer.encode())

    async def _answer_unless_refused(
        self, request: Request, connection: Connection
    ) -> Answer | None:
        refusal = self._refusal(request)
        if refusal is not None:
            refuse(refusal, connection)
            return None
        if self._too_many(request):
            return Answer(HTTPStatus.TOO_MANY_REQUESTS)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay.total_seconds())
        return await self._answer(request, connection)

    def _refusal(self, request: Request) -> Refusal | None:
        faults = self.faults
        concerned = not faults.tables or tables_of(request) & faults.tables
        if faults.down is not None and concerned:
            return faults.down
        away = faults.turned_away
        return away.how if away is not None and away.applies(request) else None

    def _too_many(self, request: Request) -> bool:
        rate = self.write_rate if request.path == ROWS_TX else self.read_rate
        return not rate.take(asyncio.get_running_loop().time())

    async def _answer(self, request: Request, connection: Connection) -> Answer | None:
        match request.method, request.path:
            case "POST", path if path == ROWS_TX:
                return self._transact(request, connection)
            case "GET", path if path == ROWS_GET:
                return self._get(request)
            case "GET", path if path == ROWS_FEED:
                return await self._feed(request, connection)
            case "GET", path if path == ROWS_PARTS:
                return self._parts(request)
        return Answer.json(HTTPStatus.NOT_FOUND, {"error": "no such call"})

    def _transact(self, request: Request, connection: Connection) -> Answer | None:
        transaction = decode_transaction(bytes(request.body), self.limits.row_bytes)
        written = {put.name.table for put in transaction.puts}
        written |= {name.table for name in transaction.removed}
        if written & PROTECTED_TABLES:
            return Answer.json(HTTPStatus.FORBIDDEN, {"error": "protected table"})
        if self.faults.late_by:
            connection.fall_silent()
            self._apply_later(transaction)
            return None
        answer = self._applied(transaction)
        if self._loses():
            connection.fall_silent()
            return None
        return answer

    def _apply_later(self, transaction: Transaction) -> None:
        async def later(delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            self._applied(transaction)

        self.listener.spawn(later(self.faults.late_by.total_seconds()))

    def _applied(self, transaction: Transaction) -> Answer:
        if self.rows.apply(transaction):
            self._wake()
            return Answer.json(HTTPStatus.OK, self._stamp(self.rows))
        found = [self.rows.current(each.name) for each in transaction.expected]
        document = self._stamp(self.rows)
        document["rows"] = [row_document(row) for row in found if row is not None]
        return Answer.json(HTTPStatus.PRECONDITION_FAILED, document)

    def _loses(self) -> bool:
        if self.losses_left == 0:
            return False
        if self.losses_left != LOSE_ALL:
            self.losses_left -= 1
        return True

    def _get(self, request: Request) -> Answer:
        start, end = request.query("from").encode(), request.query("target").encode()
        limit = min(int(request.query("limit", str(FEED_ROWS))), FEED_ROWS)
        listed = self.seen.listed(request.query("table"), request.query("part"))
        found = [row for row in listed if in_range(row.name.key.encode(), start, end)]
        document = self._stamp(self.seen)
        document["rows"] = [row_document(row) for row in found[:limit]]
        document["truncated"] = len(found) > limit
        return Answer.json(HTTPStatus.OK, document)

    async def _feed(self, request: Request, connection: Connection) -> Answer | None:
        table, after = request.query("table"), int(request.query("after", "0"))
        wait_ms = min(int(request.query("wait-ms", "0")), MAX_WAIT_MS)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000.0
        while self._nothing_new(table, after) and not connection.gone.is_set():
            left_s = end_s - loop.time()
            if left_s <= 0:
                break
            await whichever(
                self.changed.wait(), connection.gone.wait(), timeout_s=left_s
            )
        # What began while the call waited goes for it too.
        refusal = self._refusal(request)
        if refusal is not None:
            refuse(refusal, connection)
            return None
        return self._feed_answer(table, after)

    def _nothing_new(self, table: str, after: int) -> bool:
        return after >= self.seen.oldest and not self.seen.changes(table, after)

    def _feed_answer(self, table: str, after: int) -> Answer:
        if after < self.seen.oldest:
            return Answer.json(HTTPStatus.GONE, self._stamp(self.seen))
        changes = self.seen.changes(table, after)
        document = self._stamp(self.seen)
        if len(changes) >= FEED_ROWS:
            document["ver"] = changes[-1].ver
        document["rows"] = [row_document(row) for row in changes]
        return Answer.json(HTTPStatus.OK, document)

    def _parts(self, request: Request) -> Answer:
        after = request.query("after").encode()
        parts = self.seen.parts(request.query("table"))
        found = [part for part in parts if not after or part.encode() > after]
        document = self._stamp(self.seen)
        document["parts"] = found[:MAX_PARTS]
        return Answer.json(HTTPStatus.OK, document)

    def _stamp(self, rows: Rows) -> dict[str, Any]:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return {"ver": rows.ver, "now-ms": now_ms}


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Say whether a key lies in a range that excludes its end, if it has one."""
    return key >= start and (not end or key < end)


def refuse(refusal: Refusal, connection: Connection) -> None:
    """Turn a call away."""
    match refusal:
        case Refusal.SILENT:
            connection.fall_silent()
        case Refusal.RESET:
            connection.reset()
        case Refusal.UNAVAILABLE:
            connection.write(Answer(HTTPStatus.SERVICE_UNAVAILABLE).encode())
        case Refusal.TOO_MANY:
            connection.write(Answer(HTTPStatus.TOO_MANY_REQUESTS).encode())


def tables_of(request: Request) -> set[str]:
    """Return the tables that a call is about."""
    if request.path != ROWS_TX:
        return {request.query("table")}
    transaction = decode_transaction(bytes(request.body), MAX_BODY_BYTES)
    return {name.table for name in transaction.names}


def encode_value(document: object) -> str:
    """Return a row's value: JSON in base64."""
    return base64.b64encode(msgspec.json.encode(document)).decode()


def decode_value(value: str) -> Any:
    """Return what a row's value says."""
    return msgspec.json.decode(base64.b64decode(value))


def row_document(row: Row) -> dict[str, Any]:
    """Return a row as it stands in an answer."""
    document: dict[str, Any] = dict(row.name._asdict())
    document["ver"] = row.ver
    if row.value is None:
        document["tombstone"] = True
    else:
        document["value"] = row.value
    return document


def decode_transaction(body: bytes, row_bytes: int) -> Transaction:
    """Read the body of a transaction.

    Raises
    ------
    BadRequestError
        If the store would not take it.
    """
    document = msgspec.json.decode(body)
    transaction = Transaction(
        tuple(Expected(name_of(e), int(e["ver"])) for e in document.get(EXPECT, ())),
        tuple(Put(name_of(e), str(e["value"])) for e in document.get("puts", ())),
        tuple(name_of(e) for e in document.get("remove", ())),
        bool(document.get("across", False)),
    )
    transaction.check()
    for put in transaction.puts:
        check_value(put.value, row_bytes)
    return transaction


def name_of(entry: Any) -> RowName:
    """Return the row that an entry names."""
    return RowName(str(entry["table"]), str(entry.get("part", "")), str(entry["key"]))


def check_value(value: str, row_bytes: int) -> None:
    """Refuse a value that is not base64, or too long.

    Raises
    ------
    BadRequestError
        With what is wrong.
    """
    try:
        size = len(base64.b64decode(value, validate=True))
    except binascii.Error as error:
        raise BadRequestError("a value is not base64") from error
    if size > row_bytes:
        raise BadRequestError("a value is too long")

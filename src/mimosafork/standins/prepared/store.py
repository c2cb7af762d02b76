"""The metadata store: rows under conditions, ranges, feeds, and faults on demand."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec

from ..errors import BadRequestError
from ..rate_limit import RateLimit
from .background import LoopThread
from .http import Answer, Connection, Header, Listener, Request, whichever
from .row_answers import (
    applied_answer,
    conflict_answer,
    feed_answer,
    parts_answer,
    range_answer,
)
from .row_format import decode_transaction, encode_value, tables_of
from .rows import Put, Row, RowName, Rows, Transaction
from .store_faults import LOSE_ALL, NO_FAULTS, Refusal, StoreFaults, refuse
from .words import (
    ROWS_FEED,
    ROWS_GET,
    ROWS_PARTS,
    ROWS_TX,
    STORE_ERA,
    TABLE_OPERATOR,
    TABLE_SERVERS,
)

MAX_WAIT_MS = 30_000
MAX_CALL_NAME = 40
DEFAULT_ROW_BYTES = 65_536
PROTECTED_TABLES = frozenset({TABLE_OPERATOR, TABLE_SERVERS})


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
        self.thread.call(self.listener.release)

    def set_faults(self, faults: StoreFaults = NO_FAULTS) -> None:
        """Bring faults into force in place of those before."""
        self.thread.call(lambda: self._set_faults(faults))

    def drop_history(self) -> None:
        """Forget all changes; feeds that need them get 410."""
        self.thread.call(self._drop_history)

    def copy_rows(self) -> Rows:
        """Return a copy of all rows, from which the store can be restored."""
        return self.thread.call(self.rows.copy)

    def restore(self, copy: Rows) -> None:
        """Go on from a copy in the next era; what was written since is lost."""
        self.thread.call(lambda: self._restore(copy))

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

    def _restore(self, copy: Rows) -> None:
        self.rows = self.seen = copy.copy(era=self.rows.era + 1)
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
            stamped = replace(answer, headers=(*answer.headers, self._stamp))
            connection.write(stamped.encode())

    @property
    def _stamp(self) -> Header:
        return Header(STORE_ERA, str(self.rows.era))

    async def _answer_unless_refused(
        self, request: Request, connection: Connection
    ) -> Answer | None:
        refusal = self._refusal(request)
        if refusal is not None:
            refuse(refusal, connection, self._stamp)
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
                return range_answer(self.seen, request, self._now_ms())
            case "GET", path if path == ROWS_FEED:
                return await self._feed(request, connection)
            case "GET", path if path == ROWS_PARTS:
                return parts_answer(self.seen, request, self._now_ms())
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
            return applied_answer(self.rows, self._now_ms())
        found = [self.rows.current(each.name) for each in transaction.expected]
        return conflict_answer(self.rows, found, self._now_ms())

    def _loses(self) -> bool:
        if self.losses_left == 0:
            return False
        if self.losses_left != LOSE_ALL:
            self.losses_left -= 1
        return True

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
            refuse(refusal, connection, self._stamp)
            return None
        return feed_answer(self.seen, table, after, self._now_ms())

    def _nothing_new(self, table: str, after: int) -> bool:
        return self.seen.knows(after) and not self.seen.changes(table, after)

    def _now_ms(self) -> int:
        return int(asyncio.get_running_loop().time() * 1000)

"""In-memory table service with fault injection, for tests without sockets."""

from dataclasses import dataclass
from enum import Enum

from mimosafork.storage.errors import StoreUnavailableError, UnknownResultError
from mimosafork.storage.table import (
    ABSENT,
    PAGE_ROWS,
    Condition,
    Conflict,
    RowValue,
    TableRow,
    TransactionResult,
    Write,
)


class Fault(Enum):
    """Faults of the next transactions."""

    LOSE_ANSWER = "lose-answer"
    """The transaction takes effect; its answer is lost."""
    LOSE_CALL = "lose-call"
    """The transaction has no effect; there is no answer."""
    DELAY = "delay"
    """There is no answer; the transaction takes effect at `FakeTable.deliver`."""


@dataclass(frozen=True, slots=True)
class Transaction:
    """A requested transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


Place = tuple[str, str]


class FakeTable:
    """Implements `mimosafork.storage.table.Table`.

    Attributes
    ----------
    down : bool
        All calls fail without effect.
    faults : list of Fault
        Faults of the next transactions, in order.
    frozen : dict or None
        Rows that stale reads return, see `freeze_reads`.
    reads, transactions : int
        Calls that reached the store.
    """

    def __init__(self) -> None:
        self.rows: dict[Place, TableRow] = {}
        self.versions: dict[Place, int] = {}
        self.frozen: dict[Place, TableRow] | None = None
        self.down = False
        self.faults: list[Fault] = []
        self.delayed: list[Transaction] = []
        self.reads = 0
        self.transactions = 0

    def freeze_reads(self) -> None:
        """Make reads return the current rows until `thaw_reads`."""
        self.frozen = dict(self.rows)

    def thaw_reads(self) -> None:
        """End `freeze_reads`."""
        self.frozen = None

    def deliver(self) -> None:
        """Apply the delayed transactions."""
        delayed, self.delayed = self.delayed, []
        for each in delayed:
            self._do(each)

    def get(self, table: str, key: str) -> TableRow | None:
        """Return a row, or None."""
        self._refuse_if_down()
        self.reads += 1
        return self._seen().get((table, key))

    def page(
        self, table: str, prefix: str = "", after: str = "", limit: int = PAGE_ROWS
    ) -> tuple[TableRow, ...]:
        """Return up to `limit` rows after a key, in key order."""
        self._refuse_if_down()
        self.reads += 1
        found = [
            row
            for (name, key), row in sorted(self._seen().items())
            if name == table and key.startswith(prefix) and key > after
        ]
        return tuple(found[:limit])

    def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> TransactionResult:
        """Apply all writes or none, or fail according to `faults`."""
        self._refuse_if_down()
        self.transactions += 1
        called = Transaction(conditions, writes)
        fault = self.faults.pop(0) if self.faults else None
        if fault is None:
            return self._do(called)
        if fault is Fault.LOSE_ANSWER:
            self._do(called)
        if fault is Fault.DELAY:
            self.delayed.append(called)
        raise UnknownResultError("the connection ended without an answer")

    def _refuse_if_down(self) -> None:
        if self.down:
            raise StoreUnavailableError("the store is down")

    def _seen(self) -> dict[Place, TableRow]:
        return self.rows if self.frozen is None else self.frozen

    def _do(self, called: Transaction) -> TransactionResult:
        conflicts = tuple(
            self._conflict(each)
            for each in called.conditions
            if self._version(each.table, each.key) != each.version
        )
        if conflicts:
            return TransactionResult(False, conflicts=conflicts)
        versions = tuple(
            self._write(each.table, each.key, each.value) for each in called.writes
        )
        return TransactionResult(True, versions)

    def _version(self, table: str, key: str) -> int:
        row = self.rows.get((table, key))
        return ABSENT if row is None else row.version

    def _conflict(self, condition: Condition) -> Conflict:
        row = self.rows.get((condition.table, condition.key))
        if row is None:
            return Conflict(condition.table, condition.key, ABSENT, None)
        return Conflict(condition.table, condition.key, row.version, row.value)

    def _write(self, table: str, key: str, value: RowValue | None) -> int:
        place = (table, key)
        version = self.versions.get(place, ABSENT) + 1
        self.versions[place] = version
        if value is None:
            self.rows.pop(place, None)
        else:
            self.rows[place] = TableRow(key, version, value)
        return version

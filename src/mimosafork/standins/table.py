"""Stand-in for the platform's transactional table service."""

from dataclasses import dataclass, field
from functools import singledispatchmethod
from http import HTTPStatus
from typing import Any

from ..clock import Clock
from .base import Standin
from .faults import Fault, LoseAnswers, StaleReads
from .history import Versioned, VersionedMap
from .http import Call, HttpAnswer, Router
from .http.messages import error_answer
from .rate_limit import RateLimit

DEFAULT_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class Row:
    """A row as reads show it."""

    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class RowPage:
    """Some rows in the order of their keys."""

    rows: list[Row]


@dataclass(frozen=True, slots=True)
class Condition:
    """What a transaction expects of a row; version 0: it does not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """What a transaction writes; the value None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are done together if every condition holds."""

    conditions: list[Condition] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Committed:
    """The writes were done; one version for each."""

    versions: list[int]
    committed: bool = True


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition that does not hold, with the row as it is."""

    table: str
    key: str
    version: int
    value: Any


@dataclass(frozen=True, slots=True)
class Rejected:
    """No write was done."""

    conflicts: list[Conflict]
    committed: bool = False


@dataclass(frozen=True, slots=True)
class TransactionEntry:
    """A transaction in the journal."""

    event: str
    instance: str
    writes: list[Write]
    versions: list[int]
    answered: bool
    at_s: float


class TableStore:
    """Tables of versioned rows with conditional transactions."""

    def __init__(self) -> None:
        self.tables: dict[str, VersionedMap[dict[str, Any]]] = {}

    def rows(self, table: str) -> VersionedMap[dict[str, Any]]:
        """Return a table, which need not be created before."""
        return self.tables.setdefault(table, VersionedMap())

    def commit(self, transaction: Transaction, now_s: float) -> Committed | Rejected:
        """Do all writes of a transaction, or none if a condition fails."""
        conflicts = []
        for condition in transaction.conditions:
            conflict = self._conflict(condition)
            if conflict is not None:
                conflicts.append(conflict)
        if conflicts:
            return Rejected(conflicts)
        versions = []
        for write in transaction.writes:
            rows = self.rows(write.table)
            versions.append(rows.put(write.key, write.value, now_s))
        return Committed(versions)

    def _conflict(self, condition: Condition) -> Conflict | None:
        row = self.rows(condition.table).get(condition.key)
        current = row.version if row.value is not None else 0
        if current == condition.version:
            return None
        return Conflict(condition.table, condition.key, current, row.value)


@dataclass(frozen=True, slots=True)
class TableLimits:
    """What the table service takes; a call beyond it is answered 503, not done.

    Parameters
    ----------
    transactions_per_s, reads_per_s : float
        Calls a second, with as many at once after a pause; 0: no limit.
    """

    transactions_per_s: float = 0.0
    reads_per_s: float = 0.0


UNLIMITED = TableLimits()


class TableStandin(Standin):
    """Table service on HTTP.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : TableLimits
        What it takes; without limits if left out.
    """

    def __init__(self, clock: Clock, limits: TableLimits = UNLIMITED) -> None:
        self.store = TableStore()
        self.transaction_limit = RateLimit(limits.transactions_per_s)
        self.read_limit = RateLimit(limits.reads_per_s)
        self.stale_s = 0.0
        super().__init__(clock, "table-standin")

    def add_routes(self, router: Router) -> None:
        """Add the routes of this system."""
        router.add("GET", "/v1/tables/{table}/rows", self._list_rows)
        router.add("GET", "/v1/tables/{table}/rows/{key}", self._get_row)
        router.add("POST", "/v1/transactions", self._transact)

    @singledispatchmethod
    def apply_fault(self, fault: Fault) -> None:
        """Bring a fault into force."""
        super().apply_fault(fault)

    @apply_fault.register
    def _(self, fault: LoseAnswers) -> None:
        self.answers_to_lose = fault.count

    @apply_fault.register
    def _(self, fault: StaleReads) -> None:
        self.stale_s = fault.seconds

    def clear_faults(self) -> None:
        """End the faults that last."""
        super().clear_faults()
        self.stale_s = 0.0

    def _read(self, table: str, key: str) -> Versioned[dict[str, Any]]:
        rows = self.store.rows(table)
        if self.stale_s > 0:
            return rows.get_at(key, self.loop.now_s() - self.stale_s)
        return rows.get(key)

    def _get_row(self, call: Call) -> HttpAnswer:
        if not self.read_limit.take(self.loop.now_s()):
            return _too_many()
        key = call.values["key"]
        row = self._read(call.values["table"], key)
        if row.value is None:
            return error_answer(HTTPStatus.NOT_FOUND, "no such row")
        return HttpAnswer.json(Row(key, row.version, row.value))

    def _list_rows(self, call: Call) -> HttpAnswer:
        if not self.read_limit.take(self.loop.now_s()):
            return _too_many()
        table = call.values["table"]
        query = call.request.query
        limit = call.request.number("limit", DEFAULT_LIMIT)
        rows: list[Row] = []
        keys = self.store.rows(table).keys_from(
            query.get("prefix", ""), query.get("after", "")
        )
        for key in keys:
            if len(rows) == limit:
                break
            row = self._read(table, key)
            if row.value is not None:
                rows.append(Row(key, row.version, row.value))
        return HttpAnswer.json(RowPage(rows))

    def _transact(self, call: Call) -> HttpAnswer | None:
        transaction = call.request.decode(Transaction)
        if not self.transaction_limit.take(self.loop.now_s()):
            return _too_many()
        result = self.store.commit(transaction, self.loop.now_s())
        is_answered = not self.loses_answer()
        self._record(call, transaction, result, is_answered)
        if not is_answered:
            call.exchange.reset()
            return None
        if isinstance(result, Rejected):
            return HttpAnswer.json(result, HTTPStatus.CONFLICT)
        return HttpAnswer.json(result)

    def _record(
        self,
        call: Call,
        transaction: Transaction,
        result: Committed | Rejected,
        is_answered: bool,
    ) -> None:
        is_committed = isinstance(result, Committed)
        self.journal.add(
            TransactionEntry(
                event="committed" if is_committed else "rejected",
                instance=call.request.instance,
                writes=transaction.writes,
                versions=result.versions if isinstance(result, Committed) else [],
                answered=is_answered,
                at_s=self.journal.at_s(),
            )
        )


def _too_many() -> HttpAnswer:
    return error_answer(HTTPStatus.SERVICE_UNAVAILABLE, "too many calls a second")

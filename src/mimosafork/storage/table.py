"""Client of the table service: versioned rows and multi-row transactions."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar
from urllib.parse import quote, urlencode

from ..network.errors import NetworkError, NeverSentError
from ..network.http import Answer, HttpClient
from .breaker import CircuitBreaker
from .errors import CallRejectedError, StoreUnavailableError, UnknownResultError

T = TypeVar("T")

RowValue = Mapping[str, Any]
"""JSON object of a row. Each user of a table converts it from and to a dataclass of its
own, so that nothing else handles untyped maps."""

ABSENT = 0
"""Version in a condition that requires the row not to exist."""

PAGE_ROWS = 500
OK = 200
CONFLICT = 409
NOT_FOUND = 404
TOO_MANY = 429
UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row; the read may be stale."""

    key: str
    version: int
    value: RowValue


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition of a transaction.

    Attributes
    ----------
    version : int
        Required current version of the row; `ABSENT` if it must not exist.
    """

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """One write of a transaction.

    Attributes
    ----------
    value : RowValue or None
        None deletes the row.
    """

    table: str
    key: str
    value: RowValue | None


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition that did not hold, and the row as the transaction saw it.

    Attributes
    ----------
    version : int
        `ABSENT` if the row does not exist.
    """

    table: str
    key: str
    version: int
    value: RowValue | None


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """Result of a transaction.

    Attributes
    ----------
    committed : bool
        If False, nothing was written; `conflicts` holds the reasons.
    versions : tuple of int
        New version of each written row, in the order of the writes.
    """

    committed: bool
    versions: tuple[int, ...] = ()
    conflicts: tuple[Conflict, ...] = ()

    def conflict_on(self, table: str, key: str) -> Conflict | None:
        """Return the conflict on a row, or None."""
        for conflict in self.conflicts:
            if (conflict.table, conflict.key) == (table, key):
                return conflict
        return None


class Table(Protocol):
    """Interface of the table service, implemented by `TableClient` and test fakes."""

    def get(self, table: str, key: str) -> TableRow | None:
        """Return a row, or None; possibly stale.

        Raises
        ------
        StoreUnavailableError
        """
        ...

    def page(
        self, table: str, prefix: str = "", after: str = "", limit: int = PAGE_ROWS
    ) -> tuple[TableRow, ...]:
        """Return up to `limit` rows after a key, in key order; possibly stale.

        Raises
        ------
        StoreUnavailableError
        """
        ...

    def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> TransactionResult:
        """Apply all writes if all conditions hold, otherwise none.

        Raises
        ------
        StoreUnavailableError
            The transaction had no effect and will have none later.
        UnknownResultError
            The transaction may have taken effect or may still do so.
        """
        ...


def all_rows(store: Table, table: str, prefix: str = "") -> Iterator[TableRow]:
    """Iterate over the rows of a table in key order, page by page.

    Raises
    ------
    StoreUnavailableError
    """
    after = ""
    while True:
        rows = store.page(table, prefix, after, PAGE_ROWS)
        yield from rows
        if len(rows) < PAGE_ROWS:
            return
        after = rows[-1].key


class TableClient:
    """HTTP client of the table service; thread-safe.

    Parameters
    ----------
    http : HttpClient
        Its answer timeout bounds each call.
    address : str
        ``IP:PORT``.
    breaker : CircuitBreaker
        Shared by all users of this service in the process.
    """

    def __init__(self, http: HttpClient, address: str, breaker: CircuitBreaker) -> None:
        self.http = http
        self.address = address
        self.breaker = breaker

    def get(self, table: str, key: str) -> TableRow | None:
        """Return a row, or None; possibly stale.

        Raises
        ------
        StoreUnavailableError
        """
        path = f"/v1/tables/{quote(table, '')}/rows/{quote(key, '')}"
        answer = self.breaker.run(lambda: self._read(path))
        if answer.status == NOT_FOUND:
            return None
        return _decoded(answer, TableRow)

    def page(
        self, table: str, prefix: str = "", after: str = "", limit: int = PAGE_ROWS
    ) -> tuple[TableRow, ...]:
        """Return up to `limit` rows after a key, in key order; possibly stale.

        Raises
        ------
        StoreUnavailableError
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        path = f"/v1/tables/{quote(table, '')}/rows?{query}"
        answer = self.breaker.run(lambda: self._read(path))
        if answer.status == NOT_FOUND:
            return ()
        return _decoded(answer, _Page).rows

    def transact(
        self, conditions: tuple[Condition, ...], writes: tuple[Write, ...]
    ) -> TransactionResult:
        """Apply all writes if all conditions hold, otherwise none.

        Raises
        ------
        StoreUnavailableError
            The transaction had no effect and will have none later.
        UnknownResultError
            The transaction may have taken effect or may still do so.
        """
        body = _Transaction(conditions, writes)
        return self.breaker.run(lambda: self._write(body))

    def _read(self, path: str) -> Answer:
        try:
            answer = self.http.call("GET", self.address, path)
        except NetworkError as error:
            raise StoreUnavailableError(f"the row was not read: {error}") from error
        if answer.status in {OK, NOT_FOUND}:
            return answer
        raise _error_for_status(answer)

    def _write(self, body: "_Transaction") -> TransactionResult:
        try:
            answer = self.http.call("POST", self.address, "/v1/transactions", body)
        except NeverSentError as error:
            raise StoreUnavailableError(f"nothing was written: {error}") from error
        except NetworkError as error:
            # The write may have been applied and its answer lost, or it may still be
            # applied. Reported as a failure, it would make the caller write again.
            raise UnknownResultError(f"perhaps written: {error}") from error
        if answer.status not in {OK, CONFLICT}:
            raise _error_for_status(answer, writing=True)
        try:
            return answer.decoded(TransactionResult)
        except NetworkError as error:
            detail = f"perhaps written; the store's answer can't be read: {error}"
            raise UnknownResultError(detail) from error


@dataclass(frozen=True, slots=True)
class _Transaction:
    """Request body of a transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class _Page:
    """Response body of a page read."""

    rows: tuple[TableRow, ...] = field(default_factory=tuple)


def _error_for_status(
    answer: Answer, writing: bool = False
) -> StoreUnavailableError | UnknownResultError:
    """Return the error for an unexpected status."""
    detail = f"the store answered {answer.status}"
    if answer.status in {TOO_MANY, UNAVAILABLE}:
        return StoreUnavailableError(detail)
    if answer.status < FIRST_SERVER_ERROR:
        text = answer.body[:200].decode("utf-8", "replace")
        return CallRejectedError(f"{detail}: {text}")
    # Only 503 guarantees that nothing was written; another server error may come
    # from a failure after the write.
    return UnknownResultError(detail) if writing else StoreUnavailableError(detail)


def _decoded(answer: Answer, kind: type[T]) -> T:
    try:
        return answer.decoded(kind)
    except NetworkError as error:
        detail = f"the store's answer can't be read: {error}"
        raise StoreUnavailableError(detail) from error

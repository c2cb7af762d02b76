"""The table service: rows with versions, and transactions over several of them."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from ..network.errors import NetworkError, NeverSentError
from ..network.http import Answer, HttpClient
from .breaker import CircuitBreaker
from .errors import CallRejectedError, StoreUnavailableError, UnknownResultError

T = TypeVar("T")

RowValue = Mapping[str, Any]
"""A row's JSON object. Each user has a dataclass of its own for it and converts
at its border, so that nothing else handles bare maps."""

ABSENT = 0
"""Version in a condition on a row that must not exist."""

PAGE_ROWS = 500
OK = 200
CONFLICT = 409
NOT_FOUND = 404
TOO_MANY = 429
UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row as it was read; the read may be stale."""

    key: str
    version: int
    value: RowValue


@dataclass(frozen=True, slots=True)
class Condition:
    """What must hold for a transaction to take effect.

    Attributes
    ----------
    version : int
        The row's present version; `ABSENT` if there must be none.
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
    """A condition that did not hold, with the row as the transaction saw it.

    Attributes
    ----------
    version : int
        `ABSENT` if there is no such row.
    """

    table: str
    key: str
    version: int
    value: RowValue | None


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The store's answer to a transaction.

    Attributes
    ----------
    committed : bool
        False: nothing was written, and `conflicts` says why.
    versions : tuple of int
        The new version of each write, in their order.
    """

    committed: bool
    versions: tuple[int, ...] = ()
    conflicts: tuple[Conflict, ...] = ()

    def conflict_on(self, table: str, key: str) -> Conflict | None:
        """Return the conflict on one row, if there is one."""
        for conflict in self.conflicts:
            if (conflict.table, conflict.key) == (table, key):
                return conflict
        return None


class Table(Protocol):
    """Port of the table service; `TableClient` and the tests' fakes fill it."""

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
        """Do all writes, if all conditions hold, or none.

        Raises
        ------
        StoreUnavailableError
            Not done, and it will not be done later.
        UnknownResultError
            It may have taken effect, or may still do so.
        """
        ...


def all_rows(store: Table, table: str, prefix: str = "") -> Iterator[TableRow]:
    """Read the rows of a table page by page, in key order.

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
    """Speaks to the table service by HTTP; safe for threads.

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
        """Do all writes, if all conditions hold, or none.

        Raises
        ------
        StoreUnavailableError
            Not done, and it will not be done later.
        UnknownResultError
            It may have taken effect, or may still do so.
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
            # The store may have done the write and its answer was lost, or it may
            # do it yet. Calling this a failure would let the caller write again.
            raise UnknownResultError(f"perhaps written: {error}") from error
        if answer.status not in {OK, CONFLICT}:
            raise _error_for_status(answer, writing=True)
        try:
            return msgspec.json.decode(answer.body, type=TransactionResult)
        except msgspec.MsgspecError as error:
            detail = f"perhaps written; the store's answer can't be read: {error}"
            raise UnknownResultError(detail) from error


@dataclass(frozen=True, slots=True)
class _Transaction:
    """Body of a transaction."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class _Page:
    """Answer to a listing."""

    rows: tuple[TableRow, ...] = field(default_factory=tuple)


def _error_for_status(
    answer: Answer, writing: bool = False
) -> StoreUnavailableError | UnknownResultError:
    """Return the error for a status that is no answer to the call."""
    detail = f"the store answered {answer.status}"
    if answer.status in {TOO_MANY, UNAVAILABLE}:
        return StoreUnavailableError(detail)
    if answer.status < FIRST_SERVER_ERROR:
        text = answer.body[:200].decode("utf-8", "replace")
        return CallRejectedError(f"{detail}: {text}")
    # Only 503 promises that nothing was done; another server error may come from
    # a failure after the write.
    return UnknownResultError(detail) if writing else StoreUnavailableError(detail)


def _decoded(answer: Answer, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        detail = f"the store's answer can't be read: {error}"
        raise StoreUnavailableError(detail) from error

"""The store's rows: versions, conditions and the history of changes."""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from ..errors import BadRequestError

MAX_ENTRIES = 100
MAX_TEXT_BYTES = 200
FEED_ROWS = 500
HISTORY_CHANGES = 20_000
FIRST_ERA = 1


class RowName(NamedTuple):
    """Names one row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Row:
    """A row, or with no value the trace of one that was removed."""

    name: RowName
    value: str | None
    ver: int


@dataclass(frozen=True, slots=True)
class Expected:
    """The version that a row must have; 0 means that there is none."""

    name: RowName
    ver: int


@dataclass(frozen=True, slots=True)
class Put:
    """A row's new value, in base64."""

    name: RowName
    value: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Entries that are applied together or not at all."""

    expected: tuple[Expected, ...] = ()
    puts: tuple[Put, ...] = ()
    removed: tuple[RowName, ...] = ()
    across: bool = False

    @property
    def names(self) -> tuple[RowName, ...]:
        """All rows that are mentioned."""
        conditions = tuple(each.name for each in self.expected)
        return conditions + tuple(each.name for each in self.puts) + self.removed

    def check(self) -> None:
        """Refuse what the store would not take.

        Raises
        ------
        BadRequestError
            With what is wrong.
        """
        names = self.names
        if len(names) > MAX_ENTRIES:
            raise BadRequestError("too many entries")
        if not self.across and len({name.part for name in names}) > 1:
            raise BadRequestError("several parts")
        if any(len(text.encode()) > MAX_TEXT_BYTES for name in names for text in name):
            raise BadRequestError("a name is too long")


class Rows:
    """All rows, and what has changed lately.

    Attributes
    ----------
    era : int
        Rises by one each time that the rows are restored from a copy.
    """

    def __init__(self, era: int = FIRST_ERA) -> None:
        self.era = era
        self.rows: dict[RowName, Row] = {}
        self.ver = 0
        self.history: deque[Row] = deque()
        self.oldest = 0

    def current(self, name: RowName) -> Row | None:
        """Return a row as it is."""
        return self.rows.get(name)

    def conflicts(self, transaction: Transaction) -> bool:
        """Say whether a condition does not hold."""
        return any(self._ver_of(each.name) != each.ver for each in transaction.expected)

    def apply(self, transaction: Transaction) -> bool:
        """Apply all entries, or none if a condition does not hold."""
        if self.conflicts(transaction):
            return False
        self.ver += 1
        for put in transaction.puts:
            self.rows[put.name] = row = Row(put.name, put.value, self.ver)
            self._remember(row)
        for name in transaction.removed:
            if self.rows.pop(name, None) is not None:
                self._remember(Row(name, None, self.ver))
        return True

    def listed(self, table: str, part: str) -> list[Row]:
        """Return a part's rows in ascending byte order of their keys."""
        found = [row for name, row in self.rows.items() if name[:2] == (table, part)]
        return sorted(found, key=lambda row: row.name.key.encode())

    def parts(self, table: str) -> list[str]:
        """Return a table's parts in ascending byte order."""
        found = {name.part for name in self.rows if name.table == table}
        return sorted(found, key=str.encode)

    def changes(self, table: str, after: int) -> list[Row]:
        """Return a table's changes in order; transactions stay whole."""
        found: list[Row] = []
        for row in self.history:
            if row.name.table != table or row.ver <= after:
                continue
            if len(found) >= FEED_ROWS and row.ver != found[-1].ver:
                break
            found.append(row)
        return found

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.history.clear()
        self.oldest = self.ver

    def knows(self, ver: int) -> bool:
        """Say whether the changes after a version are known."""
        return self.oldest <= ver <= self.ver

    def copy(self, era: int | None = None) -> "Rows":
        """Return the rows as they are now, in another era if one is given."""
        other = Rows(self.era if era is None else era)
        other.rows, other.ver = dict(self.rows), self.ver
        other.history, other.oldest = deque(self.history), self.oldest
        return other

    def _ver_of(self, name: RowName) -> int:
        row = self.rows.get(name)
        return 0 if row is None else row.ver

    def _remember(self, row: Row) -> None:
        self.history.append(row)
        if len(self.history) > HISTORY_CHANGES:
            self.oldest = self.history.popleft().ver

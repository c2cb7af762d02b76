"""The shared rows as the product sees them: read, follow, write under conditions."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import msgspec

ABSENT = 0
"""Version in a condition that says: the row must not exist."""


class Row(msgspec.Struct, frozen=True):
    """One row, or the update that it was removed.

    Attributes
    ----------
    table, part, key : str
        Name the row; `part` may be empty.
    value : bytes
        Empty if the row was removed.
    version : int
        Of the write that made the row so; from one counter over all rows.
    removed : bool
        The row is no longer there.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


class RowPage(msgspec.Struct, frozen=True):
    """Rows as of one moment.

    Attributes
    ----------
    rows : tuple of Row
        Read: by key. Changes: in the order in which they happened.
    version : int
        Newest of all rows at that moment; changes are followed from here.
    truncated : bool
        More rows lie behind the last one.
    """

    rows: tuple[Row, ...]
    version: int
    truncated: bool = False


class RowPut(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: bytes


class RowKey(msgspec.Struct, frozen=True):
    """A row to remove."""

    table: str
    part: str
    key: str


class RowCondition(msgspec.Struct, frozen=True):
    """A row must have this version, `ABSENT` if it must not exist."""

    table: str
    part: str
    key: str
    version: int


class Rows(Protocol):
    """The shared rows.

    Every call may raise `StoreUnavailableError`: nothing was done.
    """

    async def read(
        self,
        table: str,
        part: str = "",
        start: str | None = None,
        end: str | None = None,
        limit: int | None = None,
    ) -> RowPage:
        """Read a part's rows with keys from `start` up to and without `end`."""
        ...

    async def changes(self, table: str, after: int, wait: timedelta) -> RowPage:
        """Wait up to `wait` for changes of a table after a version.

        Raises
        ------
        HistoryGoneError
            If they are no longer told; the table is to be read whole.
        """
        ...

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removes: Sequence[RowKey] = (),
        conditions: Sequence[RowCondition] = (),
    ) -> int:
        """Write all or nothing, in one part, and return the new version.

        Raises
        ------
        ConflictError
            If a condition does not hold; nothing was done.
        NotAllowedError
            If a table may not be written.
        UnknownResultError
            If no answer came: it may have been done, or may be yet.
        """
        ...

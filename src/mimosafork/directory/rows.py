"""Interface of the shared rows: reads, change feeds and conditional writes."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import msgspec

ABSENT = 0
"""Version in a condition that requires the row not to exist."""


class Row(msgspec.Struct, frozen=True):
    """A row, or the update that it was removed.

    Attributes
    ----------
    table, part, key : str
        Identify the row; `part` may be empty.
    value : bytes
        Empty if the row was removed.
    version : int
        Version of the last write, from one counter over all rows.
    removed : bool
        The row no longer exists.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


class RowPage(msgspec.Struct, frozen=True):
    """Rows as of one version.

    Attributes
    ----------
    rows : tuple of Row
        In the order of keys for reads, and of versions for changes.
    version : int
        Newest version of all rows at that moment; changes are followed from here.
    truncated : bool
        There are more rows after the last one.
    era : int
        Rises each time the store is restored from a copy; 0 if it is not stated.
    """

    rows: tuple[Row, ...]
    version: int
    truncated: bool = False
    era: int = 0


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
    """Required version of a row; `ABSENT` if it must not exist."""

    table: str
    part: str
    key: str
    version: int


class Rows(Protocol):
    """The shared rows.

    Every call may raise `StoreUnavailableError`, in which case it had no effect.
    """

    async def read(
        self,
        table: str,
        part: str = "",
        start: str | None = None,
        end: str | None = None,
        limit: int | None = None,
    ) -> RowPage:
        """Read the rows of a part with keys from `start` up to but excluding `end`."""
        ...

    async def changes(self, table: str, after: int, wait: timedelta) -> RowPage:
        """Wait up to `wait` for changes of a table after a version.

        Raises
        ------
        HistoryExpiredError
            If the changes are no longer kept; a full read is needed.
        """
        ...

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removes: Sequence[RowKey] = (),
        conditions: Sequence[RowCondition] = (),
    ) -> int:
        """Write atomically within one part, and return the new version.

        Raises
        ------
        ConflictError
            If a condition does not hold; nothing was written.
        NotAllowedError
            If a table must not be written.
        UnknownResultError
            If there was no answer; the write may have taken effect or may still do so.
        """
        ...

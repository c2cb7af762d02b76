"""Interface of the shared rows: reads, change feeds and conditional writes."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import msgspec

from .row_version import NO_VERSION, RowVersion

ABSENT = NO_VERSION
"""Version in a condition that requires the row not to exist."""


class Row(msgspec.Struct, frozen=True):
    """A row, or the update that it was removed.

    Attributes
    ----------
    table, part, key : str
        Identify the row; `part` may be empty.
    value : bytes
        Empty if the row was removed.
    version : RowVersion
        Version of the last write.
    removed : bool
        The row no longer exists.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: RowVersion
    removed: bool = False


class RowPage(msgspec.Struct, frozen=True):
    """Rows as of one version.

    Attributes
    ----------
    rows : tuple of Row
        In the order of keys for reads, and of versions for changes.
    version : RowVersion
        Newest version of all rows at that moment; changes are followed from here.
    truncated : bool
        There are more rows after the last one.
    """

    rows: tuple[Row, ...]
    version: RowVersion
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
    """Required version of a row; `ABSENT` if it must not exist."""

    table: str
    part: str
    key: str
    version: RowVersion


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

    async def changes(self, table: str, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait up to `wait` for changes of a table after a version.

        The answer may be of another era, and then lacks changes of that era.

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
    ) -> RowVersion:
        """Write atomically within one part, and return the new version.

        Raises
        ------
        ConflictError
            If a condition does not hold; nothing was written.
        NotAllowedError
            If a table must not be written.
        UnknownResultError
            If there was no answer; the write may have taken effect or may still do so.
            Also if the store was restored since a condition's version was read.
        """
        ...

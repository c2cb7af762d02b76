"""Fake store that answers reads and feeds with the same rows."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from mimosafork.directory.row_version import NO_VERSION, RowVersion
from mimosafork.directory.rows import Row, RowCondition, RowKey, RowPage, RowPut
from mimosafork.directory.sources import RowSource


class ScriptedRows:
    """Fake of the shared rows with fixed content.

    Parameters
    ----------
    *rows : Row
        Content of each answer, whatever table and part are requested.
    """

    def __init__(self, *rows: Row) -> None:
        self.page = RowPage(rows, max(row.version for row in rows))

    async def read(
        self,
        table: str,
        part: str = "",
        start: str | None = None,
        end: str | None = None,
        limit: int | None = None,
    ) -> RowPage:
        """Return all rows."""
        return self.page

    async def changes(self, table: str, after: RowVersion, wait: timedelta) -> RowPage:
        """Return all rows."""
        return self.page

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removes: Sequence[RowKey] = (),
        conditions: Sequence[RowCondition] = (),
    ) -> RowVersion:
        """Not called."""
        raise NotImplementedError


def read_whole(source: RowSource) -> list[Row]:
    """Return the rows of a full read, which must equal those of the feed."""

    async def both() -> tuple[RowPage, RowPage]:
        return await source.whole(), await source.changes(NO_VERSION, timedelta(0))

    whole, changes = asyncio.run(both())
    assert whole.rows == changes.rows
    return list(whole.rows)

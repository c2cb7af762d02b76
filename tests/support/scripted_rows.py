"""A store that answers reads and feeds by the same rows."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from mimosafork.directory.rows import Row, RowCondition, RowKey, RowPage, RowPut
from mimosafork.directory.sources import RowSource


class ScriptedRows:
    """The shared rows, as they are given.

    Parameters
    ----------
    *rows : Row
        What each answer holds, of whatever table and part.
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

    async def changes(self, table: str, after: int, wait: timedelta) -> RowPage:
        """Return all rows."""
        return self.page

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removes: Sequence[RowKey] = (),
        conditions: Sequence[RowCondition] = (),
    ) -> int:
        """Not called."""
        raise NotImplementedError


def read_whole(source: RowSource) -> list[Row]:
    """Return the rows of a whole read, which must be those of the feed as well."""

    async def both() -> tuple[RowPage, RowPage]:
        return await source.whole(), await source.changes(0, timedelta(0))

    whole, changes = asyncio.run(both())
    assert whole.rows == changes.rows
    return list(whole.rows)

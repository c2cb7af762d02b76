"""The configuration in force: only ever a newer one."""

from ..routing.table import RoutingTable
from .messages import TableChanged, UpdateOrigin
from .rows import Row
from .sources import ConfigurationSource


class CurrentTable:
    """Keeps the newest configuration that was told.

    Parameters
    ----------
    source : ConfigurationSource
        Reads a row's value.
    """

    def __init__(self, source: ConfigurationSource) -> None:
        self.source = source
        self.table: RoutingTable | None = None
        self.row: Row | None = None

    def apply(self, row: Row, origin: UpdateOrigin) -> TableChanged | None:
        """Take a row if its configuration is newer than the one in force.

        Guard: a stale read or a slow peer tells an older configuration after a
        newer one. Taken, calls would go where they may no longer go. Both the row
        and the configuration must be newer, so none is ever put back.

        Raises
        ------
        UnreadableError
            If its value cannot be read.
        """
        if row.removed or (self.row is not None and row.version <= self.row.version):
            return None
        table = self.source.decode(row)
        if self.table is not None and table.version <= self.table.version:
            return None
        before, self.table, self.row = self.table, table, row
        return TableChanged(table, origin, before)

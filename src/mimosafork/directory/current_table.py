"""The configuration in force, which is only replaced by newer ones."""

from ..routing.table import RoutingTable
from .messages import TableChanged, UpdateOrigin
from .rows import Row
from .sources import ConfigurationSource


class CurrentTable:
    """Keeps the newest configuration received.

    Parameters
    ----------
    source : ConfigurationSource
        Decodes the value of a row.
    """

    def __init__(self, source: ConfigurationSource) -> None:
        self.source = source
        self.table: RoutingTable | None = None
        self.row: Row | None = None

    def apply(self, row: Row, origin: UpdateOrigin) -> TableChanged | None:
        """Apply a row if its configuration is newer than the one in force.

        Guard: a stale read or a slow peer may return an older configuration after a
        newer one. Applied, it would send calls to services that must no longer get
        them. Both the row and the configuration must be newer.

        Raises
        ------
        UnreadableRowError
            If its value cannot be decoded.
        """
        if row.removed or (self.row is not None and row.version <= self.row.version):
            return None
        table = self.source.decode(row)
        if self.table is not None and table.version <= self.table.version:
            return None
        before, self.table, self.row = self.table, table, row
        return TableChanged(table, origin, before)

"""The configuration in force, which is only replaced by newer ones."""

from enum import Enum

import msgspec

from ..ids import Revision
from ..routing.table import RoutingTable
from .messages import TableChanged, UpdateOrigin
from .rows import Row
from .sources import ConfigurationSource


class KeepReason(Enum):
    """Why the configuration in force is kept although the store holds another one."""

    OLDER = "older"
    NUMBER_IN_USE = "another content under the number in force"


class TableKept(msgspec.Struct, frozen=True):
    """The configuration in force is kept, and the store's is not applied.

    Attributes
    ----------
    stored, kept : Revision
        Number of the store's configuration, and of the one in force.
    """

    stored: Revision
    kept: Revision
    reason: KeepReason


class CurrentTable:
    """Keeps the newest configuration received.

    Parameters
    ----------
    source : ConfigurationSource
        Decodes the value of a row.

    Attributes
    ----------
    row : Row or None
        The newest row of the configuration in force.
    """

    def __init__(self, source: ConfigurationSource) -> None:
        self.source = source
        self.table: RoutingTable | None = None
        self.row: Row | None = None

    def apply(self, row: Row, origin: UpdateOrigin) -> TableChanged | TableKept | None:
        """Apply a row if its configuration is newer than the one in force.

        Guard: a stale read, a slow peer or a restored store may return an older
        configuration after a newer one. Applied, it would send calls to services that
        must no longer get them. Configurations are ordered by their own numbers: the
        versions of rows go back when the store is restored, and an older configuration
        may then stand in a row of a later era.

        Raises
        ------
        UnreadableRowError
            If its value cannot be decoded.
        """
        if row.removed or (self.row is not None and row.version == self.row.version):
            return None
        table = self.source.decode(row)
        if self.table is None or self.row is None or table.version > self.table.version:
            before, self.table, self.row = self.table, table, row
            return TableChanged(table, origin, before)
        if row.version < self.row.version:
            return None
        if table.version < self.table.version:
            return TableKept(table.version, self.table.version, KeepReason.OLDER)
        if row.value != self.row.value:
            reason = KeepReason.NUMBER_IN_USE
            return TableKept(table.version, self.table.version, reason)
        self.row = row
        return None

"""Interfaces from which the directory reads the configuration and the endpoints."""

from datetime import timedelta
from typing import Protocol

from ..ids import AvailabilityZoneId
from ..routing.listing import ListedEndpoint
from ..routing.table import RoutingTable
from .row_version import RowVersion
from .rows import Row, RowPage


class RowSource(Protocol):
    """Rows of one kind that can be read in full and followed."""

    async def whole(self) -> RowPage:
        """Read all rows; raises `StoreUnavailableError`."""
        ...

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait for changes; raises `HistoryExpiredError`, `StoreUnavailableError`."""
        ...


class ConfigurationSource(RowSource, Protocol):
    """Source of the rows of the operator: the configuration, and evacuated zones."""

    def decode(self, row: Row) -> RoutingTable:
        """Decode a configuration's value; raises `UnreadableRowError`."""
        ...

    def evacuated_zone(self, row: Row) -> AvailabilityZoneId | None:
        """Return the zone that a row evacuates while it exists, None for other rows.

        Raises
        ------
        UnreadableRowError
            If the row names no zone that can be read.
        """
        ...


class EndpointSource(RowSource, Protocol):
    """Source of the endpoints' rows; a row's key is the endpoint's id."""

    def decode(self, row: Row) -> ListedEndpoint:
        """Decode a row's value; raises `UnreadableRowError`."""
        ...

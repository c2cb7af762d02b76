"""Where the configuration and the endpoints are read from, as the directory asks."""

from datetime import timedelta
from typing import Protocol

from ..routing.listing import ListedEndpoint
from ..routing.table import RoutingTable
from .rows import Row, RowPage


class RowSource(Protocol):
    """Rows of one kind that can be read whole and followed."""

    async def whole(self) -> RowPage:
        """Read all rows; raises `StoreUnavailableError`."""
        ...

    async def changes(self, after: int, wait: timedelta) -> RowPage:
        """Wait for changes; raises `HistoryGoneError`, `StoreUnavailableError`."""
        ...


class ConfigurationSource(RowSource, Protocol):
    """Tells the row of the configuration."""

    def decode(self, row: Row) -> RoutingTable:
        """Read a row's value; raises `UnreadableError`."""
        ...


class EndpointSource(RowSource, Protocol):
    """Tells the endpoints' rows; a row's key is the endpoint's id."""

    def decode(self, row: Row) -> ListedEndpoint:
        """Read a row's value; raises `UnreadableError`."""
        ...

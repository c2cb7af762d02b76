"""The rows of the configuration and of the endpoints in the platform's store."""

from datetime import timedelta

from ..directory.errors import HistoryExpiredError
from ..directory.row_version import RowVersion
from ..directory.rows import Row, RowPage, Rows
from ..routing.listing import ListedEndpoint
from ..routing.table import RoutingTable
from . import names
from .configuration import decode_configuration
from .listing import decode_endpoint

AFTER_KEY = "\0"
"""Appended to a key, gives the first key behind it."""


class ConfigurationRows:
    """The operator's configuration, as `directory.sources.ConfigurationSource`.

    Parameters
    ----------
    rows : Rows
        The store.
    """

    def __init__(self, rows: Rows) -> None:
        self.rows = rows

    async def whole(self) -> RowPage:
        """Read the configuration's row."""
        return only_configuration(await self.rows.read(names.CONFIGURATION_TABLE))

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait for a newer configuration."""
        page = await self.rows.changes(names.CONFIGURATION_TABLE, after, wait)
        return only_configuration(page)

    def decode(self, row: Row) -> RoutingTable:
        """Read the configuration."""
        return decode_configuration(row.value)


class EndpointRows:
    """The endpoints' rows, as `directory.sources.EndpointSource`.

    Parameters
    ----------
    rows : Rows
        The store.
    """

    def __init__(self, rows: Rows) -> None:
        self.rows = rows

    async def whole(self) -> RowPage:
        """Read all rows.

        An answer holds a bounded number of them. The version of the first one
        stands for all: what changes until the last one is told again as a change.

        Raises
        ------
        HistoryExpiredError
            If the store was restored between two answers; together they are no state
            that it ever had.
        """
        page = await self.rows.read(names.ENDPOINTS_TABLE)
        rows, version = list(platform_rows(page)), page.version
        while page.truncated and page.rows:
            start = page.rows[-1].key + AFTER_KEY
            page = await self.rows.read(names.ENDPOINTS_TABLE, start=start)
            if page.version.era != version.era:
                raise HistoryExpiredError(f"era {page.version.era}")
            rows += platform_rows(page)
        return RowPage(tuple(rows), version)

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait for changed rows."""
        page = await self.rows.changes(names.ENDPOINTS_TABLE, after, wait)
        return RowPage(platform_rows(page), page.version)

    def decode(self, row: Row) -> ListedEndpoint:
        """Read an endpoint's word about itself."""
        return decode_endpoint(row.key, row.value)


def only_configuration(page: RowPage) -> RowPage:
    """Leave out other rows of the table."""
    rows = [row for row in platform_rows(page) if row.key == names.CONFIGURATION_KEY]
    return RowPage(tuple(rows), page.version)


def platform_rows(page: RowPage) -> tuple[Row, ...]:
    """Return a page's rows without those of other parts.

    Guard: the feed tells all parts of a table. A row that another keeps in a part of
    its own, under an endpoint's key, would replace what the endpoint said.
    """
    return tuple(row for row in page.rows if not row.part)

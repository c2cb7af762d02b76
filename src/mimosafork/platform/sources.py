"""The rows of the configuration and of the endpoints in the platform's store."""

from datetime import timedelta

from ..directory.errors import HistoryExpiredError, UnreadableRowError
from ..directory.row_version import RowVersion
from ..directory.rows import Row, RowPage, Rows
from ..ids import AvailabilityZoneId
from ..routing.listing import ListedEndpoint
from ..routing.table import RoutingTable
from . import names
from .configuration import decode_configuration
from .listing import decode_endpoint

AFTER_KEY = "\0"
"""Appended to a key, gives the first key behind it."""


MAX_ZONE_BYTES = 200


class ConfigurationRows:
    """The operator's rows, as `directory.sources.ConfigurationSource`.

    Parameters
    ----------
    rows : Rows
        The store.
    """

    def __init__(self, rows: Rows) -> None:
        self.rows = rows

    async def whole(self) -> RowPage:
        """Read the configuration's row, and those of evacuations.

        Raises
        ------
        HistoryExpiredError
            As `read_all`.
        """
        return only_operator_rows(await read_all(self.rows, names.CONFIGURATION_TABLE))

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait for a newer configuration, or for a change of an evacuation."""
        page = await self.rows.changes(names.CONFIGURATION_TABLE, after, wait)
        return only_operator_rows(page)

    def decode(self, row: Row) -> RoutingTable:
        """Read the configuration."""
        return decode_configuration(row.value)

    def evacuated_zone(self, row: Row) -> AvailabilityZoneId | None:
        """Return the zone that a row's key evacuates; None for the configuration.

        Raises
        ------
        UnreadableRowError
            If the key names no zone that can be read.
        """
        if not row.key.startswith(names.EVACUATION_PREFIX):
            return None
        zone = row.key.removeprefix(names.EVACUATION_PREFIX)
        if not zone:
            raise UnreadableRowError("the key names no zone")
        if not zone.isprintable() or len(zone.encode()) > MAX_ZONE_BYTES:
            raise UnreadableRowError("the zone in the key is too long or unprintable")
        return AvailabilityZoneId(zone)


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

        Raises
        ------
        HistoryExpiredError
            As `read_all`.
        """
        return await read_all(self.rows, names.ENDPOINTS_TABLE)

    async def changes(self, after: RowVersion, wait: timedelta) -> RowPage:
        """Wait for changed rows."""
        page = await self.rows.changes(names.ENDPOINTS_TABLE, after, wait)
        return RowPage(platform_rows(page), page.version)

    def decode(self, row: Row) -> ListedEndpoint:
        """Read an endpoint's word about itself."""
        return decode_endpoint(row.key, row.value)


async def read_all(source: Rows, table: str) -> RowPage:
    """Read all rows of a table.

    An answer holds a bounded number of them. The version of the first one stands for
    all: what changes until the last one is told again as a change.

    Raises
    ------
    HistoryExpiredError
        If the store was restored between two answers; together they are no state
        that it ever had.
    """
    page = await source.read(table)
    rows, version = list(platform_rows(page)), page.version
    while page.truncated and page.rows:
        start = page.rows[-1].key + AFTER_KEY
        page = await source.read(table, start=start)
        if page.version.era != version.era:
            raise HistoryExpiredError(f"era {page.version.era}")
        rows += platform_rows(page)
    return RowPage(tuple(rows), version)


def only_operator_rows(page: RowPage) -> RowPage:
    """Leave out rows of the table that are neither configuration nor evacuation."""
    rows = [
        row
        for row in platform_rows(page)
        if row.key == names.CONFIGURATION_KEY
        or row.key.startswith(names.EVACUATION_PREFIX)
    ]
    return RowPage(tuple(rows), page.version)


def platform_rows(page: RowPage) -> tuple[Row, ...]:
    """Return a page's rows without those of other parts.

    Guard: the feed tells all parts of a table. A row that another keeps in a part of
    its own, under an endpoint's key, would replace what the endpoint said.
    """
    return tuple(row for row in page.rows if not row.part)

"""The rows of the operator, by what they are about."""

from collections.abc import Iterable

import msgspec

from ..ids import AvailabilityZoneId
from .change_log import log_unreadable
from .errors import UnreadableRowError
from .messages import UpdateOrigin
from .rows import Row
from .sources import ConfigurationSource
from .zone_state import ZoneState

MAX_LOGGED_KEYS = 100
"""Keys without a readable zone of which it is remembered that they were logged."""


class OperatorRows(msgspec.Struct, frozen=True):
    """Rows of the configuration, and states of zones in the order of their rows."""

    configurations: tuple[Row, ...]
    zones: tuple[tuple[AvailabilityZoneId, ZoneState], ...]


class RowSplitter:
    """Tells the configuration and evacuations apart.

    Parameters
    ----------
    source : ConfigurationSource
        Knows the keys of the rows.
    """

    def __init__(self, source: ConfigurationSource) -> None:
        self.source = source
        self.logged: set[str] = set()

    def split(self, rows: Iterable[Row]) -> OperatorRows:
        """Return the rows by what they are about; unreadable ones are left out."""
        configurations: list[Row] = []
        zones: list[tuple[AvailabilityZoneId, ZoneState]] = []
        for row in rows:
            try:
                zone = self.source.evacuated_zone(row)
            except UnreadableRowError as error:
                self._log_once(row, error)
                continue
            if zone is None:
                configurations.append(row)
            else:
                zones.append((zone, ZoneState(not row.removed, row.version)))
        return OperatorRows(tuple(configurations), tuple(zones))

    def _log_once(self, row: Row, error: UnreadableRowError) -> None:
        if row.key not in self.logged and len(self.logged) < MAX_LOGGED_KEYS:
            self.logged.add(row.key)
            log_unreadable(row, UpdateOrigin.STORE, error)

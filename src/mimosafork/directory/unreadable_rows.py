"""Rows of endpoints that cannot be decoded."""

from msgspec.structs import replace

from ..ids import EndpointId
from .rows import Row


class UnreadableRows:
    """The newest rows that cannot be decoded, without their values."""

    def __init__(self) -> None:
        self.rows: dict[EndpointId, Row] = {}

    def clear(self, row: Row) -> None:
        """Drop an unreadable row that a row of the same or a newer version replaces.

        The version may be the same if a peer sent the row corrupted and the store then
        returned it intact.
        """
        unreadable = self.rows.get(EndpointId(row.key))
        if unreadable is not None and row.version >= unreadable.version:
            del self.rows[EndpointId(row.key)]

    def record(self, row: Row) -> bool:
        """Record a row; return whether its endpoint had none.

        Without this record, a row that is overwritten every second, read again in a
        snapshot or sent by all peers would be logged each time.
        """
        endpoint = EndpointId(row.key)
        before = self.rows.get(endpoint)
        if before is None or row.version > before.version:
            self.rows[endpoint] = replace(row, value=b"")
        return before is None

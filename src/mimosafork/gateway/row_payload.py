"""Rows of the store as they are transferred to a peer."""

import msgspec

from ..directory.row_version import RowVersion
from ..directory.rows import Row


class TransferredRow(msgspec.Struct):
    """A row as it is transferred.

    The era is a field of its own, which the release before passes over.
    """

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False
    era: int = 0


class RowsPayload(msgspec.Struct):
    """Rows as they are transferred to a peer."""

    rows: list[TransferredRow]


def encode_rows(rows: list[Row]) -> bytes:
    """Return the payload that holds some rows."""
    transferred = [
        TransferredRow(
            row.table,
            row.part,
            row.key,
            row.value,
            row.version.number,
            row.removed,
            row.version.era,
        )
        for row in rows
    ]
    return msgspec.msgpack.encode(RowsPayload(transferred))


def decode_rows(payload: bytes) -> list[Row]:
    """Return the rows in a peer's payload; none if it can't be decoded."""
    try:
        rows = msgspec.msgpack.decode(payload, type=RowsPayload).rows
    except msgspec.MsgspecError:
        return []
    return [
        Row(
            row.table,
            row.part,
            row.key,
            row.value,
            RowVersion(row.era, row.version),
            row.removed,
        )
        for row in rows
    ]

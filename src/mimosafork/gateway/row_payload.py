"""Rows of the store as they are transferred to a peer."""

import msgspec

from ..directory.rows import Row


class RowsPayload(msgspec.Struct):
    """Rows as they are transferred to a peer."""

    rows: list[Row]


def encode_rows(rows: list[Row]) -> bytes:
    """Return the payload that holds some rows."""
    return msgspec.msgpack.encode(RowsPayload(rows))


def decode_rows(payload: bytes) -> list[Row]:
    """Return the rows in a peer's payload; none if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(payload, type=RowsPayload).rows
    except msgspec.MsgspecError:
        return []

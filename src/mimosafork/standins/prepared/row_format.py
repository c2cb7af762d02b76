"""Rows and transactions as calls and answers carry them."""

import base64
import binascii
from typing import Any

import msgspec

from ..errors import BadRequestError
from .http import MAX_BODY_BYTES, Request
from .rows import Expected, Put, Row, RowName, Transaction
from .words import ROWS_TX

EXPECT = "expect-rev"


def tables_of(request: Request) -> set[str]:
    """Return the tables that a call is about."""
    if request.path != ROWS_TX:
        return {request.query("table")}
    transaction = decode_transaction(bytes(request.body), MAX_BODY_BYTES)
    return {name.table for name in transaction.names}


def encode_value(document: object) -> str:
    """Return a row's value: JSON in base64."""
    return base64.b64encode(msgspec.json.encode(document)).decode()


def decode_value(value: str) -> Any:
    """Return what a row's value says."""
    return msgspec.json.decode(base64.b64decode(value))


def row_document(row: Row) -> dict[str, Any]:
    """Return a row as it stands in an answer."""
    document: dict[str, Any] = dict(row.name._asdict())
    document["ver"] = row.ver
    if row.value is None:
        document["tombstone"] = True
    else:
        document["value"] = row.value
    return document


def decode_transaction(body: bytes, row_bytes: int) -> Transaction:
    """Read the body of a transaction.

    Raises
    ------
    BadRequestError
        If the store would not take it.
    """
    document = msgspec.json.decode(body)
    transaction = Transaction(
        tuple(Expected(name_of(e), int(e["ver"])) for e in document.get(EXPECT, ())),
        tuple(Put(name_of(e), str(e["value"])) for e in document.get("puts", ())),
        tuple(name_of(e) for e in document.get("remove", ())),
        bool(document.get("across", False)),
    )
    transaction.check()
    for put in transaction.puts:
        check_value(put.value, row_bytes)
    return transaction


def name_of(entry: Any) -> RowName:
    """Return the row that an entry names."""
    return RowName(str(entry["table"]), str(entry.get("part", "")), str(entry["key"]))


def check_value(value: str, row_bytes: int) -> None:
    """Refuse a value that is not base64, or too long.

    Raises
    ------
    BadRequestError
        With what is wrong.
    """
    try:
        size = len(base64.b64decode(value, validate=True))
    except binascii.Error as error:
        raise BadRequestError("a value is not base64") from error
    if size > row_bytes:
        raise BadRequestError("a value is too long")

"""The store's answers about rows; nothing here changes them."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from .http import Answer, Request
from .row_format import row_document
from .rows import FEED_ROWS, Row, Rows

MAX_PARTS = 1000


def applied_answer(rows: Rows, now_ms: int) -> Answer:
    """Answer a transaction that has been applied."""
    return Answer.json(HTTPStatus.OK, stamp(rows, now_ms))


def conflict_answer(rows: Rows, found: Iterable[Row | None], now_ms: int) -> Answer:
    """Answer a transaction with a condition that does not hold.

    Parameters
    ----------
    found : iterable of Row or None
        The rows that it has conditions for, as they are.
    """
    document = stamp(rows, now_ms)
    document["rows"] = [row_document(row) for row in found if row is not None]
    return Answer.json(HTTPStatus.PRECONDITION_FAILED, document)


def range_answer(rows: Rows, request: Request, now_ms: int) -> Answer:
    """Answer with the rows of a part whose keys lie in the range asked for."""
    start, end = request.query("from").encode(), request.query("target").encode()
    limit = min(int(request.query("limit", str(FEED_ROWS))), FEED_ROWS)
    listed = rows.listed(request.query("table"), request.query("part"))
    found = [row for row in listed if in_range(row.name.key.encode(), start, end)]
    document = stamp(rows, now_ms)
    document["rows"] = [row_document(row) for row in found[:limit]]
    document["truncated"] = len(found) > limit
    return Answer.json(HTTPStatus.OK, document)


def feed_answer(rows: Rows, table: str, after: int, now_ms: int) -> Answer:
    """Answer with a table's changes after a version; 410 if they are not known."""
    if not rows.knows(after):
        return Answer.json(HTTPStatus.GONE, stamp(rows, now_ms))
    changes = rows.changes(table, after)
    document = stamp(rows, now_ms)
    if len(changes) >= FEED_ROWS:
        document["ver"] = changes[-1].ver
    document["rows"] = [row_document(row) for row in changes]
    return Answer.json(HTTPStatus.OK, document)


def parts_answer(rows: Rows, request: Request, now_ms: int) -> Answer:
    """Answer with the names of a table's parts."""
    after = request.query("after").encode()
    parts = rows.parts(request.query("table"))
    found = [part for part in parts if not after or part.encode() > after]
    document = stamp(rows, now_ms)
    document["parts"] = found[:MAX_PARTS]
    return Answer.json(HTTPStatus.OK, document)


def stamp(rows: Rows, now_ms: int) -> dict[str, Any]:
    """Return what each answer says: the newest version and the store's clock."""
    return {"ver": rows.ver, "now-ms": now_ms}


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Say whether a key lies in a range that excludes its end, if it has one."""
    return key >= start and (not end or key < end)

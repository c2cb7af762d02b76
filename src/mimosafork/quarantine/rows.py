"""Decisions on contents as rows of the shared store."""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta

import msgspec

from ..clock import Clock
from ..directory.row_version import RowVersion
from ..directory.rows import Row, RowPut, Rows
from ..ids import AccountId, Digest
from ..kernel.messages.crashes import Quarantine
from ..network.decoding import UNDECODABLE

TABLE = "quarantine"
MAX_KEY_BYTES = 200


class StoredQuarantine(msgspec.Struct, frozen=True):
    """A decision, with wall times, as other processes have other monotonic clocks."""

    content: Digest
    accounts: tuple[AccountId, ...]
    decided_at: datetime
    until: datetime
    level: int = 0
    crashes: int = 0
    lifted: bool = False


class StoredRow(msgspec.Struct, frozen=True):
    """A decision and the version of its row."""

    stored: StoredQuarantine
    version: RowVersion


def stored_quarantine(decision: Quarantine, clock: Clock) -> StoredQuarantine:
    """Return a decision in wall times."""
    wall, monotonic = clock.now(), clock.monotonic()
    return StoredQuarantine(
        decision.content,
        decision.accounts,
        wall + (decision.decided_at - monotonic),
        wall + (decision.until - monotonic),
        decision.level,
        decision.crashes,
        decision.lifted,
    )


def quarantine_of(stored: StoredQuarantine, clock: Clock) -> Quarantine:
    """Return a stored decision in times of the own monotonic clock.

    A wall clock that was ahead must not make a decision newer than the present.
    """
    wall, monotonic = clock.now(), clock.monotonic()
    age = max(timedelta(0), wall - stored.decided_at.astimezone(UTC))
    return Quarantine(
        stored.content,
        stored.accounts,
        decided_at=monotonic - age,
        until=monotonic + (stored.until.astimezone(UTC) - wall),
        level=stored.level,
        crashes=stored.crashes,
        lifted=stored.lifted,
    )


def row_put(stored: StoredQuarantine) -> RowPut:
    """Return the row to write."""
    return RowPut(TABLE, "", stored.content, msgspec.json.encode(stored))


async def read_rows(rows: Rows) -> list[StoredRow]:
    """Read all decisions; rows in another format are skipped.

    Raises
    ------
    StoreUnavailableError
    """
    found: list[StoredRow] = []
    start: str | None = None
    while True:
        page = await rows.read(TABLE, start=start)
        found += decoded(page.rows)
        if not page.truncated or not page.rows:
            return found
        start = page.rows[-1].key + "\0"


def decoded(rows: Iterable[Row]) -> list[StoredRow]:
    """Return the decisions in rows."""
    found = []
    for row in rows:
        try:
            stored = msgspec.json.decode(row.value, type=StoredQuarantine)
        except UNDECODABLE:
            continue
        if stored.content == row.key and stored.until.tzinfo is not None:
            found.append(StoredRow(stored, row.version))
    return found

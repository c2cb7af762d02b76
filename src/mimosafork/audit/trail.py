"""Audit entries, written in the same transaction as the change they tell of.

An entry that were written before or after its change could tell of a change that
never was, or miss one: an instance may die, or the store be lost, in between.
"""

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from itertools import islice

import msgspec

from ..storage.errors import PlatformError
from ..storage.table import Table, TableRow, Write, all_rows
from .errors import TrailUnavailableError

TABLE = "audit"
KEY_DIGITS = 18
NEWEST_KEY = 10**KEY_DIGITS - 1
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class AuditDetail(msgspec.Struct, frozen=True):
    """One particular of a change."""

    name: str
    value: str


class AuditEntry(msgspec.Struct, frozen=True):
    """One change.

    Attributes
    ----------
    entry_id : str
        Unique; that of the change.
    at : datetime
        Wall time of who made it.
    actor : str
        Operator or instance.
    action : str
        What was done, such as ``manifest-apply``.
    subject : str
        To what.
    """

    entry_id: str
    at: datetime
    actor: str
    action: str
    subject: str
    details: tuple[AuditDetail, ...] = ()


def audit_write(entry: AuditEntry) -> Write:
    """Return the write of an entry, to go into its change's transaction."""
    return Write(TABLE, key_of(entry), msgspec.to_builtins(entry))


def key_of(entry: AuditEntry) -> str:
    """Return an entry's key: the newest sorts first, as rows are read in order."""
    microseconds = (entry.at - EPOCH) // timedelta(microseconds=1)
    return f"{NEWEST_KEY - microseconds:0{KEY_DIGITS}d}-{entry.entry_id}"


def newest_entries(table: Table, limit: int) -> list[AuditEntry]:
    """Return up to `limit` entries, the newest first.

    Raises
    ------
    TrailUnavailableError
    """
    try:
        return list(islice(_entries(table), limit))
    except PlatformError as error:
        raise TrailUnavailableError(f"no audit trail: {error}") from error


def _entries(table: Table) -> Iterator[AuditEntry]:
    for row in all_rows(table, TABLE):
        yield _entry_of(row)


def _entry_of(row: TableRow) -> AuditEntry:
    """Return a row's entry; one that can't be read is shown, never left out."""
    try:
        return msgspec.convert(row.value, AuditEntry)
    except msgspec.ValidationError as error:
        details = (AuditDetail("row", row.key), AuditDetail("why", str(error)))
        return AuditEntry("", EPOCH, "?", "unreadable", row.key, details)

"""The rows that hold accepted configurations.

``configuration/current`` is small, as every instance reads it every few seconds.
``configuration-history`` has a row a revision with what changed, so that an
instance which is a few revisions behind reads some hundred bytes instead of a
manifest with thousands of accounts. ``configuration-manifests`` holds the whole
texts of the newest revisions.
"""

from datetime import datetime
from typing import TypeVar

import msgspec

from ..ids import ApplyId, Digest, Revision
from ..manifest.changes import Change
from ..storage.table import RowValue, TableRow
from .errors import ConfigurationUnreadableError

CURRENT_TABLE = "configuration"
CURRENT_KEY = "current"
HISTORY_TABLE = "configuration-history"
MANIFEST_TABLE = "configuration-manifests"

KEPT_MANIFESTS = 32
"""Whole texts kept; older revisions keep their changes only."""

KEY_DIGITS = 12
HIGHEST_REVISION = 10**KEY_DIGITS - 1

S = TypeVar("S", bound=msgspec.Struct)


class CurrentRow(msgspec.Struct, frozen=True):
    """The newest accepted revision."""

    revision: Revision
    digest: Digest
    apply_id: ApplyId


class HistoryRow(msgspec.Struct, frozen=True):
    """How a revision came about."""

    revision: Revision
    base: Revision
    digest: Digest
    apply_id: ApplyId
    operator: str
    at: datetime
    changes: tuple[Change, ...]


class ManifestRow(msgspec.Struct, frozen=True):
    """A revision's whole canonical text."""

    revision: Revision
    digest: Digest
    text: str


def revision_key(revision: int) -> str:
    """Return the key of a revision's rows; the newest sorts first.

    Listings run forward only, and what is asked for is the newest end.
    """
    return f"{HIGHEST_REVISION - revision:0{KEY_DIGITS}d}"


def value_of(row: msgspec.Struct) -> RowValue:
    """Return a row as the store takes it."""
    value: RowValue = msgspec.to_builtins(row)
    return value


def read_row(row: TableRow, kind: type[S]) -> S:
    """Return a typed row.

    Raises
    ------
    ConfigurationUnreadableError
    """
    return read_value(row.value, kind)


def read_value(value: RowValue | None, kind: type[S]) -> S:
    """Return a typed row from its value.

    Raises
    ------
    ConfigurationUnreadableError
    """
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        detail = f"a row of the configuration can't be read: {error}"
        raise ConfigurationUnreadableError(detail) from error

"""Reading of accepted configurations from the store."""

from collections.abc import Callable
from itertools import islice
from typing import TypeVar

from ..ids import Digest, Revision
from ..manifest.canonical import digest_of
from ..storage.errors import PlatformError
from ..storage.table import Table, all_rows
from .errors import ConfigurationUnavailableError, ConfigurationUnreadableError
from .rows import (
    CURRENT_KEY,
    CURRENT_TABLE,
    HISTORY_TABLE,
    MANIFEST_TABLE,
    CurrentRow,
    HistoryRow,
    ManifestRow,
    read_row,
    revision_key,
)

T = TypeVar("T")

NO_REVISION = Revision(0)


class ConfigurationStore:
    """Reads what was accepted; every read may be stale.

    Parameters
    ----------
    table : Table
    """

    def __init__(self, table: Table) -> None:
        self.table = table

    def current(self) -> CurrentRow | None:
        """Return the newest revision; None before the first.

        Raises
        ------
        ConfigurationUnavailableError, ConfigurationUnreadableError
        """
        row = _converted(lambda: self.table.get(CURRENT_TABLE, CURRENT_KEY))
        return None if row is None else read_row(row, CurrentRow)

    def text(self, revision: Revision, digest: Digest) -> str | None:
        """Return the canonical text of a revision, if it is there.

        Raises
        ------
        ConfigurationUnavailableError
        ConfigurationUnreadableError
            If it is not the text that has the digest.
        """
        row = _converted(lambda: self.table.get(MANIFEST_TABLE, revision_key(revision)))
        if row is None:
            return None
        manifest = read_row(row, ManifestRow)
        if digest_of(manifest.text) != digest:
            detail = f"the store's text of revision {revision} has another digest"
            raise ConfigurationUnreadableError(detail)
        return manifest.text

    def step(self, revision: Revision) -> HistoryRow | None:
        """Return how one revision came about, if it is there.

        Raises
        ------
        ConfigurationUnavailableError, ConfigurationUnreadableError
        """
        row = _converted(lambda: self.table.get(HISTORY_TABLE, revision_key(revision)))
        return None if row is None else read_row(row, HistoryRow)

    def between(self, base: Revision, newest: Revision) -> list[HistoryRow] | None:
        """Return how `newest` came from `base`, oldest first; None if not there.

        Raises
        ------
        ConfigurationUnavailableError, ConfigurationUnreadableError
        """
        wanted = newest - base
        before = revision_key(newest + 1)
        rows = _converted(
            lambda: self.table.page(HISTORY_TABLE, after=before, limit=wanted)
        )
        steps = [read_row(row, HistoryRow) for row in reversed(rows)]
        found = [step.revision for step in steps]
        return steps if found == list(range(base + 1, newest + 1)) else None

    def history(self, limit: int) -> list[HistoryRow]:
        """Return up to `limit` revisions, the newest first.

        Raises
        ------
        ConfigurationUnavailableError, ConfigurationUnreadableError
        """
        rows = _converted(
            lambda: list(islice(all_rows(self.table, HISTORY_TABLE), limit))
        )
        return [read_row(row, HistoryRow) for row in rows]


def _converted(read: Callable[[], T]) -> T:
    try:
        return read()
    except PlatformError as error:
        raise ConfigurationUnavailableError(str(error)) from error

"""Acceptance of a manifest: a compare-and-set on the base revision.

One transaction writes the current row, the history row, the whole text and the
audit row, under two conditions: the current row is still the base's, and the next
revision has no history row yet. So of two racing operators one wins, and revisions
never fork.
"""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from ..clock import Clock
from ..ids import Revision
from ..manifest.canonical import canonical_sections, canonical_text, digest_of
from ..manifest.changes import Change, changes_between
from ..manifest.model import Manifest
from ..settings.ini import parse_ini
from ..storage.errors import PlatformError, StoreUnavailableError, UnknownResultError
from ..storage.table import ABSENT, Conflict, Table, TransactionResult
from .errors import (
    ApplyUnknownError,
    ConfigurationUnavailableError,
    ConfigurationUnreadableError,
    StaleBaseError,
)
from .proposal import Accepted, ApplyResult, Overtaken, Prepared, Proposal, Unchanged
from .rows import (
    CURRENT_KEY,
    CURRENT_TABLE,
    HISTORY_TABLE,
    CurrentRow,
    HistoryRow,
    read_row,
    read_value,
    revision_key,
)
from .store import NO_REVISION, ConfigurationStore

SETTLE_PAUSE = timedelta(milliseconds=200)
SETTLE_TIMEOUT = timedelta(seconds=15)


class Applier:
    """Applies one proposal and settles what a lost answer leaves open.

    Parameters
    ----------
    table : Table
    clock : Clock
    pause : Callable
        Waits for a `timedelta` between two tries.
    timeout : timedelta
        How long to go on settling an unknown result.
    """

    def __init__(
        self,
        table: Table,
        clock: Clock,
        pause: Callable[[timedelta], None],
        timeout: timedelta = SETTLE_TIMEOUT,
    ) -> None:
        self.table = table
        self.store = ConfigurationStore(table)
        self.clock = clock
        self.pause = pause
        self.timeout = timeout

    def apply(self, proposal: Proposal) -> ApplyResult:
        """Have a manifest accepted as the revision after its base.

        Raises
        ------
        ConfigurationUnavailableError
            Nothing was changed, and nothing will be.
        StaleBaseError
            The base is newer than anything the store has.
        ApplyUnknownError
            The store did not answer in time to settle it.
        ConfigurationUnreadableError
        """
        prepared = self._prepare(proposal)
        if not isinstance(prepared, Prepared):
            return prepared
        return self._commit(prepared)

    def _prepare(self, proposal: Proposal) -> Prepared | ApplyResult:
        try:
            row = self.table.get(CURRENT_TABLE, CURRENT_KEY)
        except PlatformError as error:
            raise ConfigurationUnavailableError(f"nothing changed: {error}") from error
        version = ABSENT if row is None else row.version
        current = None if row is None else read_row(row, CurrentRow)
        revision = NO_REVISION if current is None else current.revision
        if revision > proposal.base:
            return self._lost_or_done(proposal, revision)
        if revision < proposal.base:
            # Either the read is stale or the operator has mistaken the revision.
            # Going on without the base's row would mean guessing its version.
            raise StaleBaseError(proposal.base, revision)
        digest = digest_of(canonical_text(proposal.manifest))
        is_same = current is not None and current.digest == digest
        if is_same and proposal.above <= proposal.base:
            return Unchanged(revision, digest)
        changes = self._changes(proposal.manifest, current)
        return Prepared.of(proposal, changes, self.clock.now(), version)

    def _changes(
        self, manifest: Manifest, current: CurrentRow | None
    ) -> tuple[Change, ...]:
        wanted = canonical_sections(manifest)
        if current is None:
            return changes_between({}, wanted)
        text = self.store.text(current.revision, current.digest)
        if text is None:
            detail = f"the text of revision {current.revision} can't be read yet"
            raise ConfigurationUnavailableError(f"nothing changed: {detail}")
        # The base is taken as it stands, unchecked: a base that an older version
        # accepted must not keep this one from replacing it.
        return changes_between(parse_ini(text, "the base").sections, wanted)

    def _commit(self, prepared: Prepared) -> ApplyResult:
        """Send the transaction until its result is known.

        A lost answer leaves open whether the write took effect or will yet. The
        same transaction is sent again: it can't be done twice, as its conditions
        fail once it was, and the conflict then carries the rows as they are. A
        plain read would not do, since it may be stale, and since a write that is
        still on its way would not show in it.
        """
        deadline = self.clock.monotonic() + self.timeout
        unknown: PlatformError | None = None
        while True:
            try:
                result = self.table.transact(prepared.conditions, prepared.writes)
            except UnknownResultError as error:
                unknown = error
            except StoreUnavailableError as error:
                if unknown is None:
                    detail = f"nothing changed: {error}"
                    raise ConfigurationUnavailableError(detail) from error
            else:
                verdict = self._judge(prepared, result)
                if not isinstance(verdict, Prepared):
                    return verdict
                prepared = verdict
            if self.clock.monotonic() >= deadline:
                apply_id = prepared.proposal.apply_id
                raise ApplyUnknownError(apply_id, str(unknown)) from unknown
            self.pause(SETTLE_PAUSE)

    def _judge(
        self, prepared: Prepared, result: TransactionResult
    ) -> ApplyResult | Prepared:
        if result.committed:
            return prepared.accepted
        key = revision_key(prepared.revision)
        step = result.conflict_on(HISTORY_TABLE, key)
        if step is not None:
            row = read_value(step.value, HistoryRow)
            if row.apply_id == prepared.proposal.apply_id:
                return prepared.accepted
            return self._overtaken(prepared.proposal.base, result)
        current = result.conflict_on(CURRENT_TABLE, CURRENT_KEY)
        if current is None or not _is_base(current, prepared.proposal.base):
            detail = "the store's current revision has no history row"
            raise ConfigurationUnreadableError(detail)
        # Only the version was wrong: the read of the current row was stale, but
        # no newer revision exists. The version in the conflict is the true one.
        return replace(prepared, version=current.version)

    def _overtaken(self, base: Revision, result: TransactionResult) -> Overtaken:
        conflict = result.conflict_on(CURRENT_TABLE, CURRENT_KEY)
        if conflict is None:
            raise ConfigurationUnreadableError("a revision is not current nor past")
        newest = read_value(conflict.value, CurrentRow).revision
        return Overtaken(base, newest, self._steps(base, newest))

    def _lost_or_done(
        self, proposal: Proposal, newest: Revision
    ) -> Accepted | Overtaken:
        """Tell whether the revision that follows the base is this proposal's own."""
        try:
            own = self.store.step(proposal.revision)
        except ConfigurationUnavailableError:
            own = None
        if own is not None and own.apply_id == proposal.apply_id:
            return Accepted(own.revision, own.digest, own.changes)
        steps = self._steps(proposal.base, newest)
        return Overtaken(proposal.base, newest, steps)

    def _steps(self, base: Revision, newest: Revision) -> tuple[HistoryRow, ...]:
        try:
            return tuple(self.store.between(base, newest) or ())
        except ConfigurationUnavailableError:
            return ()


def _is_base(conflict: Conflict, base: Revision) -> bool:
    if conflict.version == ABSENT:
        return base == NO_REVISION
    return read_value(conflict.value, CurrentRow).revision == base

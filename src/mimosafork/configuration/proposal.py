"""A proposed manifest, the rows that accept it, and what may become of it."""

from dataclasses import dataclass
from datetime import datetime

from ..audit.trail import AuditDetail, AuditEntry, audit_write
from ..ids import ApplyId, Digest, Revision
from ..manifest.canonical import canonical_text, digest_of
from ..manifest.changes import Change
from ..manifest.model import Manifest
from ..storage.table import ABSENT, Condition, Write
from .rows import (
    CURRENT_KEY,
    CURRENT_TABLE,
    HISTORY_TABLE,
    KEPT_MANIFESTS,
    MANIFEST_TABLE,
    CurrentRow,
    HistoryRow,
    ManifestRow,
    revision_key,
    value_of,
)

ACTION = "manifest-apply"


@dataclass(frozen=True, slots=True)
class Accepted:
    """The manifest is the accepted configuration under `revision`."""

    revision: Revision
    digest: Digest
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The manifest says what is in force already; no revision was made."""

    revision: Revision
    digest: Digest


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Somebody else's change came first; nothing was changed.

    Attributes
    ----------
    steps : tuple of HistoryRow
        What was accepted since the base, oldest first; empty if it can't be read.
    """

    base: Revision
    current: Revision
    steps: tuple[HistoryRow, ...]


ApplyResult = Accepted | Unchanged | Overtaken


@dataclass(frozen=True, slots=True)
class Proposal:
    """One operator's change, the same at every try.

    Attributes
    ----------
    apply_id : ApplyId
        Tells this change from all others in the store.
    base : Revision
        The revision that it was reviewed against; 0 for the first.
    above : Revision
        A revision that the new one must be higher than, though the store may not
        have it: instances may be ahead of a store that was put back to a backup.
    """

    manifest: Manifest
    base: Revision
    operator: str
    apply_id: ApplyId
    above: Revision = Revision(0)

    @property
    def revision(self) -> Revision:
        """The revision that it makes."""
        return Revision(max(self.base, self.above) + 1)


@dataclass(frozen=True, slots=True)
class Prepared:
    """The transaction for a proposal; the same rows at every try.

    Attributes
    ----------
    version : int
        Of the current row, as far as it is known.
    """

    proposal: Proposal
    changes: tuple[Change, ...]
    digest: Digest
    writes: tuple[Write, ...]
    version: int

    @classmethod
    def of(
        cls,
        proposal: Proposal,
        changes: tuple[Change, ...],
        at: datetime,
        version: int,
    ) -> "Prepared":
        """Make all rows of a proposal that is made at the wall time `at`."""
        text = canonical_text(proposal.manifest)
        digest = digest_of(text)
        revision = proposal.revision
        step = HistoryRow(
            revision,
            proposal.base,
            digest,
            proposal.apply_id,
            proposal.operator,
            at,
            changes,
        )
        key = revision_key(revision)
        current = CurrentRow(revision, digest, proposal.apply_id)
        manifest = ManifestRow(revision, digest, text)
        writes = [
            Write(CURRENT_TABLE, CURRENT_KEY, value_of(current)),
            Write(HISTORY_TABLE, key, value_of(step)),
            Write(MANIFEST_TABLE, key, value_of(manifest)),
            audit_write(_audit_entry(step)),
        ]
        if revision > KEPT_MANIFESTS:
            oldest = revision_key(revision - KEPT_MANIFESTS)
            writes.append(Write(MANIFEST_TABLE, oldest, None))
        return cls(proposal, changes, digest, tuple(writes), version)

    @property
    def revision(self) -> Revision:
        """The revision that it makes."""
        return self.proposal.revision

    @property
    def accepted(self) -> Accepted:
        """What to report once it is done."""
        return Accepted(self.revision, self.digest, self.changes)

    @property
    def conditions(self) -> tuple[Condition, ...]:
        """What must hold for it to take effect."""
        return (
            Condition(CURRENT_TABLE, CURRENT_KEY, self.version),
            Condition(HISTORY_TABLE, revision_key(self.revision), ABSENT),
        )


def _audit_entry(step: HistoryRow) -> AuditEntry:
    details = [
        AuditDetail("base", str(step.base)),
        AuditDetail("revision", str(step.revision)),
        AuditDetail("digest", step.digest),
    ]
    details += [AuditDetail("change", str(change)) for change in step.changes]
    return AuditEntry(
        step.apply_id, step.at, step.operator, ACTION, "manifest", tuple(details)
    )

"""What ``mimosafork manifest`` answers, as JSON and for people."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import singledispatch

import typer

from ..cli.output import shown_time
from ..configuration.proposal import Accepted, ApplyResult, Overtaken, Unchanged
from ..configuration.rows import HistoryRow
from ..ids import ApplyId, Digest, Revision
from ..manifest.changes import Change
from ..settings.errors import Fault


@dataclass(frozen=True, slots=True)
class CheckedAnswer:
    """Result of a check; the digest is empty if there are faults."""

    digest: str
    faults: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class DiffAnswer:
    """What applying a manifest on `base` would change."""

    base: Revision
    digest: Digest
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class AppliedAnswer:
    """Result of an apply.

    Attributes
    ----------
    result : str
        ``accepted``, ``unchanged``, ``overtaken`` or ``unknown``.
    revision : Revision
        The newest revision that is known.
    steps : tuple of HistoryRow
        What came first, when overtaken.
    """

    result: str
    apply_id: ApplyId
    revision: Revision
    digest: str = ""
    changes: tuple[Change, ...] = ()
    steps: tuple[HistoryRow, ...] = ()


@dataclass(frozen=True, slots=True)
class StatusAnswer:
    """The newest accepted revision; 0 if there is none."""

    revision: Revision
    digest: Digest
    apply_id: ApplyId


@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """A key's hash, and the key itself if it was made just now."""

    hash: Digest
    key: str | None = None


@singledispatch
def answer_of(result: ApplyResult, apply_id: ApplyId) -> AppliedAnswer:
    """Return what to print of an apply's result."""
    raise TypeError(f"no answer for {result!r}")


@answer_of.register
def _(result: Accepted, apply_id: ApplyId) -> AppliedAnswer:
    return AppliedAnswer(
        "accepted", apply_id, result.revision, result.digest, result.changes
    )


@answer_of.register
def _(result: Unchanged, apply_id: ApplyId) -> AppliedAnswer:
    return AppliedAnswer("unchanged", apply_id, result.revision, result.digest)


@answer_of.register
def _(result: Overtaken, apply_id: ApplyId) -> AppliedAnswer:
    return AppliedAnswer("overtaken", apply_id, result.current, steps=result.steps)


def print_changes(changes: Sequence[Change]) -> None:
    """Print changes, one a line."""
    if not changes:
        typer.echo("no change")
    for change in changes:
        typer.echo(str(change))


def print_steps(steps: Iterable[HistoryRow]) -> None:
    """Print revisions with what each changed."""
    for step in steps:
        typer.echo(
            f"revision {step.revision} by {step.operator} at {shown_time(step.at)}"
        )
        for change in step.changes:
            typer.echo(f"  {change}")

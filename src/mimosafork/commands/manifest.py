"""``mimosafork manifest``: check, compare and apply the fleet's manifest."""

import sys
import time
from datetime import timedelta
from pathlib import Path
from typing import Annotated
from uuid import uuid4

import typer

from ..cli.exits import CommandError, ExitCode
from ..cli.output import print_json, print_table, shown_time
from ..cli.platform import JsonOption, TableOption, operator_name, table_client
from ..clock import SystemClock
from ..configuration.apply import Applier
from ..configuration.errors import ApplyUnknownError
from ..configuration.proposal import Overtaken, Proposal
from ..configuration.store import NO_REVISION, ConfigurationStore
from ..ids import ApplyId, Digest, Revision
from ..manifest.canonical import canonical_sections, canonical_text, digest_of
from ..manifest.changes import changes_between
from ..manifest.errors import ManifestError
from ..manifest.keys import checked_key, hash_key, new_key
from ..manifest.parser import load_manifest
from ..settings.ini import parse_ini
from .manifest_answers import (
    AppliedAnswer,
    CheckedAnswer,
    DiffAnswer,
    KeyAnswer,
    StatusAnswer,
    answer_of,
    print_changes,
    print_steps,
)

app = typer.Typer(no_args_is_help=True, add_completion=False)

FileArgument = Annotated[Path, typer.Argument(help="manifest in INI")]


@app.callback()
def manifest() -> None:
    """Check, compare and apply the fleet's manifest."""


@app.command()
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a manifest offline; list every fault or print its digest.

    Example: mimosafork manifest check examples/voces.manifest.ini
    """
    try:
        checked = load_manifest(file)
    except ManifestError as error:
        if as_json:
            print_json(CheckedAnswer("", error.faults))
            raise typer.Exit(ExitCode.INVALID) from error
        raise
    digest = digest_of(canonical_text(checked))
    if as_json:
        print_json(CheckedAnswer(digest))
        return
    typer.echo(f"{file}: no fault")
    typer.echo(f"digest {digest}")


@app.command()
def diff(file: FileArgument, table: TableOption, as_json: JsonOption = False) -> None:
    """Show what a manifest would change, and the base to apply it on.

    Example: mimosafork manifest diff voces.ini --table 10.0.0.5:9001
    """
    wanted = load_manifest(file)
    store = ConfigurationStore(table_client(table))
    current = store.current()
    text = "" if current is None else store.text(current.revision, current.digest)
    if text is None:
        detail = "the text of the current revision can't be read yet; try again"
        raise CommandError(ExitCode.UNAVAILABLE, detail)
    base = NO_REVISION if current is None else current.revision
    sections = parse_ini(text, "in force").sections
    changes = changes_between(sections, canonical_sections(wanted))
    answer = DiffAnswer(base, digest_of(canonical_text(wanted)), changes)
    if as_json:
        print_json(answer)
        return
    print_changes(changes)
    typer.echo(f"base {base}")
    typer.echo(f"digest {answer.digest}")


@app.command()
def apply(
    file: FileArgument,
    table: TableOption,
    base: Annotated[
        int,
        typer.Option(min=0, help="revision that it was reviewed against; 0: none yet"),
    ],
    digest: Annotated[
        str | None, typer.Option(help="digest that was reviewed; another is refused")
    ] = None,
    operator: Annotated[
        str | None,
        typer.Option(
            envvar="MIMOSAFORK_OPERATOR",
            help="who applies it, for the audit trail; the system's user if absent",
        ),
    ] = None,
    apply_id: Annotated[
        str | None,
        typer.Option(help="id of an earlier apply whose result stayed unknown"),
    ] = None,
    above: Annotated[
        int,
        typer.Option(
            min=0,
            help="make a revision above this one; for a store put back to a backup",
        ),
    ] = 0,
    timeout: Annotated[
        float, typer.Option(help="seconds to go on settling an unknown result")
    ] = 15.0,
    as_json: JsonOption = False,
) -> None:
    """Have a manifest accepted, if the base revision is still the newest.

    Example: mimosafork manifest apply voces.ini --base 41 --table 10.0.0.5:9001
    """
    wanted = load_manifest(file)
    refuse_other_digest(digest_of(canonical_text(wanted)), digest)
    chosen = ApplyId(apply_id or uuid4().hex)
    who = operator or operator_name()
    proposal = Proposal(wanted, Revision(base), who, chosen, Revision(above))
    applier = Applier(
        table_client(table),
        SystemClock(),
        lambda pause: time.sleep(pause.total_seconds()),
        timedelta(seconds=timeout),
    )
    try:
        result = applier.apply(proposal)
    except ApplyUnknownError as error:
        if as_json:
            print_json(AppliedAnswer("unknown", chosen, Revision(base)))
        hint = f"settle it with the same command and --apply-id {chosen}"
        raise CommandError(ExitCode.UNKNOWN, f"{error}\n{hint}") from error
    answer = answer_of(result, chosen)
    if as_json:
        print_json(answer)
    elif isinstance(result, Overtaken):
        print_steps(result.steps)
    else:
        print_changes(answer.changes)
        typer.echo(f"{answer.result}: revision {answer.revision}")
        typer.echo(f"digest {answer.digest}")
    if isinstance(result, Overtaken):
        why = f"revision {result.current} came first; nothing was changed"
        raise CommandError(ExitCode.CONFLICT, why)


@app.command()
def status(table: TableOption, as_json: JsonOption = False) -> None:
    """Show the newest accepted revision.

    Example: mimosafork manifest status --table 10.0.0.5:9001
    """
    store = ConfigurationStore(table_client(table))
    current = store.current()
    if current is None:
        answer = StatusAnswer(NO_REVISION, Digest(""), ApplyId(""))
    else:
        answer = StatusAnswer(current.revision, current.digest, current.apply_id)
    if as_json:
        print_json(answer)
    elif current is None:
        typer.echo("no manifest has been accepted yet")
    else:
        typer.echo(f"revision {answer.revision}")
        typer.echo(f"digest {answer.digest}")
        typer.echo(f"apply id {answer.apply_id}")


@app.command()
def history(
    table: TableOption,
    limit: Annotated[int, typer.Option(min=1, help="revisions to show")] = 20,
    changes: Annotated[bool, typer.Option(help="show what each changed")] = False,
    as_json: JsonOption = False,
) -> None:
    """List accepted revisions, the newest first.

    Example: mimosafork manifest history --limit 5 --changes --table 10.0.0.5:9001
    """
    steps = ConfigurationStore(table_client(table)).history(limit)
    if as_json:
        print_json(steps)
        return
    if changes:
        print_steps(steps)
        return
    print_table(
        ("REVISION", "WHEN", "WHO", "KEYS", "DIGEST"),
        [
            (
                str(step.revision),
                shown_time(step.at),
                step.operator,
                str(len(step.changes)),
                step.digest,
            )
            for step in steps
        ],
    )


@app.command("hash-key")
def hash_an_api_key(
    new: Annotated[bool, typer.Option(help="make a new random key")] = False,
    as_json: JsonOption = False,
) -> None:
    """Print the hash of an API key, which is read from standard input.

    Example: mimosafork manifest hash-key --new
    """
    key = new_key() if new else checked_key(sys.stdin.readline().strip())
    answer = KeyAnswer(hash_key(key), key if new else None)
    if as_json:
        print_json(answer)
        return
    if answer.key is not None:
        typer.echo(f"key  {answer.key}")
    typer.echo(f"hash {answer.hash}")


def refuse_other_digest(actual: Digest, reviewed: str | None) -> None:
    """Refuse a file that is not the one that was reviewed.

    Raises
    ------
    CommandError
    """
    if reviewed is not None and reviewed != actual:
        why = f"the manifest's digest is {actual}, not {reviewed}; nothing was changed"
        raise CommandError(ExitCode.INVALID, why)

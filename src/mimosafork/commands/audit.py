"""``mimosafork audit``: who changed what and when."""

from typing import Annotated

import typer

from ..audit.trail import AuditEntry, newest_entries
from ..cli.output import print_json, shown_time
from ..cli.platform import JsonOption, TableOption, table_client

app = typer.Typer(add_completion=False)


@app.command()
def audit(
    table: TableOption,
    limit: Annotated[int, typer.Option(min=1, help="entries to show")] = 20,
    as_json: JsonOption = False,
) -> None:
    """List the audit trail, the newest entry first.

    Example: mimosafork audit --limit 5 --table 10.0.0.5:9001
    """
    entries = newest_entries(table_client(table), limit)
    if as_json:
        print_json(entries)
        return
    for entry in entries:
        print_entry(entry)


def print_entry(entry: AuditEntry) -> None:
    """Print an entry with its particulars."""
    when = shown_time(entry.at)
    typer.echo(f"{when} {entry.actor}: {entry.action} {entry.subject}")
    for detail in entry.details:
        typer.echo(f"  {detail.name}: {detail.value}")

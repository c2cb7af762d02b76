"""``mimosafork quarantine``: show and lift quarantines of a gateway's fleet."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC
from typing import Annotated, TypeVar

import typer
from msgspec.structs import replace

from ..cli.exits import CommandError, ExitCode
from ..cli.output import print_json, print_table, shown_time
from ..cli.platform import JsonOption, checked_address
from ..clock import SystemClock
from ..directory.errors import RowsError, UnknownResultError
from ..directory.rows import RowCondition, Rows
from ..quarantine.rows import TABLE, StoredRow, read_rows, row_put

app = typer.Typer(add_completion=False, no_args_is_help=True)

T = TypeVar("T")

StoreOption = Annotated[
    str,
    typer.Option(
        "--store",
        envvar="MIMOSAFORK_STORE",
        callback=checked_address,
        help="IP:PORT of the platform's store",
    ),
]


@app.callback()
def quarantine() -> None:
    """Show which contents are refused for crashing endpoints, and lift that."""


@app.command("list")
def list_quarantines(store: StoreOption, as_json: JsonOption = False) -> None:
    """Show the bodies and prompt parts that were quarantined, the latest first.

    Example: mimosafork quarantine list --store 10.200.1.7:8223
    """
    found = call_store(store, read_rows)
    found.sort(key=lambda row: row.stored.decided_at, reverse=True)
    if as_json:
        print_json([row.stored for row in found])
        return
    print_table(
        ["content", "state", "since", "until", "crashes", "accounts"],
        [columns(row) for row in found],
    )


@app.command()
def lift(
    content: Annotated[str, typer.Argument(help="as `list` shows it")],
    store: StoreOption,
) -> None:
    """End the quarantine of a content; all instances know within 30 s.

    Example: mimosafork quarantine lift engines/5c1e07a2 --store 10.200.1.7:8223
    """
    call_store(store, lambda rows: lift_content(rows, content))
    typer.echo(f"{content} is lifted")


async def lift_content(rows: Rows, content: str) -> None:
    """Mark a stored decision as lifted.

    Raises
    ------
    CommandError, RowsError
    """
    for row in await read_rows(rows):
        if row.stored.content == content and not row.stored.lifted:
            now = SystemClock().now()
            lifted = replace(row.stored, lifted=True, decided_at=now, until=now)
            condition = RowCondition(TABLE, "", content, row.version)
            await rows.write([row_put(lifted)], conditions=[condition])
            return
    raise CommandError(ExitCode.INVALID, f"{content} is not quarantined")


def columns(row: StoredRow) -> list[str]:
    """Return the cells of a decision."""
    stored = row.stored
    return [
        stored.content,
        "lifted" if stored.lifted else "quarantined",
        shown_time(stored.decided_at.astimezone(UTC)),
        shown_time(stored.until.astimezone(UTC)),
        str(stored.crashes),
        ",".join(stored.accounts) or "-",
    ]


def call_store(address: str, call: Callable[[Rows], Awaitable[T]]) -> T:
    """Make some calls of the store.

    Raises
    ------
    CommandError
        If they fail.
    """
    from ..platform.store import PreparedStore

    async def run() -> T:
        store = PreparedStore(address)
        try:
            return await call(store)
        finally:
            store.close()

    try:
        return asyncio.run(run())
    except UnknownResultError as error:
        raise CommandError(ExitCode.UNKNOWN, str(error)) from error
    except RowsError as error:
        raise CommandError(ExitCode.UNAVAILABLE, str(error)) from error

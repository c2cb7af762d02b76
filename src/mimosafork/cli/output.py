"""How commands print what they found."""

from collections.abc import Iterable, Sequence
from datetime import datetime
from typing import Any

import msgspec
import typer


def print_json(value: Any) -> None:
    """Print a value as JSON, for scripts."""
    encoded = msgspec.json.encode(value)
    typer.echo(msgspec.json.format(encoded, indent=2).decode())


def print_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    """Print rows in columns, for people."""
    lines = [list(header), *(list(row) for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        typer.echo("  ".join(cells).rstrip())


def shown_time(at: datetime) -> str:
    """Return a wall time in UTC, to the second."""
    return f"{at:%Y-%m-%d %H:%M:%S}Z"

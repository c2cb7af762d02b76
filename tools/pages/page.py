"""What a generated page is, and how tables are written in it."""

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Page:
    """A page as the code would have it.

    Parameters
    ----------
    path : Path
        Relative to the repository's root.
    text : str or None
        Its whole text; None if the code that it describes is not there yet.
    """

    path: Path
    text: str | None


def table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table in Markdown.

    Parameters
    ----------
    header : sequence of str
        Names of the columns.
    rows : iterable of sequence of str
        Cells; bars and line ends in them are escaped.

    Returns
    -------
    str
        Ending with a line end.
    """
    lines = [header, ["---"] * len(header), *rows]
    return "".join(f"| {' | '.join(cell(each) for each in line)} |\n" for line in lines)


def cell(text: str) -> str:
    """Return a text as it can stand in a table's cell.

    Parameters
    ----------
    text : str
        Any text.

    Returns
    -------
    str
        On one line.
    """
    return re.sub(r"\s+", " ", text).strip().replace("|", "\\|")


def code(text: str) -> str:
    """Return a text set as code; an empty one stays empty."""
    return f"`{text}`" if text else ""

"""Find references in hand-written pages to what the code does not have."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

EVENT_CODE = re.compile(r"\bMF\d{4}\b")
METRIC_NAME = re.compile(r"\bmimosafork(?:_[a-z0-9]+)+\b")
COMMAND = re.compile(r"(?:^|`|\s)mimosafork((?: [a-z][a-z-]*)+)")
SUFFIXES = re.compile(r"_(?:bucket|sum|count)$")


def dangling_events(pages: Iterable[Path], known: set[str]) -> Iterator[str]:
    """Find event numbers that the catalogue does not have.

    Parameters
    ----------
    pages : iterable of Path
        To read.
    known : set of str
        Numbers such as ``MF1203``.

    Yields
    ------
    str
        A complaint.
    """
    for page, text in texts(pages):
        for number in sorted(set(EVENT_CODE.findall(text)) - known):
            yield f"{page}: {number} is not in the catalogue of events"


def dangling_metrics(pages: Iterable[Path], known: set[str]) -> Iterator[str]:
    """Find metrics that the catalogue does not have.

    Parameters
    ----------
    pages : iterable of Path
        To read.
    known : set of str
        Names as they are exposed.

    Yields
    ------
    str
        A complaint.
    """
    for page, text in texts(pages):
        names = {SUFFIXES.sub("", each) for each in METRIC_NAME.findall(text)}
        for name in sorted(names - known):
            yield f"{page}: {name} is not in the catalogue of metrics"


def dangling_commands(pages: Iterable[Path], known: set[str]) -> Iterator[str]:
    """Find commands in code spans and blocks that the command line does not have.

    Parameters
    ----------
    pages : iterable of Path
        To read.
    known : set of str
        Whole ways such as ``mimosafork manifest check``.

    Yields
    ------
    str
        A complaint.
    """
    for page, text in texts(pages):
        for line in code_of(text):
            for words in COMMAND.findall(line):
                if not names_command(words.split(), known):
                    yield f"{page}: there is no command 'mimosafork{words}'"


def names_command(words: list[str], known: set[str]) -> bool:
    """Say whether words after the program's name begin with a command or group.

    Parameters
    ----------
    words : list of str
        Lower-case words; further ones may be arguments.
    known : set of str
        Whole ways of all commands.

    Returns
    -------
    bool
        True if the first word, or the first two, name one.
    """
    whole = {tuple(each.split()[1:]) for each in known}
    groups = {each[:length] for each in whole for length in range(1, len(each))}
    if tuple(words) in groups:
        return True
    return any(
        tuple(words[:length]) in whole for length in range(1, min(3, len(words) + 1))
    )


def code_of(text: str) -> list[str]:
    """Return the code spans and indented or fenced lines of a page.

    Parameters
    ----------
    text : str
        Markdown.

    Returns
    -------
    list of str
        Each a line or a span.
    """
    found = []
    fenced = False
    for line in text.splitlines():
        if line.startswith("```"):
            fenced = not fenced
        elif fenced or line.startswith("    "):
            found.append(line.strip().removeprefix("$ "))
        else:
            found += re.findall(r"`([^`]+)`", line)
    return found


def texts(pages: Iterable[Path]) -> Iterator[tuple[Path, str]]:
    """Read pages.

    Parameters
    ----------
    pages : iterable of Path
        To read.

    Yields
    ------
    (Path, str)
        The page and its text.
    """
    for page in pages:
        yield page, page.read_text("utf-8")

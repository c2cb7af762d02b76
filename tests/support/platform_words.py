"""Finding the prepared platform's wire words in sources that should not know them."""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from mimosafork.platform import names

KNOWING = ("platform", "standins")
"""Folders that speak with the platform, or in its place."""

DISTINCTIVE = ("tenant", "tenants", "geo", "impairment", "ver", "seq", "/-/")
"""Words of the platform that are looked for beside the constants of its names."""

OWN_INTERFACE = {
    "x-request-id": ("endpoints", "relay"),
    "x-deadline-ms": ("client", "endpoints", "server"),
    "retry-after": ("server",),
    "authorization": ("client", "commands", "server", "telemetry"),
    "bearer": ("client", "commands", "server", "telemetry"),
}
"""Words that the product's older interface, or a standard of HTTP, has too, and the
folders of that interface. Anywhere else they are the platform's."""


@dataclass(frozen=True, slots=True)
class Finding:
    """A wire word where it should not be."""

    file: str
    line: int
    word: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.word}"


def wire_words() -> frozenset[str]:
    """Return the platform's words that are no ordinary English, in lower case.

    Headers, call paths, and fields of several parts. A field that is a plain word,
    such as ``weight``, says nothing about who speaks.
    """
    words = set(DISTINCTIVE)
    for name, value in vars(names).items():
        if not name.isupper():
            continue
        if isinstance(value, bytes):
            words.add(value.decode("ascii").lower())
        elif isinstance(value, str) and re.search(r"[/_-]", value):
            words.add(value.lower())
    return frozenset(words)


def findings(package: Path) -> list[Finding]:
    """Return the wire words in a package's sources, outside `KNOWING`.

    Parameters
    ----------
    package : Path
        The package's folder.
    """
    words = wire_words()
    found = []
    for path in sorted(package.rglob("*.py")):
        folder = path.relative_to(package).parts[0]
        if folder not in KNOWING:
            source = path.read_text("utf-8")
            name = str(path.relative_to(package))
            found += [
                Finding(name, line, word)
                for line, word in words_in(source, words)
                if folder not in OWN_INTERFACE.get(word, ())
            ]
    return found


def words_in(source: str, words: frozenset[str]) -> list[tuple[int, str]]:
    """Return the lines of a source that hold a word, and which.

    A word with underscores may well be a variable's name that was chosen without
    thought of the platform, such as ``step_ms``: it counts as a whole literal only.
    All others count anywhere, also in comments and docstrings.
    """
    literal = frozenset(word for word in words if "_" in word)
    anywhere = pattern_of(words - literal)
    found = {
        (number, match.group().lower())
        for number, line in enumerate(source.splitlines(), 1)
        for match in anywhere.finditer(line)
    }
    # Parsing all sources takes a second, and hardly one has such a word at all.
    if any(word in source.lower() for word in literal):
        found.update(pair for pair in literals_in(source) if pair[1] in literal)
    return sorted(found)


def pattern_of(words: frozenset[str]) -> re.Pattern[str]:
    """Return what matches any of some words, but not as a part of a longer one."""
    longest_first = sorted(words, key=lambda word: (-len(word), word))
    choice = "|".join(map(re.escape, longest_first))
    # A path may be followed by more of it, a word may not.
    return re.compile(rf"(?<![\w-])(?:{choice})(?:(?<=/)|(?![\w-]))", re.IGNORECASE)


def literals_in(source: str) -> Iterator[tuple[int, str]]:
    """Return the line and text of each literal, in lower case."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            value = node.value
            text = value if isinstance(value, str) else value.decode("latin-1")
            yield node.lineno, text.lower()

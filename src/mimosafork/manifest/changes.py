"""Differences between two manifests, as typed changes."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .canonical import Sections, sort_key
from .errors import ChangeError


@dataclass(frozen=True, slots=True)
class Change:
    """One key that differs.

    Attributes
    ----------
    before, after : str or None
        Canonical values; None where the key is not there. A section that is new
        or gone appears as changes of all its keys.
    """

    section: str
    key: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"[{self.section}] {self.key}: added, {self.after or '(empty)'}"
        if self.after is None:
            return f"[{self.section}] {self.key}: removed, was {self.before}"
        before = self.before or "(empty)"
        return f"[{self.section}] {self.key}: {before} -> {self.after or '(empty)'}"


def changes_between(before: Sections, after: Sections) -> tuple[Change, ...]:
    """Return what must change for `before` to become `after`."""
    titles = sorted({*before, *after}, key=sort_key)
    return tuple(change for title in titles for change in _in(title, before, after))


def changed_sections(
    base: Sections, changes: Sequence[Change]
) -> dict[str, dict[str, str]]:
    """Return sections with changes made in them, in canonical order.

    Raises
    ------
    ChangeError
        If a change does not start from what is there.
    """
    result = {title: dict(values) for title, values in base.items()}
    for change in changes:
        _make(change, result)
    titles = sorted((title for title in result if result[title]), key=sort_key)
    return {title: result[title] for title in titles}


def _in(title: str, before: Sections, after: Sections) -> Iterator[Change]:
    old, new = before.get(title, {}), after.get(title, {})
    for key in [*old, *(key for key in new if key not in old)]:
        if old.get(key) != new.get(key):
            yield Change(title, key, old.get(key), new.get(key))


def _make(change: Change, sections: dict[str, dict[str, str]]) -> None:
    values = sections.setdefault(change.section, {})
    if values.get(change.key) != change.before:
        raise ChangeError(f"[{change.section}] {change.key} is not {change.before!r}")
    if change.after is None:
        values.pop(change.key, None)
    else:
        values[change.key] = change.after

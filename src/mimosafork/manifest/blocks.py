"""Accepted texts by their sections, so that a change costs what it changes.

A manifest with thousands of accounts takes part of a second to check whole. Once
accepted it need not be checked again: its digest is the accepted one. What was
made of a section stays good as long as the section's text is the same.
"""

from collections.abc import Iterable, Mapping, Sequence

from pydantic import BaseModel, ValidationError

from ..settings.errors import Fault
from ..settings.ini import IniFile, parse_ini
from .canonical import section_text, sort_key
from .changes import Change, changed_sections
from .convert import Policy, policy_of
from .errors import ManifestError
from .parser import model_for, section_faults

Policies = dict[str, Policy | None]
"""What each section means, by the section's canonical text."""

SEPARATOR = "\n\n"
SOURCE = "accepted manifest"


def blocks_of(text: str) -> list[str]:
    """Cut a canonical text into its sections."""
    return text.rstrip("\n").split(SEPARATOR)


def text_of_blocks(blocks: Iterable[str]) -> str:
    """Put a canonical text together again."""
    return SEPARATOR.join(blocks) + "\n"


def policies_of(text: str, known: Mapping[str, Policy | None]) -> Policies:
    """Return what each section of a canonical text means.

    Parameters
    ----------
    text : str
    known : Mapping
        What is known of sections already; only the others are read.

    Raises
    ------
    ManifestError
    """
    blocks = blocks_of(text)
    unknown = [block for block in blocks if block not in known]
    read = _read(unknown) if unknown else {}
    return {block: known[block] if block in known else read[block] for block in blocks}


def changed_text(blocks: Iterable[str], changes: Sequence[Change]) -> str:
    """Return the canonical text that changes lead to.

    Raises
    ------
    ChangeError
        If a change does not start from what is there.
    """
    by_title = {_title_of(block): block for block in blocks}
    touched = dict.fromkeys(change.section for change in changes)
    base = {
        title: _values_of(by_title.pop(title)) for title in touched if title in by_title
    }
    for title, values in changed_sections(base, changes).items():
        by_title[title] = section_text(title, values).rstrip("\n")
    return text_of_blocks(by_title[title] for title in sorted(by_title, key=sort_key))


def _title_of(block: str) -> str:
    return block[1 : block.index("]")] if "]" in block else block


def _values_of(block: str) -> Mapping[str, str]:
    return parse_ini(block, SOURCE).sections.get(_title_of(block), {})


def _read(blocks: Sequence[str]) -> Policies:
    """Read sections in one go, which is far cheaper than one by one."""
    file = parse_ini(text_of_blocks(blocks), SOURCE)
    if file.faults:
        raise ManifestError(file.faults)
    return {block: _policy_of(_title_of(block), file) for block in blocks}


def _policy_of(title: str, file: IniFile) -> Policy | None:
    if title not in file.sections:
        raise ManifestError([Fault(SOURCE, title, "", "is no section")])
    section = _checked(model_for(title), title, file.sections[title])
    return policy_of(section, title.partition(" ")[2])


def _checked(
    model: type[BaseModel], title: str, values: Mapping[str, str]
) -> BaseModel:
    try:
        return model.model_validate(values)
    except ValidationError as error:
        raise ManifestError(
            list(section_faults(error, SOURCE, title, model))
        ) from error

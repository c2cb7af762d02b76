"""Reading of INI files, shared by settings and manifests.

Nothing is filled in behind the reader's back: no ``[DEFAULT]`` section, no
interpolation, no keys without a value, and names count in their own case.
"""

from collections.abc import Mapping
from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
    Error,
    MissingSectionHeaderError,
    ParsingError,
)
from pathlib import Path

import msgspec

from .errors import Fault

NO_DEFAULT_SECTION = "\0"
"""A name that no section can have: ``[DEFAULT]`` becomes a section like others."""


class IniFile(msgspec.Struct, frozen=True):
    """What an INI file says, and what can't be read in it.

    Attributes
    ----------
    sections : Mapping of str to Mapping of str to str
        Values by section and key.
    faults : tuple of Fault
        Faults of form; `sections` then holds what could be read.
    """

    name: str
    sections: Mapping[str, Mapping[str, str]]
    faults: tuple[Fault, ...] = ()


def read_ini(path: Path) -> IniFile:
    """Read a file; one that can't be read has a fault and no sections."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        fault = Fault(str(path), "", "", f"can't be read: {error.strerror}")
        return IniFile(str(path), {}, (fault,))
    except UnicodeDecodeError as error:
        fault = Fault(str(path), "", "", f"is not UTF-8: {error.reason}")
        return IniFile(str(path), {}, (fault,))
    return parse_ini(text, str(path))


def parse_ini(text: str, name: str) -> IniFile:
    """Parse the text of a file.

    Parameters
    ----------
    text : str
    name : str
        Name of the file in faults.
    """
    faults: list[Fault] = []
    parser = _parser(strict=True)
    try:
        parser.read_string(text, name)
    except Error as error:
        faults += _faults_of(error, name)
        parser = _lenient(text, name)
    sections = {
        section: dict(parser.items(section, raw=True)) for section in parser.sections()
    }
    return IniFile(name, sections, tuple(faults))


def _parser(strict: bool) -> ConfigParser:
    parser = ConfigParser(
        default_section=NO_DEFAULT_SECTION,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        interpolation=None,
        empty_lines_in_values=False,
        strict=strict,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def _lenient(text: str, name: str) -> ConfigParser:
    """Read on after a fault of form, so that the other faults are listed too."""
    parser = _parser(strict=False)
    try:
        parser.read_string(text, name)
    except Error:
        return parser
    return parser


def _faults_of(error: Error, name: str) -> list[Fault]:
    if isinstance(error, DuplicateOptionError):
        why = f"stands twice, again on line {error.lineno}"
        return [Fault(name, error.section, error.option, why)]
    if isinstance(error, DuplicateSectionError):
        why = f"the section stands twice, again on line {error.lineno}"
        return [Fault(name, error.section, "", why)]
    if isinstance(error, MissingSectionHeaderError):
        why = f"line {error.lineno} stands before the first [section]"
        return [Fault(name, "", "", why)]
    if isinstance(error, ParsingError):
        return [
            Fault(name, "", "", f"line {number} is no 'key = value': {line}")
            for number, line in error.errors
        ]
    return [Fault(name, "", "", error.message)]

"""Errors of settings and other INI files."""

from collections.abc import Sequence

import msgspec

from ..errors import MimosaforkError


class Fault(msgspec.Struct, frozen=True):
    """One thing that is wrong in an INI file.

    Attributes
    ----------
    section, key : str
        Empty when the fault is not in one.
    """

    file: str
    section: str
    key: str
    why: str

    def __str__(self) -> str:
        place = self.file
        if self.section:
            place += f": [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.why}"


class IniError(MimosaforkError):
    """An INI file is refused; every fault found in it is listed.

    Parameters
    ----------
    faults : sequence of Fault
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


class SettingsError(IniError):
    """The settings of a process are refused."""

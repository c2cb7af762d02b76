"""Turns an INI file into an entry instance's settings, or lists all of its faults."""

from pathlib import Path

from .checking import checked
from .ini import IniFile, parse_ini, read_ini
from .model import InstanceSettings


def load_settings(path: Path) -> InstanceSettings:
    """Read and check the settings of an entry instance.

    Raises
    ------
    SettingsError
        With every fault: file, section, key and why.
    """
    return settings_of(read_ini(path))


def parse_settings(text: str, name: str = "settings") -> InstanceSettings:
    """Check settings given as text.

    Raises
    ------
    SettingsError
    """
    return settings_of(parse_ini(text, name))


def settings_of(file: IniFile) -> InstanceSettings:
    """Check what an INI file says.

    Raises
    ------
    SettingsError
    """
    return checked(file, InstanceSettings)

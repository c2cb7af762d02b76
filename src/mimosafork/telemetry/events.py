"""Numbered log events.

The events themselves stand in the modules of `catalogue`, one for each range of
numbers; `all_events` gathers them.
"""

from collections.abc import Iterable
from enum import IntEnum
from importlib import import_module
from logging import DEBUG, ERROR, INFO, WARNING
from pkgutil import iter_modules
from string import Formatter
from types import ModuleType

import msgspec

from . import catalogue
from .errors import CatalogueError

PREFIX = "MF"
RANGE_SIZE = 100


class Level(IntEnum):
    """Severity of an event, as `logging` counts it."""

    DEBUG = DEBUG
    INFO = INFO
    WARNING = WARNING
    ERROR = ERROR


class Importance(IntEnum):
    """What is left out first where there are too many lines."""

    SERVED = 0
    """A call that went well."""
    CALL = 1
    """A call that was refused or failed."""
    BELIEF = 2
    """Anything else: a start, a stop, a change of what the process believes."""


class Event(msgspec.Struct, frozen=True):
    """One kind of log line.

    Parameters
    ----------
    number : int
        Four digits that never change their meaning; shown as ``MF1203``.
    name : str
        Short name in lower case with hyphens.
    level : Level
        Severity.
    template : str
        The message, with fields in braces.
    meaning : str
        What has happened and which effect it has.
    action : str
        What an operator should do; "None." where that is nothing.
    importance : Importance, optional
        Lines of little importance are left out first in a flood.
    """

    number: int
    name: str
    level: Level
    template: str
    meaning: str
    action: str
    importance: Importance = Importance.BELIEF

    @property
    def code(self) -> str:
        """The number as it is logged."""
        return f"{PREFIX}{self.number}"

    @property
    def fields(self) -> tuple[str, ...]:
        """Names of the fields that the message needs, in order."""
        parsed = Formatter().parse(self.template)
        return tuple(name for _, name, _, _ in parsed if name)


def catalogue_modules() -> list[ModuleType]:
    """Import the catalogue's modules.

    Returns
    -------
    list of ModuleType
        Sorted by the range that they hold.

    Raises
    ------
    CatalogueError
        If a module does not say its ``RANGE``.
    """
    found = [
        import_module(f"{catalogue.__name__}.{each.name}")
        for each in iter_modules(catalogue.__path__)
    ]
    for module in found:
        if not isinstance(getattr(module, "RANGE", None), int):
            raise CatalogueError(f"{module.__name__} has no RANGE")
    return sorted(found, key=lambda module: module.RANGE)


def all_events() -> tuple[Event, ...]:
    """Gather the events of the whole catalogue.

    Returns
    -------
    tuple of Event
        By number.

    Raises
    ------
    CatalogueError
        If a number or name stands twice, or a number is outside the range of
        its module.
    """
    events: list[Event] = []
    for module in catalogue_modules():
        own = [each for each in vars(module).values() if isinstance(each, Event)]
        check_range(own, module)
        events += own
    check_unique([each.code for each in events])
    check_unique([each.name for each in events])
    return tuple(sorted(events, key=lambda event: event.number))


def check_range(events: Iterable[Event], module: ModuleType) -> None:
    """Check that a module's events are in its range.

    Parameters
    ----------
    events : iterable of Event
        Those of the module.
    module : ModuleType
        With ``RANGE``, the first number of a hundred.

    Raises
    ------
    CatalogueError
        If one is outside.
    """
    for event in events:
        if event.number // RANGE_SIZE != module.RANGE // RANGE_SIZE:
            raise CatalogueError(f"{event.code} is outside the range {module.RANGE}")


def check_unique(names: Iterable[str]) -> None:
    """Check that no name stands twice.

    Parameters
    ----------
    names : iterable of str
        Numbers or names.

    Raises
    ------
    CatalogueError
        If one does; it names it.
    """
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise CatalogueError(f"{name} stands twice in the catalogue")
        seen.add(name)

"""Checks an INI file by a model of its settings, and lists all of its faults."""

import re
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails

from .errors import Fault, SettingsError
from .ini import IniFile
from .types import format_duration

M = TypeVar("M", bound=BaseModel)

LIMIT = re.compile(r"datetime\.timedelta\((?:0|([a-z]+=\d+(?:, [a-z]+=\d+)*))\)")
"""How the validator writes the bound of a duration."""


def checked(file: IniFile, model: type[M]) -> M:
    """Check an INI file by the model of its settings.

    Parameters
    ----------
    file : IniFile
    model : type of BaseModel
        With one field a section.

    Raises
    ------
    SettingsError
        With every fault. Of a file that can't be read only that is told: each of its
        sections would be missing too.
    """
    if file.faults and not file.sections:
        raise SettingsError(file.faults)
    faults = list(file.faults)
    settings: M | None = None
    try:
        settings = model.model_validate(file.sections)
    except ValidationError as error:
        faults += faults_of(error, file.name, model)
    if faults or settings is None:
        raise SettingsError(faults)
    return settings


def faults_of(
    error: ValidationError, file: str, model: type[BaseModel]
) -> Iterable[Fault]:
    """Convert the validator's findings in a file of sections and keys.

    Parameters
    ----------
    error : ValidationError
        Its locations are (section, key, ...).
    file : str
        Name of the file.
    model : type of BaseModel
        The model with one field a section.
    """
    for detail in error.errors(include_url=False):
        place = [str(part) for part in detail["loc"]]
        section = place[0] if place else ""
        key = place[1] if len(place) > 1 else ""
        yield Fault(file, section, key, reason_of(detail, known_names(model, section)))


def reason_of(detail: ErrorDetails, known: Sequence[str]) -> str:
    """Return in one line why a value is refused.

    Parameters
    ----------
    detail : ErrorDetails
        One finding of the validator.
    known : sequence of str
        Names that could have stood in its place.
    """
    kind = detail["type"]
    if kind == "missing":
        return "is missing"
    if kind == "extra_forbidden":
        return f"is unknown; known are {', '.join(known)}"
    why = detail["msg"].removeprefix("Value error, ")
    why = LIMIT.sub(_written_limit, why)
    given = detail["input"]
    if kind == "value_error" or not isinstance(given, str):
        return why
    return f"{given!r}: {why[:1].lower()}{why[1:]}"


def _written_limit(found: re.Match[str]) -> str:
    """Return a duration's bound as an operator would write it."""
    parts = (part.split("=") for part in (found[1] or "seconds=0").split(", "))
    return format_duration(timedelta(**{unit: int(count) for unit, count in parts}))


def known_names(model: type[BaseModel], section: str) -> Sequence[str]:
    """Return the keys of a section, or the sections if there is no such one."""
    fields: Mapping[str, Any] = model.model_fields
    inner = fields[section].annotation if section in fields else model
    if isinstance(inner, type) and issubclass(inner, BaseModel):
        return sorted(inner.model_fields)
    return sorted(fields)

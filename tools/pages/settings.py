"""The references of settings and manifest, from the models that check them."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated, Any, Literal, NewType, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from mimosafork.settings.types import format_duration

from .page import Page, code, table

PATH = Path("docs/operators/settings.md")
MODULE = "mimosafork.settings.model"
ROOT_MODEL = "InstanceSettings"
INTRODUCTION = """# Settings

`mimosafork serve --settings FILE.ini` reads one INI file and refuses it whole if
anything in it is wrong, naming file, section, key and reason of every fault.
A duration is a number with its unit, such as `250ms`, `2s`, `5min` or `1h`; an
address is `IP:PORT`; a list has commas or line ends between its parts. A section
whose keys all have defaults may be left out. `make docs` writes this page from the
models that check the file.
"""

MANIFEST_PATH = Path("docs/operators/manifest.md")
MANIFEST_MODULE = "mimosafork.manifest.model"
MANIFEST_MODEL = "Manifest"
MANIFEST_INTRODUCTION = """# Manifest

The manifest is an INI file that a pipeline generates and people review. It is
refused whole if anything in it is wrong, and every fault is listed at once. It has no
defaults: what is in force is what stands in the file. Values are written as in
[settings](settings.md). `make docs` writes this page from the models that check the
file.
"""


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the settings file.

    Parameters
    ----------
    name : str
        As it stands in brackets.
    model : type of BaseModel or None
        What checks it; None if the operator chooses the names of its keys.
    text : str
        Its introduction and its keys.
    """

    name: str
    model: type[BaseModel] | None
    text: str


def settings_page() -> Page:
    """Return the page of an instance's settings."""
    return reference(PATH, INTRODUCTION, MODULE, ROOT_MODEL)


def manifest_page() -> Page:
    """Return the page of the manifest's sections."""
    return reference(
        MANIFEST_PATH, MANIFEST_INTRODUCTION, MANIFEST_MODULE, MANIFEST_MODEL
    )


def reference(path: Path, text: str, module: str, name: str) -> Page:
    """Return the reference page of an INI file's model.

    Parameters
    ----------
    path : Path
        Of the page.
    text : str
        What stands before the sections.
    module, name : str
        Where the root model is.

    Returns
    -------
    Page
        Without a text while the model is not there.
    """
    if not exists(module):
        return Page(path, None)
    parts = [text]
    for section in sections(getattr(import_module(module), name)):
        parts.append(f"\n## [{section.name}]\n\n{section.text}")
    return Page(path, "".join(parts))


def exists(module: str) -> bool:
    """Say whether a module can be found, without importing it.

    Parameters
    ----------
    module : str
        Dotted name.

    Returns
    -------
    bool
        False also if its package is missing.
    """
    try:
        return find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def sections(root: type[BaseModel]) -> Iterator[Section]:
    """List the sections of a file.

    Parameters
    ----------
    root : type of BaseModel
        Whose fields are the sections.

    Yields
    ------
    Section
        In the order of the model; one that stands once for each name, such as
        ``[model NAME]``, comes from a mapping.

    Raises
    ------
    TypeError
        If a field is no section, as it could not be written in an INI file.
    """
    for name, field in root.model_fields.items():
        if get_origin(field.annotation) is dict:
            yield Section(name, None, free_keys(field))
            continue
        model = section_model(field.annotation)
        if model is None:
            raise TypeError(f"{root.__name__}.{name} is not a section")
        heading = field.alias or name
        if get_origin(field.annotation) is Mapping:
            heading = f"{heading.removesuffix('s')} NAME"
        yield Section(heading, model, introduction(model) + keys(model))


def section_model(annotation: Any) -> type[BaseModel] | None:
    """Find the model in a section's annotation, also in an optional one.

    Parameters
    ----------
    annotation : type
        Of a field of the root model.

    Returns
    -------
    type of BaseModel or None
        None if there is none.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = [section_model(each) for each in get_args(annotation)]
    return next((each for each in found if each is not None), None)


def introduction(model: type[BaseModel]) -> str:
    """Return the first paragraph of a model's docstring, as a paragraph."""
    text = (model.__doc__ or "").strip().split("\n\n")[0].replace("``", "`")
    return f"{' '.join(text.split())}\n\n" if text else ""


def keys(model: type[BaseModel]) -> str:
    """Return the table of a section's keys.

    Parameters
    ----------
    model : type of BaseModel
        Of the section.

    Returns
    -------
    str
        A table.

    Raises
    ------
    ValueError
        If a key has no description.
    """
    rows = []
    for name, field in model.model_fields.items():
        if not field.description:
            raise ValueError(f"{model.__name__}.{name} has no description")
        key = code(field.alias or name)
        kind = type_name(field.annotation)
        rows.append((key, kind, default(field), bounds(field), field.description))
    return table(("key", "type", "default", "bounds", "meaning"), rows)


def free_keys(field: FieldInfo) -> str:
    """Return the text of a section whose keys are names that the operator chooses.

    Its field has the form of a line as its title.
    """
    return f"{field.description}\n\nOne line each: {code(field.title or '')}.\n"


def type_name(annotation: Any) -> str:
    """Return what an operator writes for a type.

    Parameters
    ----------
    annotation : type
        Of a key.

    Returns
    -------
    str
        A word or two; the choices of an `Enum`.
    """
    names = {bool: "yes or no", int: "integer", float: "number", str: "text"}
    names[timedelta] = "duration"
    if annotation in names:
        return names[annotation]
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return ", ".join(code(str(each.value)) for each in annotation)
    if get_origin(annotation) is Literal:
        return ", ".join(code(str(each)) for each in get_args(annotation))
    if get_origin(annotation) is Annotated:
        return type_name(get_args(annotation)[0])
    if isinstance(annotation, NewType):
        return type_name(annotation.__supertype__)
    parts = [each for each in get_args(annotation) if each is not type(None)]
    if len(parts) == 1:
        return type_name(parts[0])
    if parts and annotation is not None and ... in parts:
        return f"list of {type_name(parts[0])}"
    return getattr(annotation, "__name__", str(annotation)).lower()


def default(field: FieldInfo) -> str:
    """Return a key's default as it would be written."""
    if field.is_required():
        return "required"
    value = field.get_default(call_default_factory=True)
    if isinstance(value, timedelta):
        return code(format_duration(value))
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, bool):
        value = "yes" if value else "no"
    if value is None or value in ("", ()):
        return "none"
    return code(str(value))


def bounds(field: FieldInfo) -> str:
    """Return the bounds that a key's value must keep."""
    signs = {"gt": ">", "ge": ">=", "lt": "<", "le": "<="}
    found = []
    for constraint in constraints(field):
        for name, sign in signs.items():
            value = getattr(constraint, name, None)
            if isinstance(value, timedelta):
                value = format_duration(value)
            if value is not None:
                found.append(f"{sign} {value}")
    return ", ".join(found)


def constraints(field: FieldInfo) -> list[Any]:
    """List the constraints of a key, also those inside an optional type."""
    found = list(field.metadata)
    for part in get_args(field.annotation):
        for each in get_args(part)[1:] if get_origin(part) is Annotated else ():
            found += each.metadata if isinstance(each, FieldInfo) else [each]
    return found

"""Turns an INI file into a checked manifest, or lists all of its faults."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from pydantic import BaseModel, ValidationError

from ..settings.checking import reason_of
from ..settings.errors import Fault
from ..settings.ini import IniFile, parse_ini, read_ini
from ..settings.types import split_list
from .errors import ManifestError
from .model import (
    NAME,
    AccountSection,
    FleetSection,
    HeaderSection,
    Manifest,
    ModelSection,
    ServiceSection,
)

SINGLE: dict[str, type[BaseModel]] = {"manifest": HeaderSection, "fleet": FleetSection}
NAMED: dict[str, type[BaseModel]] = {
    "model": ModelSection,
    "service": ServiceSection,
    "account": AccountSection,
}


def load_manifest(path: Path) -> Manifest:
    """Read and check a manifest file.

    Raises
    ------
    ManifestError
        With every fault: file, section, key and why.
    """
    return manifest_of(read_ini(path))


def parse_manifest(text: str, name: str = "manifest") -> Manifest:
    """Check a manifest given as text.

    Raises
    ------
    ManifestError
    """
    return manifest_of(parse_ini(text, name))


def manifest_of(file: IniFile) -> Manifest:
    """Check what an INI file says.

    Raises
    ------
    ManifestError
    """
    reading = _Reading(file.name, list(file.faults))
    for title, values in file.sections.items():
        reading.read(title, dict(values))
    for title in SINGLE:
        if title not in reading.values:
            reading.fault(title, "", "the section is missing")
    reading.faults += cross_faults(reading)
    if reading.faults:
        raise ManifestError(reading.faults)
    return Manifest.model_construct(
        manifest=reading.sections["manifest"],
        fleet=reading.sections["fleet"],
        models=reading.named("model"),
        services=reading.named("service"),
        accounts=reading.named("account"),
    )


@dataclass(slots=True)
class _Reading:
    """Sections that were read, and the faults found so far.

    Attributes
    ----------
    values : dict of str to dict of str to str
        What stands in the file by plain title, faulty sections too: a fault in a
        section must not hide one between it and another.
    """

    file: str
    faults: list[Fault]
    sections: dict[str, BaseModel] = field(default_factory=dict)
    values: dict[str, dict[str, str]] = field(default_factory=dict)

    def fault(self, section: str, key: str, why: str) -> None:
        self.faults.append(Fault(self.file, section, key, why))

    def read(self, title: str, values: dict[str, str]) -> None:
        """Check one section."""
        model = self._model_of(title)
        if model is None:
            return
        plain = " ".join(title.split())
        if plain in self.values:
            self.fault(title, "", "the section stands twice")
        self.values[plain] = values
        try:
            self.sections[plain] = model.model_validate(values)
        except ValidationError as error:
            self.faults += section_faults(error, self.file, title, model)

    def named(self, kind: str) -> dict[str, BaseModel]:
        """Return the sections of one kind by their names."""
        return {
            title.split()[1]: section
            for title, section in sorted(self.sections.items())
            if title.split()[0] == kind
        }

    def of_kind(self, kind: str) -> Iterator[tuple[str, dict[str, str]]]:
        """Yield the titles and values of the named sections of one kind."""
        for title, values in self.values.items():
            if title.startswith(f"{kind} "):
                yield title, values

    def _model_of(self, title: str) -> type[BaseModel] | None:
        try:
            return model_for(title)
        except ManifestError as error:
            self.fault(title, "", error.faults[0].why)
            return None


def model_for(title: str) -> type[BaseModel]:
    """Return the model of a section by its title.

    Raises
    ------
    ManifestError
        If there can be no such section.
    """
    if title in SINGLE:
        return SINGLE[title]
    kind, _, name = title.partition(" ")
    if kind not in NAMED:
        known = [*SINGLE, *(f"{each} NAME" for each in NAMED)]
        why = f"is unknown; known are {', '.join(known)}"
        raise ManifestError([Fault("", title, "", why)])
    if not NAME.fullmatch(name.strip()):
        raise ManifestError([Fault("", title, "", f"{name.strip()!r} is no name")])
    return NAMED[kind]


def section_faults(
    error: ValidationError, file: str, title: str, model: type[BaseModel]
) -> Iterator[Fault]:
    """Convert the validator's findings in one section."""
    known = sorted(model.model_fields)
    for detail in error.errors(include_url=False):
        key = str(detail["loc"][0]) if detail["loc"] else ""
        yield Fault(file, title, key, reason_of(detail, known))


def cross_faults(reading: _Reading) -> Iterator[Fault]:
    """Find what is wrong between sections that are right by themselves."""
    yield from _deadline_faults(reading)
    yield from _key_faults(reading)
    yield from _model_faults(reading)


def _deadline_faults(reading: _Reading) -> Iterator[Fault]:
    fleet = reading.sections.get("fleet")
    if not isinstance(fleet, FleetSection):
        return
    if fleet.default_deadline > fleet.longest_deadline:
        why = "is longer than longest_deadline"
        yield Fault(reading.file, "fleet", "default_deadline", why)


def _key_faults(reading: _Reading) -> Iterator[Fault]:
    """Find keys that two accounts share: either of them would be charged."""
    owners: dict[str, str] = {}
    for title, values in reading.of_kind("account"):
        for key_hash in split_list(values.get("key_hashes", "")):
            owner = owners.setdefault(key_hash, title)
            if owner != title:
                why = f"{key_hash[:8]}... stands in [{owner}] too"
                yield Fault(reading.file, title, "key_hashes", why)


def _model_faults(reading: _Reading) -> Iterator[Fault]:
    models = {title.split()[1] for title, _ in reading.of_kind("model")}
    if not models and not any(reading.of_kind("service")):
        why = "there is neither a [model NAME] nor a [service NAME]"
        yield Fault(reading.file, "", "", why)
    for title, values in reading.of_kind("account"):
        named = split_list(values.get("models", ""))
        unknown = [name for name in named if name not in models]
        if unknown:
            why = f"there is no [model NAME] for {', '.join(unknown)}"
            yield Fault(reading.file, title, "models", why)

"""The one way of writing a manifest, and the digest that operators compare.

Comments, blank lines and the order of sections, keys and list members do not
count; the digest changes exactly when the meaning does.
"""

from collections.abc import Iterator, Mapping
from datetime import timedelta
from functools import singledispatch
from hashlib import sha256
from typing import Any

from pydantic import BaseModel

from ..ids import Digest
from ..settings.types import format_duration
from .model import Manifest

Sections = Mapping[str, Mapping[str, str]]
"""Canonical values by section title and key, in canonical order."""


@singledispatch
def canonical_value(value: Any) -> str:
    """Return the one way of writing a value."""
    return str(value)


@canonical_value.register
def _(value: timedelta) -> str:
    return format_duration(value)


@canonical_value.register
def _(value: float) -> str:
    return repr(value).removesuffix(".0")


@canonical_value.register
def _(value: tuple) -> str:
    return ", ".join(sorted(value))


def canonical_sections(manifest: Manifest) -> dict[str, dict[str, str]]:
    """Return all values of a manifest in canonical form and order."""
    return {title: _values_of(section) for title, section in _titled(manifest)}


def text_of(sections: Sections) -> str:
    """Return the text of canonical sections."""
    return "\n".join(section_text(title, values) for title, values in sections.items())


def canonical_text(manifest: Manifest) -> str:
    """Return the canonical text of a manifest; parsing it gives it back."""
    return text_of(canonical_sections(manifest))


def digest_of(text: str) -> Digest:
    """Return the SHA-256 of a canonical text."""
    return Digest(sha256(text.encode()).hexdigest())


def sort_key(title: str) -> tuple[int, str]:
    """Return the place of a section in canonical order."""
    order = ("manifest", "fleet", "model", "service", "account")
    return order.index(title.split(maxsplit=1)[0]), title


def _titled(manifest: Manifest) -> Iterator[tuple[str, BaseModel]]:
    yield "manifest", manifest.manifest
    yield "fleet", manifest.fleet
    for model, model_section in sorted(manifest.models.items()):
        yield f"model {model}", model_section
    for service, service_section in sorted(manifest.services.items()):
        yield f"service {service}", service_section
    for account, account_section in sorted(manifest.accounts.items()):
        yield f"account {account}", account_section


def _values_of(section: BaseModel) -> dict[str, str]:
    return {
        name: canonical_value(getattr(section, name))
        for name in type(section).model_fields
    }


def section_text(title: str, values: Mapping[str, str]) -> str:
    """Return the text of one canonical section."""
    lines = [f"{key} = {value}".rstrip() for key, value in values.items()]
    return "\n".join([f"[{title}]", *lines, ""])

"""Errors of manifests."""

from ..errors import MimosaforkError
from ..settings.errors import IniError


class ManifestError(IniError):
    """A manifest is refused whole; every fault in it is listed."""


class ChangeError(MimosaforkError):
    """Changes do not fit the manifest that they are applied to."""


class ApiKeyError(MimosaforkError):
    """An API key is no good."""

"""Errors of reading what the platform wrote."""

from ..directory.errors import UnreadableError


class DocumentError(UnreadableError):
    """A document of the platform lacks what is needed, or has another form."""

"""Errors of reading what the platform wrote."""

from ..directory.errors import UnreadableRowError
from ..network.errors import NoAnswerError


class DocumentError(UnreadableRowError):
    """A document of the platform lacks what is needed, or has another form."""


class SilentError(NoAnswerError):
    """A connection stayed open and told nothing within the call's time-out."""

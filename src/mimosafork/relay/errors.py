"""Errors of the relay."""

from ..errors import MimosaforkError


class RelayError(MimosaforkError):
    """Base of the relay's errors."""


class InvalidAnswerError(RelayError):
    """An endpoint's answer does not follow its protocol."""

"""Errors of the claim adapters."""

from ..errors import MimosaforkError


class ClaimsError(MimosaforkError):
    """Base of the claim adapters' errors."""


class BadClaimRowError(ClaimsError):
    """A row of the claims table is not one."""


class BadAnswerError(ClaimsError):
    """A kept answer can't be read."""

"""Errors of the audit trail."""

from ..errors import MimosaforkError


class AuditError(MimosaforkError):
    """Base of the trail's errors."""


class TrailUnavailableError(AuditError):
    """The trail can't be read just now."""

"""Errors of logs and metrics."""

from ..errors import MimosaforkError


class TelemetryError(MimosaforkError):
    """Base of the errors of this package."""


class CatalogueError(TelemetryError):
    """The catalogue of events and metrics contradicts itself."""

"""Errors of the stand-ins."""

from ..errors import MimosaforkError


class StandinError(MimosaforkError):
    """A stand-in can't do what it was asked to."""


class BadRequestError(StandinError):
    """A request to a stand-in breaks the protocol; answered with 400."""

"""Errors of the platform's clients, by what they leave open."""

from ..errors import MimosaforkError


class PlatformError(MimosaforkError):
    """Base of failed calls to the platform."""


class StoreUnavailableError(PlatformError):
    """The call was not done, and will not be done later."""


class CallRejectedError(StoreUnavailableError):
    """The store found a fault in the call: not done, and repeating is no use."""


class UnknownResultError(PlatformError):
    """The write may have taken effect, or may yet do so; only a look can tell."""

"""Errors of the platform clients, by whether the call may have taken effect."""

from ..errors import MimosaforkError


class PlatformError(MimosaforkError):
    """Base of failed calls to the platform."""


class StoreUnavailableError(PlatformError):
    """The call had no effect and will have none later."""


class CallRejectedError(StoreUnavailableError):
    """The store rejected the call as invalid: no effect, and a retry will not help."""


class UnknownResultError(PlatformError):
    """The write may have taken effect or may still do so; only a read can tell."""

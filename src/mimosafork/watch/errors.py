"""Errors of the watching of endpoints."""

from ..errors import MimosaforkError


class WatchError(MimosaforkError):
    """Base of failed probes."""


class EndpointUnreachableError(WatchError):
    """No connection to the endpoint could be made."""


class NoValidAnswerError(WatchError):
    """The endpoint gave no usable answer in time."""

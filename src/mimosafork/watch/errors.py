"""Errors of endpoint probes."""

from ..errors import MimosaforkError


class WatchError(MimosaforkError):
    """Base of failed probes."""


class EndpointUnreachableError(WatchError):
    """The connection to the endpoint could not be established."""


class NoValidAnswerError(WatchError):
    """The endpoint returned no valid answer within the timeout."""

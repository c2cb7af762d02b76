"""Messages about the active configuration."""

from ..configuration import Configuration
from .base import Effect, Message


class ConfigurationReceived(Message, frozen=True):
    """An accepted configuration was read from the store or received from a peer."""

    configuration: Configuration


class ConfigurationChanged(Effect, frozen=True):
    """A new configuration is active."""

    configuration: Configuration

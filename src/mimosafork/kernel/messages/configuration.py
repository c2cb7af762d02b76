"""Messages about the configuration in force."""

from ..configuration import Configuration
from .base import Effect, Message


class ConfigurationReceived(Message, frozen=True):
    """An accepted configuration was read from the store or heard from a peer."""

    configuration: Configuration


class ConfigurationChanged(Effect, frozen=True):
    """Another configuration is in force from now on."""

    configuration: Configuration

"""The configuration in force, as the server's threads see it."""

from dataclasses import dataclass

from ..kernel.configuration import Configuration
from ..kernel.messages.base import Effect
from ..kernel.messages.configuration import ConfigurationChanged
from ..runtime.kernel_task import KernelTask
from .keys import KeyRing


@dataclass(frozen=True, slots=True)
class InForce:
    """A configuration with what is derived from it."""

    configuration: Configuration
    keys: KeyRing


class ConfigurationView:
    """Keeps what the kernel put in force last.

    Reading is safe from any thread: the whole of it is replaced at once, so that
    one request never sees parts of two revisions.
    """

    def __init__(self) -> None:
        self.current: InForce | None = None

    def register(self, kernel_task: KernelTask) -> None:
        """Hear of each new configuration."""
        kernel_task.register(ConfigurationChanged, self.take)

    def take(self, effect: Effect) -> None:
        """Put a configuration in force."""
        assert isinstance(effect, ConfigurationChanged)
        configuration = effect.configuration
        keys = KeyRing(configuration.accounts.values())
        self.current = InForce(configuration, keys)

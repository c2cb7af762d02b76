"""What an entry instance is put together from."""

from typing import Protocol

from .kernel_task import KernelTask


class Adapter(Protocol):
    """A part that connects the kernel with something outside.

    Adapters are registered before the kernel starts, started in the order of
    their list and stopped in the opposite one.
    """

    def register(self, kernel_task: KernelTask) -> None:
        """Register for the effects that it carries out."""
        ...

    def start(self) -> None:
        """Begin to work."""
        ...

    def stop(self) -> None:
        """End; returns when nothing of it runs any more."""
        ...

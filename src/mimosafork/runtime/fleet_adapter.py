"""Keeps the kernel's view of the platform's list of instances."""

from random import Random

from ..clock import Clock
from ..network.http import HttpClient
from ..settings.model import InstanceSettings
from ..storage.instances import InstanceListClient, InstanceListPoller
from .kernel_task import KernelTask


class FleetAdapter:
    """Polls the instance list."""

    def __init__(
        self,
        settings: InstanceSettings,
        http: HttpClient,
        clock: Clock,
        random: Random,
        kernel_task: KernelTask,
    ) -> None:
        self.poller = InstanceListPoller(
            InstanceListClient(http, settings.platform.instances),
            clock,
            random,
            settings.platform.instances_period,
            kernel_task.send,
        )

    def register(self, kernel_task: KernelTask) -> None:
        """Take no effects."""

    def start(self) -> None:
        """Start polling."""
        self.poller.start()

    def stop(self) -> None:
        """Stop polling."""
        self.poller.stop()

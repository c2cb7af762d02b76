"""Carries out the kernel's wish to watch endpoints."""

from random import Random

from ..clock import Clock
from ..ids import InstanceId
from ..kernel.messages.base import Effect
from ..kernel.messages.watch import FetchCacheSnapshot, WatchEndpoints
from ..network.http import HttpClient
from ..settings.model import PeersSection
from ..watch.calls import EndpointReader
from ..watch.task import WatchTask
from .kernel_task import KernelTask


class WatchAdapter:
    """Probes the endpoints that fall to this instance."""

    def __init__(
        self,
        settings: PeersSection,
        instance: InstanceId,
        clock: Clock,
        random: Random,
        kernel_task: KernelTask,
    ) -> None:
        timeout = settings.probe_timeout
        # Connections for probes are apart from those for requests, so that neither
        # waits for the other's.
        http = HttpClient(instance, connect_timeout=timeout, answer_timeout=timeout)
        self.task = WatchTask(
            EndpointReader(http, timeout),
            clock,
            random,
            kernel_task.send,
            settings.probe_period,
        )

    def register(self, kernel_task: KernelTask) -> None:
        """Take the effects about watching."""
        kernel_task.register(WatchEndpoints, self.take)
        kernel_task.register(FetchCacheSnapshot, self.take)

    def take(self, effect: Effect) -> None:
        """Hand an effect to the task."""
        if isinstance(effect, WatchEndpoints | FetchCacheSnapshot):
            self.task.send(effect)

    def start(self) -> None:
        """Start probing."""
        self.task.start()

    def stop(self) -> None:
        """Stop probing."""
        self.task.stop()

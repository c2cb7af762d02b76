"""Instances as processes in front of plain endpoints, under a steady load."""

import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from itertools import count

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.documents import ConfigEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings

from .endpoint_cut import CutMode
from .gateway_processes import GatewayProcess, cut_file, gateway_process
from .prepared import API_KEY, DESKS, USUAL_CONFIG, NoAnswerError, deployment

KEY = f"Bearer {API_KEY}"
CALLS_S = 40


@dataclass
class PlainFleet:
    """Instances that have found each other, and their endpoints."""

    platform: Deployment
    instances: list[GatewayProcess]
    desks: list[Desk]
    mixed: bool = False
    """Whether every second call may run once at most."""
    numbers: Iterator[int] = field(default_factory=count)

    def send_calls(self, seconds: float) -> list[int]:
        """Send calls to all instances at a steady rate; return their statuses."""
        with ThreadPoolExecutor(CALLS_S) as pool:
            futures = []
            for number in range(int(seconds * CALLS_S)):
                instance = self.instances[number % len(self.instances)]
                name = f"c{next(self.numbers)}"
                once = self.mixed and number % 2 == 0
                futures.append(pool.submit(call, instance, name, once))
                time.sleep(1 / CALLS_S)
            return [each.result() for each in futures]

    def cut_off(self, instances: Iterable[GatewayProcess], mode: CutMode) -> None:
        """Cut instances off from all endpoints, or end that."""
        for instance in instances:
            cut_file(instance.path.parent).write_text(mode.value)


@contextmanager
def plain_fleet(
    instances: int,
    desks: int,
    config: ConfigEntry = USUAL_CONFIG,
    bounds: str = "",
) -> Iterator[PlainFleet]:
    """Run instances until they have found each other, with some plain endpoints.

    Parameters
    ----------
    config : ConfigEntry
    bounds : str
        Further lines of that section of the instances' settings.
    """
    with deployment(config) as platform, ExitStack() as stack:
        endpoints = [platform.add_desk(EndpointSettings(DESKS)) for _ in range(desks)]
        names = [f"entry-{number}" for number in range(instances)]
        addresses = [desk.address for desk in endpoints]
        processes = [
            stack.enter_context(
                gateway_process(platform, name, bounds=bounds, cut_from=addresses)
            )
            for name in names
        ]
        for process, name in zip(processes, names, strict=True):
            process.wait_until_ready()
            for each in set(names) - {name}:
                process.wait_until_logged(f"peer {each} ")
            process.wait_until(lambda p=process: call(p, "w") == 200, "serves")  # type: ignore[misc]
        yield PlainFleet(platform, processes, endpoints)


def call(instance: GatewayProcess, name: str, once: bool = False) -> int:
    """Send a call, which may run once at most; return its status, 0 without any."""
    path = "/unsafe/1" if once else "/safe/1"
    try:
        return instance.ask(path, name, Authorization=KEY).status
    except (NoAnswerError, OSError):
        return 0

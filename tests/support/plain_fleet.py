"""Instances as processes in front of plain endpoints, under a steady load."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings

from .gateway_processes import GatewayProcess, gateway_process
from .prepared import API_KEY, DESKS, deployment
from .waiting import eventually

KEY = f"Bearer {API_KEY}"
CALLS_S = 40


@dataclass
class PlainFleet:
    """Instances that have found each other, and their endpoints."""

    platform: Deployment
    instances: list[GatewayProcess]
    desks: list[Desk]

    def send_calls(self, seconds: float) -> list[int]:
        """Send calls to all instances at a steady rate; return their statuses."""
        with ThreadPoolExecutor(CALLS_S) as pool:
            futures = []
            for number in range(int(seconds * CALLS_S)):
                instance = self.instances[number % len(self.instances)]
                futures.append(pool.submit(call, instance, f"c{number}"))
                time.sleep(1 / CALLS_S)
            return [each.result() for each in futures]


@contextmanager
def plain_fleet(instances: int, desks: int) -> Iterator[PlainFleet]:
    """Run instances until they have found each other, with some plain endpoints."""
    with deployment() as platform, ExitStack() as stack:
        endpoints = [platform.add_desk(EndpointSettings(DESKS)) for _ in range(desks)]
        names = [f"entry-{number}" for number in range(instances)]
        processes = [
            stack.enter_context(gateway_process(platform, name)) for name in names
        ]
        for process, name in zip(processes, names, strict=True):
            process.wait_until_ready()
            for each in set(names) - {name}:
                process.wait_until_logged(f"peer {each} ")
            eventually(lambda p=process: call(p, "w") == 200)  # type: ignore[misc]
        yield PlainFleet(platform, processes, endpoints)


def call(instance: GatewayProcess, name: str) -> int:
    """Send a call; return its status."""
    return instance.ask("/safe/1", name, Authorization=KEY).status

"""Gateways as processes before a platform whose store can go back to a copy."""

import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from datetime import timedelta

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.rows import Rows
from mimosafork.standins.prepared.store_faults import Refusal, StoreFaults

from .gateway_processes import GatewayProcess, gateway_process
from .prepared import API_KEY, DESKS, USUAL_CONFIG
from .waiting import eventually

INSTANCES = 3
HEARTBEAT = timedelta(seconds=1)
LOST_WRITES = 20
AWAY_S = 0.4
IN_FORCE_WITHIN = timedelta(seconds=3)
"""Time after the store's return in which an instance must be up to date again."""


@dataclass
class Fleet:
    """Instances before a platform whose endpoints report by themselves."""

    platform: Deployment
    instances: list[GatewayProcess]

    def restore(
        self, copy: Rows, rewritten: bool = True, down: Refusal = Refusal.RESET
    ) -> None:
        """Let the store be away for a moment and come back from a copy."""
        self.platform.store.set_faults(StoreFaults(down=down))
        time.sleep(AWAY_S)
        self.platform.restore(copy, rewritten)
        self.platform.store.set_faults()

    def write_often(self) -> None:
        """Write the configuration several times, as an operator's pipeline may."""
        assert self.platform.config is not None
        for _ in range(LOST_WRITES):
            self.platform.configure(self.platform.config)
            time.sleep(0.05)

    def until_all(self, holds: Callable[[GatewayProcess], bool]) -> timedelta:
        """Wait until something holds at all instances; return how long it took."""
        return eventually(lambda: all(holds(each) for each in self.instances))

    def logged(self, text: str) -> bool:
        """Return whether each instance has written a line that contains a text."""
        return all(
            any(text in line for line in each.process.lines) for each in self.instances
        )


@contextmanager
def fleet(number: int = INSTANCES) -> Iterator[Fleet]:
    """Run instances that have found each other and serve."""
    with (
        Deployment(USUAL_CONFIG, heartbeat=HEARTBEAT) as platform,
        ExitStack() as stack,
    ):
        platform.add_desk(EndpointSettings(DESKS))
        instances = [
            stack.enter_context(gateway_process(platform, f"entry-{at}"))
            for at in range(number)
        ]
        started = Fleet(platform, instances)
        started.until_all(lambda each: each.ready_status() == 200)
        started.until_all(lambda each: status(each) == 200)
        for each in instances:
            for at in range(number):
                if each is not instances[at]:
                    each.wait_until_logged(f'"peer":"entry-{at}"')
        yield started


def status(instance: GatewayProcess, path: str = "/safe/1", key: str = API_KEY) -> int:
    """Return the status of a call."""
    name = f"c{time.monotonic_ns()}"
    return instance.ask(path, name, Authorization=f"Bearer {key}").status

"""Gateways as real processes, with the prepared stand-ins in the test's own."""

import os
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

from mimosafork.standins.prepared.deployment import Deployment

from .prepared import CallResult, NoAnswerError, ask, call
from .processes import Process
from .waiting import eventually

SETTINGS = """\
[instance]
id = {id}
availability_zone = zone-a
region = sierra-norte

[listen]
front = {front}
ready = {ready}
metrics = {metrics}

[store]
address = {store}

[gossip]
first_port = {gossip}
seeds = {seeds}

[bounds]
grace = 8s
{bounds}

[logging]
level = INFO
"""
READY_PATH = "/-/ready"
HOSTS = count(1)


def own_host() -> str:
    """Return a loopback address that no other test uses at the same time."""
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{next(HOSTS)}"


def free_port(host: str) -> int:
    """Return a port that the system picks on an address of the test's own."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class GatewayProcess:
    """One instance in a process of its own.

    Parameters
    ----------
    folder : Path
        Its settings lie there; also searched for modules before all others.
    """

    def __init__(self, folder: Path, name: str, store: str, bounds: str = "") -> None:
        host = own_host()
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.metrics = f"{host}:{free_port(host)}"
        self.path = folder / f"{name}.ini"
        self.path.write_text(
            SETTINGS.format(
                id=name,
                front=self.front,
                ready=self.ready,
                metrics=self.metrics,
                store=store,
                gossip=free_port(host),
                seeds="",
                bounds=bounds,
            )
        )
        self.process = Process(["gateway", "--settings", str(self.path)], folder)

    def ready_status(self) -> int:
        """Return what the balancer is told; 0 without an answer."""
        try:
            return call(self.ready, "GET", READY_PATH).status
        except (NoAnswerError, OSError):
            return 0

    def wait_until_ready(self, status: int = 200) -> None:
        """Wait until the balancer is told something."""
        eventually(lambda: self.ready_status() == status)

    def ask(self, path: str, name: str, **headers: str) -> CallResult:
        """Post a request with an id."""
        return ask(self.front, path, name, b"body", **headers)

    def wait_until_logged(self, text: str) -> None:
        """Wait for a line with some text."""
        eventually(lambda: any(text in line for line in self.process.lines))


@contextmanager
def gateway_process(
    platform: Deployment,
    name: str = "entry-1",
    store: str = "",
    bounds: str = "",
    sitecustomize: str = "",
) -> Iterator[GatewayProcess]:
    """Run an instance before a prepared platform; it ends with the test.

    Parameters
    ----------
    store : str
        Where it reaches the store, if not at its own address.
    bounds : str
        Further lines of that section of the settings.
    sitecustomize : str
        Code that the interpreter runs first, to bring a fault about.
    """
    with TemporaryDirectory() as folder, ExitStack() as stack:
        Path(folder, "sitecustomize.py").write_text(sitecustomize)
        address = store or platform.store.address
        started = GatewayProcess(Path(folder), name, address, bounds)
        stack.callback(started.process.kill)
        yield started

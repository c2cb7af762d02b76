"""Gateways as real processes, with prepared stand-ins in the test's process."""

import os
import socket
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

from mimosafork.standins.prepared.deployment import Deployment

from .endpoint_cut import SITECUSTOMIZE
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


def unique_loopback_host() -> str:
    """Return a loopback address that no other test uses at the same time."""
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{next(HOSTS)}"


def free_port(host: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port: int = probe.getsockname()[1]
        return port


class GatewayProcess:
    """One instance in a process of its own.

    Parameters
    ----------
    folder : Path
        Contains its settings; first on the module search path.
    """

    def __init__(self, folder: Path, name: str, store: str, bounds: str = "") -> None:
        host = unique_loopback_host()
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
        """Return the status of the readiness check; 0 without an answer."""
        try:
            return call(self.ready, "GET", READY_PATH).status
        except (NoAnswerError, OSError):
            return 0

    def wait_until_ready(self, status: int = 200) -> None:
        """Wait until the readiness check returns a status."""
        eventually(lambda: self.ready_status() == status)

    def ask(self, path: str, name: str, **headers: str) -> CallResult:
        """Post a request with an id."""
        return ask(self.front, path, name, b"body", **headers)

    def wait_until_logged(self, text: str) -> None:
        """Wait for a log line that contains a text."""
        eventually(lambda: any(text in line for line in self.process.lines))


def cut_file(folder: Path) -> Path:
    """Return the file that tells an instance how it is cut off."""
    return folder / "cut"


@contextmanager
def gateway_process(
    platform: Deployment,
    name: str = "entry-1",
    store: str = "",
    bounds: str = "",
    sitecustomize: str = "",
    cut_from: Sequence[str] = (),
) -> Iterator[GatewayProcess]:
    """Run an instance on a prepared platform; it is killed at the end.

    Parameters
    ----------
    store : str
        Address of the store, if not the platform's own.
    bounds : str
        Further lines of that section of the settings.
    sitecustomize : str
        Code that the interpreter runs at startup, to inject a fault.
    cut_from : sequence of str
        Addresses of the endpoints from which a test may cut the instance off.
    """
    with TemporaryDirectory() as folder, ExitStack() as stack:
        if cut_from:
            path = str(cut_file(Path(folder)))
            sitecustomize += SITECUSTOMIZE.format(path=path, addresses=list(cut_from))
        Path(folder, "sitecustomize.py").write_text(sitecustomize)
        address = store or platform.store.address
        started = GatewayProcess(Path(folder), name, address, bounds)
        stack.callback(started.process.kill)
        yield started

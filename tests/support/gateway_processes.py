"""Gateways as real processes, with prepared stand-ins in the test's process."""

import os
import socket
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
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
availability_zone = {zone}
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

[forwarding]
port = {forwarding}

[bounds]
grace = 8s
{bounds}

[zones]
{zones}

[logging]
level = {level}
"""
READY_PATH = "/-/ready"
LAST_LINES = 20
HOSTS = count(1)


def unique_loopback_host() -> str:
    """Return a loopback address that no other test uses at the same time."""
    return f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.{next(HOSTS)}"


def free_ports(host: str, number: int) -> list[int]:
    """Return different free ports of a loopback address.

    All are bound at the same time: the system may pick a port again once it is closed.
    """
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(number)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


@dataclass(frozen=True, slots=True)
class InstancePlace:
    """Zone of an instance, and the regions of zones in its settings."""

    zone: str = "zone-a"
    regions: Mapping[str, str] = field(default_factory=dict)


HERE = InstancePlace()


class GatewayProcess:
    """One instance in a process of its own.

    Parameters
    ----------
    folder : Path
        Contains its settings; first on the module search path.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        store: str,
        bounds: str = "",
        place: InstancePlace = HERE,
        level: str = "INFO",
    ) -> None:
        host = unique_loopback_host()
        front, ready, metrics, gossip, forwarding = free_ports(host, 5)
        self.front = f"{host}:{front}"
        self.ready = f"{host}:{ready}"
        self.metrics = f"{host}:{metrics}"
        self.path = folder / f"{name}.ini"
        self.path.write_text(
            SETTINGS.format(
                id=name,
                front=self.front,
                ready=self.ready,
                metrics=self.metrics,
                store=store,
                gossip=gossip,
                forwarding=forwarding,
                seeds="",
                bounds=bounds,
                zone=place.zone,
                zones="\n".join(f"{z} = {r}" for z, r in place.regions.items()),
                level=level,
            )
        )
        self.folder = folder
        self.process = self._start()

    def _start(self) -> Process:
        return Process(["gateway", "--settings", str(self.path)], self.folder)

    def kill(self) -> None:
        """End the process at once; harmless when repeated."""
        self.process.kill()

    def restart(self) -> None:
        """Kill the process and start another one with the same settings."""
        self.process.kill()
        self.process = self._start()

    def ready_status(self) -> int:
        """Return the status of the readiness check; 0 without an answer."""
        try:
            return call(self.ready, "GET", READY_PATH).status
        except (NoAnswerError, OSError):
            return 0

    def wait_until_ready(self, status: int = 200) -> None:
        """Wait until the readiness check returns a status."""
        self.wait_until(lambda: self.ready_status() == status, f"ready is {status}")

    def ask(self, path: str, name: str, **headers: str) -> CallResult:
        """Post a request with an id."""
        return ask(self.front, path, name, b"body", **headers)

    def wait_until_logged(self, text: str) -> None:
        """Wait for a log line that contains a text."""
        self.wait_until(
            lambda: any(text in line for line in self.process.lines), f"logged {text!r}"
        )

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for a condition; say what the process did if it doesn't come.

        Raises
        ------
        AssertionError
            If the condition does not hold in time, or the process has exited.
        """

        def holds() -> bool:
            if condition():
                return True
            assert self.process.child.poll() is None, "the process has exited"
            return False

        try:
            eventually(holds)
        except AssertionError as error:
            output = [*self.process.lines[-LAST_LINES:], *self.process.errors]
            raise AssertionError("\n".join([f"{what}: {error}", *output])) from None


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
    place: InstancePlace = HERE,
    level: str = "INFO",
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
    place : InstancePlace
        Zone of the instance, and regions of zones.
    level : str
        Lowest level of its log lines.
    """
    with TemporaryDirectory() as folder, ExitStack() as stack:
        if cut_from:
            path = str(cut_file(Path(folder)))
            sitecustomize += SITECUSTOMIZE.format(path=path, addresses=list(cut_from))
        Path(folder, "sitecustomize.py").write_text(sitecustomize)
        address = store or platform.store.address
        started = GatewayProcess(Path(folder), name, address, bounds, place, level)
        stack.callback(started.kill)
        yield started

"""Real processes for tests: stand-ins and entry instances on loopback."""

import os
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, TextIO

from .calls import KEYS, Client

ROOT = Path(__file__).resolve().parent.parent.parent
SOURCE = Path(os.environ.get("MIMOSAFORK_SOURCE", ROOT / "src"))
"""Folder that processes are started from, of this version or of another one."""

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
READY = "ready "
POLL_S = 0.02

MANIFEST = """\
[manifest]
format = 1

[fleet]
long_prompt_tokens = 32768
long_share = 0.5
default_deadline = 60s
longest_deadline = 10min
retry_budget = 0.5
ejected_share = 0.3
max_attempts = 3

[model demo]
version = 1
max_prompt_tokens = 100000
max_output_tokens = 4000
adapters =

[service filings]
timeout = 10s
non_repeatable = POST /drafts

[account voces]
key_hashes = {voces}
tokens_per_second = 1000000
burst_tokens = 100000000
weight = 1
models =

[account dala]
key_hashes = {dala}
tokens_per_second = 1000000
burst_tokens = 100000000
weight = 1
models =
"""

SETTINGS = """\
[instance]
id = {id}
availability_zone = {zone}
region = sierra-norte

[front]
address = 127.0.0.1:0
{front}

[operations]
address = 127.0.0.1:0

[peers]
address = 127.0.0.1:0
probe_period = {probe_period}

[platform]
table = {table}
objects = {objects}
instances = {instances}
instances_period = 200ms
"""


class ProcessError(AssertionError):
    """A process did not do what the test needs of it."""


class Process:
    """One process of the product, its output read as it comes.

    Parameters
    ----------
    arguments : sequence of str
        Of the command line.
    first : Path, optional
        Folder that is searched for modules before all others.
    module : str
        What is run.
    """

    def __init__(
        self,
        arguments: Sequence[str],
        first: Path | None = None,
        module: str = "mimosafork",
    ) -> None:
        folders = [*([first] if first else []), SOURCE, ROOT]
        path = os.pathsep.join(map(str, folders))
        environment = dict(os.environ, PYTHONPATH=path)
        self.arguments = list(arguments)
        self.child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env=environment,
            cwd=ROOT,
        )
        self.lines: list[str] = []
        self.errors: list[str] = []
        self.ready = threading.Event()
        assert self.child.stdout is not None and self.child.stderr is not None
        self.readers = [
            threading.Thread(target=self._read, args=(self.child.stdout, self.lines)),
            threading.Thread(target=self._read, args=(self.child.stderr, self.errors)),
        ]
        for reader in self.readers:
            reader.daemon = True
            reader.start()

    def _read(self, stream: TextIO, lines: list[str]) -> None:
        for line in stream:
            lines.append(line.rstrip("\n"))
            if line.startswith(READY):
                self.ready.set()
        self.ready.set()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.child.pid

    def addresses(self) -> list[str]:
        """Return the words of the ready line, waiting for it."""
        self.ready.wait(READY_TIMEOUT_S)
        for line in self.lines:
            if line.startswith(READY):
                return line.removeprefix(READY).split()
        self.kill()
        raise ProcessError(f"{self.arguments} not ready: {self.lines} {self.errors}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this one process."""
        self.child.send_signal(number)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Return the exit status, waiting for the end."""
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(f"{self.arguments} did not end: {self.errors}") from None

    def kill(self) -> None:
        """End the process at once; harmless when repeated."""
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        for reader in self.readers:
            reader.join()
        for stream in (self.child.stdout, self.child.stderr):
            if stream is not None:
                stream.close()


@dataclass
class Cluster:
    """The platform's stand-ins, endpoints and entry instances of one test."""

    folder: Path
    table: str
    objects: str
    instances: str
    front_settings: str = ""
    probe_period: str = "100ms"
    endpoints: dict[str, Process] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    entries: dict[str, Process] = field(default_factory=dict)
    clients: dict[str, Client] = field(default_factory=dict)
    operations: dict[str, Client] = field(default_factory=dict)
    stack: ExitStack = field(default_factory=ExitStack)

    def start(self, *arguments: str) -> Process:
        """Start a process that ends with the test."""
        process = Process(arguments)
        self.stack.callback(process.kill)
        return process

    def add_engine(self, name: str, *options: str) -> str:
        """Start a model engine and list it; return its address."""
        process = self.start("standin", "engine", "--endpoint", name, *options)
        return self.add_endpoint(name, process, "model-engine")

    def add_service(self, name: str, *options: str) -> str:
        """Start a plain service and list it; return its address."""
        process = self.start("standin", "service", "--endpoint", name, *options)
        return self.add_endpoint(name, process, "plain-service", service="filings")

    def add_endpoint(
        self, name: str, process: Process, kind: str, **members: str
    ) -> str:
        """List a started endpoint; return its address."""
        address = process.addresses()[0]
        body = {
            "id": name,
            "kind": kind,
            "address": address,
            "availability_zone": "az-1",
            "incarnation": 1,
            "state": "live",
            **members,
        }
        answer = Client(self.instances).call("PUT", f"/v1/instances/{name}", body)
        assert answer.status < 300, answer
        self.endpoints[name] = process
        self.addresses[name] = address
        return address

    def add_entry(self, name: str) -> Client:
        """Start an entry instance; return a client of it."""
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            SETTINGS.format(
                id=name,
                zone="az-1",
                table=self.table,
                objects=self.objects,
                instances=self.instances,
                front=self.front_settings,
                probe_period=self.probe_period,
            )
        )
        manifest = self.folder / "manifest.ini"
        manifest.write_text(MANIFEST.format(**key_hashes()))
        process = self.start(
            "serve", "--settings", str(settings), "--manifest", str(manifest)
        )
        front, operations = process.addresses()[:2]
        self.entries[name] = process
        self.clients[name] = Client(front)
        self.operations[name] = Client(operations)
        return self.clients[name]

    def wait_until_served(self, name: str, endpoints: int) -> None:
        """Wait until an entry instance has heard from so many endpoints."""
        client = self.operations[name]
        deadline = threading.Event()
        for _ in range(int(READY_TIMEOUT_S / POLL_S)):
            fleet = client.call("GET", "/fleet").json()
            if sum(each["reported"] for each in fleet["endpoints"]) >= endpoints:
                return
            deadline.wait(POLL_S)
        raise ProcessError(f"{name} did not hear from {endpoints} endpoints")

    def journal(self, endpoint: str) -> list[dict[str, Any]]:
        """Return what an endpoint ran."""
        answer = Client(self.addresses[endpoint]).call("GET", "/journal")
        entries: list[dict[str, Any]] = answer.json()["entries"]
        return entries


def key_hashes() -> dict[str, str]:
    """Return the hash of each account's key."""
    return {name: sha256(key.encode()).hexdigest() for name, key in KEYS.items()}


@contextmanager
def running_platform(front_settings: str = "") -> Iterator[Cluster]:
    """Run the platform's stand-ins as processes of their own."""
    with TemporaryDirectory() as folder, ExitStack() as stack:

        def start(kind: str, *options: str) -> Process:
            process = Process(["standin", kind, *options])
            stack.callback(process.kill)
            return process

        table = start("table")
        objects = start("objects")
        instances = start("instances", "--lag-s", "0.1")
        cluster = Cluster(
            Path(folder),
            table.addresses()[0],
            objects.addresses()[0],
            instances.addresses()[0],
            front_settings,
        )
        stack.enter_context(cluster.stack)
        yield cluster

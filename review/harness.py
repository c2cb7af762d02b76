"""Runs a small deployment for the cases of this folder.

The gateways are processes of their own, started with the command and the template of
the deploy file. The store and the endpoints are the project's own stand-ins, in this
process. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import re
import socket
import subprocess
import sys
import time
import tomllib
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
HOST = "front.example"
KEY = "key-of-account-a"
BOUNDS = {
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 102,
    "hold-max-ms": 20000,
}
CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,spans"
HOSTS = count(1)
RAN_CASE_BADLY = 2
MESSAGE_END = b"\r\n\r\n"


class CaseError(Exception):
    """The case could not run."""


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def loopback_host() -> str:
    """Return a loopback address that nothing else of this run uses."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{next(HOSTS)}"


def free_ports(host: str, number: int) -> list[int]:
    """Return different free ports of a loopback address."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(number)]
        for probe in probes:
            probe.bind((host, 0))
        return [probe.getsockname()[1] for probe in probes]


def lookup(values: object, name: str) -> object:
    """Return a value of nested tables and lists by its dotted name."""
    for part in name.split("."):
        if isinstance(values, list):
            values = values[int(part)] if int(part) < len(values) else None
        elif isinstance(values, dict):
            values = values.get(part)
        else:
            return None
    return values


def rendered(template: str, values: dict[str, object]) -> str:
    """Fill in a settings template as the platform does."""

    def section(match: re.Match[str]) -> str:
        value, body = lookup(values, match[1]), match[2]
        if isinstance(value, dict):
            return "".join(
                body.replace("{{@}}", str(key)).replace("{{.}}", str(each))
                for key, each in value.items()
            )
        return body if value else ""

    def place(match: re.Match[str]) -> str:
        value = lookup(values, match[1])
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.-]+)\}\}", place, text)


class Record:
    """What was sent, answered and run, written to `record.txt` of the case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.begun = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.note(text)
        print(text, flush=True)

    def close(self) -> None:
        """End the record."""
        self.file.close()


@dataclass
class Gateway:
    """One gateway process.

    Attributes
    ----------
    front, ready, forwarding : str
        Its addresses, as ``IP:PORT``.
    """

    name: str
    zone: str
    folder: Path
    store: str
    zones: dict[str, str]
    seeds: list[str] = field(default_factory=list)
    child: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        """Choose its addresses and write its settings."""
        self.host = loopback_host()
        front, ready, control, first = free_ports(self.host, 4)
        self.front, self.ready = f"{self.host}:{front}", f"{self.host}:{ready}"
        self.control, self.first = f"{self.host}:{control}", first
        self.settings = self.folder / f"{self.name}.ini"
        self.log = self.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Write the settings file, filled in from the template of the deploy file."""
        role = deploy_role()
        values: dict[str, object] = {
            "node": self.name,
            "zone": self.zone,
            "region": self.zones[self.zone],
            "ip": self.host,
            "listen": {"front": self.front, "ready": self.ready},
            "platform": {"address": self.store},
            "port-range": [self.first, self.first + 15],
            "seeds": self.seeds,
            "bounds": BOUNDS,
            "contracts": CONTRACTS,
            "zones": self.zones,
        }
        template = (ROOT / str(role["template"])).read_text()
        self.settings.write_text(rendered(template, values))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = str(deploy_role()["run"]).split()
        command[0] = sys.executable
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MIMOSAFORK_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        assert self.child is not None
        if self.child.poll() is not None:
            raise CaseError(f"{self.name} has exited: {self.log.read_text()[-2000:]}")
        host, _, port = self.ready.partition(":")
        with (
            suppress(OSError),
            socket.create_connection((host, int(port)), 0.5) as channel,
        ):
            channel.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in channel.recv(4096).split(b"\r\n", 1)[0] + b" "
        return False

    def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


def deploy_role() -> dict[str, object]:
    """Return the role of the deploy file."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    assert isinstance(role, dict)
    return role


class Fleet:
    """Gateway processes, ended on leaving."""

    def __init__(self, store: str, zones: list[str]) -> None:
        self.temporary = TemporaryDirectory()
        folder = Path(self.temporary.name)
        regions = dict.fromkeys(dict.fromkeys(zones), "region-1")
        self.gateways = [
            Gateway(f"front-{zone}-{at}", zone, folder, store, regions)
            for at, zone in enumerate(zones, 1)
        ]
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.seeds = seeds
            gateway.write_settings()

    def __enter__(self) -> "Fleet":
        """Start all, and wait until they are ready."""
        try:
            for gateway in self.gateways:
                gateway.start()
            self.wait_until_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def wait_until_ready(self, within_s: float = 25.0) -> None:
        """Wait until each readiness check answers 200."""
        end = time.monotonic() + within_s
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > end:
                    raise CaseError(f"{gateway.name} is not ready")
                time.sleep(0.1)

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.stop()
        self.temporary.cleanup()


@dataclass
class Answered:
    """What a client got for one request; status 0 for a channel that ended."""

    request_id: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Client:
    """A client with one channel, which it keeps open between its requests."""

    def __init__(self, address: str, record: Record) -> None:
        self.host, _, port = address.partition(":")
        self.port = int(port)
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the channel."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def post(
        self,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"{}",
        more: dict[str, str] | None = None,
    ) -> Answered:
        """Send a request and read its answer."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in (more or {}).items())
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            f"{lines}Content-Length: {len(body)}\r\n\r\n"
        )
        self.record.note(f"client sends {request_id} {path}")
        answered = Answered(request_id, 0)
        try:
            if self.writer is None:
                await self.open()
            assert self.writer is not None
            self.writer.write(head.encode() + body)
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answered = await self._answer(request_id)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            self.record.note(f"client's channel ends: {request_id} {error!r}")
        if not answered.complete or answered.headers.get("connection") == "close":
            self.close()
        self.record.note(
            f"client gets {request_id}: {answered.status}"
            f" {'complete' if answered.complete else 'incomplete'}"
            f" {answered.body[:60]!r}"
        )
        return answered

    async def _answer(self, request_id: str) -> Answered:
        assert self.reader is not None
        head = (await self.reader.readuntil(MESSAGE_END)).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        answered = Answered(request_id, int(first.split()[1]), headers)
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readline(), 16):
                answered.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
            await self.reader.readexactly(2)
        else:
            length = int(headers.get("content-length", "0"))
            answered.body = await self.reader.readexactly(length)
        answered.complete = True
        return answered


def summary(values: dict[str, object]) -> str:
    """Return a line with the figures of a run."""
    return json.dumps(values)

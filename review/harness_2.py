"""What the scripts of the second review share: gateways, a platform, raw endpoints.

Gateways are separate processes, started with the command of the deploy file and the
settings that its template gives. The platform's store is the project's own stand-in;
endpoints and callers are small ones, written here with plain sockets.
"""

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPENDENCIES = ROOT / "target" / "deps"
sys.path.insert(0, str(DEPENDENCIES))

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "front.example"
STARTED = time.monotonic()
READY_WAIT_S = 30.0


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to the case's record."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.lock = threading.Lock()

    def note(self, who: str, what: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - STARTED:8.3f} {who}: {what}\n")
            self.file.flush()


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port of a loopback address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def free_pair(host: str) -> int:
    """Return a port that is free together with the next one.

    Gossip takes the first one for TCP and UDP, forwarded calls the second one.
    """
    for _ in range(100):
        first = free_port(host)
        with contextlib.ExitStack() as stack:
            try:
                for number in (first, first + 1):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, number))
                datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                stack.enter_context(datagrams).bind((host, first))
            except OSError:
                continue
            return first
    raise CannotRunError("no two ports in a row are free")


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route as the operator writes it."""
    document: dict[str, object] = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 4000,
        "target-latency-ms": 400,
        "priority": 2,
        "max-attempts": 2,
        "public": True,
    }
    if kind == "stream":
        document |= {"sticky": True, "resumable": True, "gap-aim-ms": 250}
    return document | more


def service(name: str, engine: bool = False) -> dict[str, object]:
    """Return a service as the operator writes it."""
    document: dict[str, object] = {
        "name": name,
        "health-path": "/healthz",
        "max-connections": 264,
        "protocol": "h1",
        "tls": False,
    }
    if engine:
        document["engine"] = {
            "slots": 8,
            "kv-tokens": 405_000,
            "stride": 34,
            "step_ms": 1.31,
            "per_seq_ms": 0.0018,
            "context_per_k": 0.0021,
            "read_per_s": 154_000.0,
            "pairs_per_m": 0.162,
            "chunk": 2048,
            "report_lag_ms": 200.0,
            "usual": {"prompt": 5000, "answer": 600},
        }
    return document


class Platform:
    """The platform's store, and the operator who writes to it."""

    def __init__(self) -> None:
        try:
            from mimosafork.standins.prepared.deployment import Deployment
        except ImportError as error:
            raise CannotRunError(f"not built: {error}") from error
        self.deployment = Deployment()
        self.sequence = 0

    def __enter__(self) -> "Platform":
        self.deployment.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        self.deployment.__exit__(None, None, None)

    @property
    def address(self) -> str:
        """Address of the store."""
        return self.deployment.store.address

    def configure(self, document: dict[str, object]) -> None:
        """Write a configuration."""
        self.deployment.store.put("op", "config", document)

    def list_endpoint(
        self, name: str, address: str, of: str, zone: str, **more: object
    ) -> None:
        """Write an endpoint's row, as its heartbeat does."""
        self.sequence += 1
        row: dict[str, object] = {
            "service": of,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "seq": self.sequence,
        }
        self.deployment.store.put("servers", name, row | more)


def limits(**more: object) -> dict[str, object]:
    """Return the limits of callers, those of a small deployment."""
    return {
        "max-header-bytes": 16_384,
        "max-body-bytes": 4_194_304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15_000,
    } | more


def rendered(template: str, fields: dict[str, object]) -> str:
    """Fill the deploy file's template as the platform does."""

    def section(match: re.Match[str]) -> str:
        name, body = match[1], match[2]
        value = fields.get(name)
        if isinstance(value, dict):
            filled = (
                body.replace("{{@}}", k).replace("{{.}}", v) for k, v in value.items()
            )
            return "".join(filled)
        return body if value not in (None, False, "") else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}#/^]+)\}\}", lambda m: str(fields.get(m[1], "")), text)


class Gateway:
    """One instance in a process of its own."""

    def __init__(
        self, name: str, zone: str, host: str, store: str, folder: Path
    ) -> None:
        self.name = name
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.log = folder / f"{name}.log"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        role = deploy["roles"]["entry"]
        settings = folder / f"{name}.ini"
        first_port = free_pair(host)
        fields: dict[str, object] = {
            "node": name,
            "zone": zone,
            "region": "sierra-norte",
            "zones": {"zone-a": "sierra-norte", "zone-b": "sierra-norte"},
            "ip": host,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "platform.address": store,
            "port-range.0": first_port,
            "seeds": "",
            "bounds.grace-s": 8,
            "bounds.retry-budget-ratio": 0.2,
            "bounds.retry-slack": 102,
            "bounds.retry-window-s": 10,
            "bounds.hold-max-ms": 20_000,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "platform,spans",
        }
        template = (ROOT / role["template"]).read_text("utf-8")
        settings.write_text(rendered(template, fields), "utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["MIMOSAFORK_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        self.command = role["run"].split()
        self.environment = environment
        self.start()

    def start(self) -> None:
        """Start the process, the first time or again."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.environment, stdout=log, stderr=log
            )

    def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask as the balancer does."""
        try:
            return ask(self.ready, "GET", "/-/ready", timeout_s=timeout_s).status == 200
        except OSError:
            return False

    def wait_until_ready(self) -> None:
        """Wait for the first 200 of the ready address."""
        end = time.monotonic() + READY_WAIT_S
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRunError(
                    f"{self.name} has ended: {self.log.read_text()[-800:]}"
                )
            if self.is_ready():
                return
            time.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready: {self.log.read_text()[-800:]}")

    def resident_mb(self) -> float:
        """Return the resident memory of the process, in MB."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1000 if found else 0.0

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        try:
            text = Path(f"/proc/{self.process.pid}/stat").read_text("utf-8")
        except OSError:
            return 0.0
        used = text.rpartition(")")[2].split()
        return (int(used[11]) + int(used[12])) / os.sysconf("SC_CLK_TCK")

    def stop(self) -> None:
        """End the process, however busy it is."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


@contextlib.contextmanager
def gateway(
    platform: Platform,
    name: str = "front-1",
    zone: str = "zone-a",
    host: str = "127.0.0.1",
) -> Iterator[Gateway]:
    """Run one instance; it is killed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        started = Gateway(name, zone, host, platform.address, Path(folder))
        try:
            yield started
        finally:
            started.stop()


class Reply:
    """An answer as a caller saw it; status 0 if none came."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, whole: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    def __str__(self) -> str:
        whole = "whole" if self.whole else "not whole"
        return f"status {self.status}, {len(self.body)} bytes, {whole}"


def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Reply:
    """Make one call on a channel of its own."""
    with connect(address, timeout_s) as channel:
        channel.sendall(request_bytes(method, path, headers or {}, body))
        return read_reply(channel)


def connect(address: str, timeout_s: float) -> socket.socket:
    """Open a channel."""
    host, _, port = address.partition(":")
    return socket.create_connection((host, int(port)), timeout_s)


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return a whole request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_reply(channel: socket.socket) -> Reply:
    """Read one answer, or as much of it as comes."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = channel.recv(65536)
            if not piece:
                return Reply(0, {}, data, False)
            data += piece
        head, _, rest = data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        status = int(first.split()[1])
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    except OSError:
        return Reply(0, {}, data, False)
    try:
        if "content-length" in headers:
            length = int(headers["content-length"])
            while len(rest) < length:
                piece = channel.recv(65536)
                if not piece:
                    return Reply(status, headers, rest, False)
                rest += piece
            return Reply(status, headers, rest, True)
        chunked = headers.get("transfer-encoding") == "chunked"
        while not (chunked and rest.endswith(b"0\r\n\r\n")):
            piece = channel.recv(65536)
            if not piece:
                return Reply(status, headers, rest, not chunked)
            rest += piece
        return Reply(status, headers, rest, True)
    except OSError:
        return Reply(status, headers, rest, False)


def unchunked(body: bytes) -> bytes:
    """Return a body without the framing of its chunks, as far as it came."""
    parts = []
    while body:
        line, _, body = body.partition(b"\r\n")
        try:
            size = int(line, 16)
        except ValueError:
            break
        parts.append(body[:size])
        body = body[size + 2 :]
    return b"".join(parts)


class Received:
    """A request as an endpoint received it."""

    def __init__(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """Id that the caller gave."""
        return self.headers.get("x-request-id", "")


class Endpoint:
    """An endpoint of the platform with a serving function of the case.

    The function gets a request and its channel, writes the answer, and returns whether
    the channel is kept.
    """

    def __init__(
        self,
        name: str,
        serve: Callable[[Received, socket.socket], bool],
        record: Record,
        host: str = "127.0.0.1",
    ) -> None:
        self.name = name
        self.serve = serve
        self.record = record
        self.listener = socket.create_server((host, 0), backlog=512)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._talk, args=(channel,), daemon=True).start()

    def _talk(self, channel: socket.socket) -> None:
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        with channel:
            try:
                while True:
                    while b"\r\n\r\n" not in data:
                        piece = channel.recv(65536)
                        if not piece:
                            return
                        data += piece
                    head, _, data = data.partition(b"\r\n\r\n")
                    first, *lines = head.decode("latin-1").split("\r\n")
                    method, path, _ = first.split()
                    headers = {}
                    for line in lines:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                    length = int(headers.get("content-length", "0"))
                    while len(data) < length:
                        piece = channel.recv(65536)
                        if not piece:
                            return
                        data += piece
                    request = Received(method, path, headers, data[:length])
                    data = data[length:]
                    if request.headers.get("x-expect-instance", self.name) != self.name:
                        channel.sendall(answer(request, b"", 421))
                        continue
                    if not self.serve(request, channel):
                        return
            except (OSError, ValueError):
                return

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()


def answer(
    request: Received,
    body: bytes,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return an endpoint's whole answer with its signature and the caller's id."""
    lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {request.id}"]
    if status < 400:
        lines.append(f"X-Response-Seal: seal.{request.id}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(request: Received) -> bytes:
    """Return the head of an event stream that is sent in chunks."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {request.id}\r\n"
        f"X-Response-Seal: seal.{request.id}\r\n"
        "X-Weight-Versions: 1\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def play(folder: Path, case: Callable[[Record], bool]) -> int:
    """Play a case; `case` returns whether the rule held."""
    record = Record(folder)
    record.note("case", f"the disruption is {'played' if trouble() else 'left out'}")
    try:
        held = case(record)
    except CannotRunError as error:
        record.note("case", f"could not run: {error}")
        print(f"could not run: {error}")
        return NOT_RUN
    record.note("case", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN


def dumps(document: object) -> str:
    """Return a document in one line, for the record."""
    return json.dumps(document, sort_keys=True)

"""The prepared platform's stand-ins as fixtures, and a raw HTTP caller."""

import re
import socket
import struct
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any, BinaryIO

import msgspec

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.documents import (
    ConfigEntry,
    RouteEntry,
    ServiceEntry,
    TenantEntry,
)
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.words import REQUEST_ID

ENGINES = "engines"
DESKS = "desks"
HOST = "front.example"
API_KEY = "key-of-account-a"
ENGINE_PATH = "/stream/1"
DESK_PATH = "/unsafe/1"
TIMEOUT_S = 10.0
SILENCE_S = 0.2
NO_LINGER = struct.pack("ii", 1, 0)
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")

USUAL_CONFIG = ConfigEntry(
    routes=(
        RouteEntry("r-stream", "/stream/", "stream", ENGINES, HOST),
        RouteEntry("r-resume", "/resume/", "stream", ENGINES, HOST, resumable=True),
        RouteEntry("r-unsafe", "/unsafe/", "unsafe", DESKS, HOST),
        RouteEntry("r-safe", "/safe/", "safe", DESKS, HOST),
        RouteEntry("r-open", "/open/", "safe", DESKS, HOST, public=True),
    ),
    services=(ServiceEntry(ENGINES, figures=EngineFigures()), ServiceEntry(DESKS)),
    tenants=(TenantEntry("account-a", (API_KEY,), 1),),
)


class NoAnswerError(Exception):
    """The channel ended, or brought bytes that are no answer."""


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream, with all its lines."""

    lines: tuple[str, ...]

    @property
    def number(self) -> int:
        """Its id."""
        return int(self.field("id"))

    @property
    def data(self) -> str:
        """What it says."""
        return self.field("data")

    @property
    def text(self) -> str:
        """The stand-in's text, which is the same for all runs of a request."""
        return self.data.partition(" ")[2]

    def field(self, name: str) -> str:
        """Return a field, or nothing."""
        for line in self.lines:
            key, _, value = line.partition(":")
            if key == name:
                return value.strip()
        return ""


@dataclass(frozen=True, slots=True)
class CallResult:
    """What a call brought.

    Attributes
    ----------
    headers : dict of str to str
        Names in lower case.
    complete : bool
        Whether the answer ended as its framing says it does.
    events : list of Event
        Whole events, where the answer is a stream.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True
    events: list[Event] = field(default_factory=list)

    def json(self) -> Any:
        """Return the body's JSON."""
        return msgspec.json.decode(self.body)


class Channel:
    """One keep-alive connection, read and written by hand.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    source : str or None
        Address to call from; all of 127/8 is loopback. With None the system picks it,
        and keeps clear of the ports of endpoints that are down.
    """

    def __init__(
        self, address: str, timeout_s: float = TIMEOUT_S, source: str | None = None
    ) -> None:
        ip, _, port = address.partition(":")
        bound = None if source is None else (source, 0)
        self.socket = socket.create_connection((ip, int(port)), timeout_s, bound)
        self.file: BinaryIO = self.socket.makefile("rb")
        self.rest = b""
        self.complete = False
        self.pieces: Iterator[bytes] = iter(())

    def __enter__(self) -> "Channel":
        return self

    def __exit__(self, *_: object) -> None:
        self.hang_up()

    def send(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        chunked: bool = False,
    ) -> None:
        """Send a whole request."""
        self.send_bytes(request_bytes(method, path, headers or {}, body, chunked))

    def send_bytes(self, data: bytes) -> None:
        """Send bytes as they are, malformed or not."""
        self.socket.sendall(data)

    def hang_up(self, reset: bool = False) -> None:
        """Close the channel, or reset it; harmless when repeated."""
        if reset and self.socket.fileno() >= 0:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.file.close()
        self.socket.close()

    def read_head(self) -> CallResult:
        """Read a status and headers; the body is read after it.

        Raises
        ------
        NoAnswerError
            If what comes is no answer.
        """
        try:
            first = self.file.readline()
            found = STATUS_LINE.match(first)
            if found is None:
                raise NoAnswerError(f"no answer: {first!r}")
            headers = self._headers()
        except ConnectionError as error:
            raise NoAnswerError(repr(error)) from error
        self.rest, self.complete = b"", False
        self.pieces = self._body(headers)
        return CallResult(int(found[1]), headers, complete=False)

    def read_event(self) -> Event | None:
        """Read one event; None at the end, and `complete` says which end it was."""
        while b"\n\n" not in self.rest:
            piece = next(self.pieces, None)
            if piece is None:
                return None
            self.rest += piece
        block, _, self.rest = self.rest.partition(b"\n\n")
        return Event(tuple(block.decode().split("\n")))

    def read_answer(self) -> CallResult:
        """Read a whole answer, or as much of it as comes."""
        head = self.read_head()
        body = b"".join(self.pieces)
        result = replace(head, body=body, complete=self.complete)
        if head.headers.get("content-type") == "text/event-stream":
            result = replace(result, events=events_of(body))
        return result

    def ended(self) -> bool:
        """Wait for the end of the channel; False if bytes come instead."""
        try:
            return self.file.read(1) == b""
        except ConnectionError:
            return True

    def _headers(self) -> dict[str, str]:
        headers: dict[str, str] = {}
        while (line := self.file.readline()) not in {b"\r\n", b""}:
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        return headers

    def _body(self, headers: dict[str, str]) -> Iterator[bytes]:
        try:
            if "transfer-encoding" in headers:
                yield from self._chunks()
            elif "content-length" in headers:
                yield self._exactly(int(headers["content-length"]))
            else:
                while piece := self.file.read1(65536):  # type: ignore[attr-defined]
                    yield piece
            self.complete = True
        except (ConnectionError, NoAnswerError):
            return

    def _chunks(self) -> Iterator[bytes]:
        while True:
            line = self.file.readline()
            if not line.endswith(b"\r\n"):
                raise NoAnswerError("cut between chunks")
            size = int(line, 16)
            data = self._exactly(size + 2)
            if size == 0:
                return
            yield data[:size]

    def _exactly(self, size: int) -> bytes:
        data = self.file.read(size)
        if len(data) < size:
            raise NoAnswerError("cut inside a body")
        return data


def events_of(body: bytes) -> list[Event]:
    """Return the whole events of a stream."""
    blocks = body.decode().split("\n\n")
    return [Event(tuple(block.split("\n"))) for block in blocks[:-1]]


def request_bytes(
    method: str, path: str, headers: Mapping[str, str], body: bytes, chunked: bool
) -> bytes:
    """Return a request as it is sent."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if "host" not in {name.lower() for name in headers}:
        lines.append(f"Host: {HOST}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    elif body or method not in {"GET", "DELETE"}:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def call(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = TIMEOUT_S,
    source: str | None = None,
) -> CallResult:
    """Make one call on a channel of its own.

    Raises
    ------
    NoAnswerError
        If the channel ended, or brought bytes that are no answer.
    TimeoutError
        If nothing comes in time.
    """
    with Channel(address, timeout_s, source) as channel:
        channel.send(method, path, headers, body)
        return channel.read_answer()


def call_json(address: str, path: str, document: object) -> CallResult:
    """Post a JSON document."""
    return call(address, "POST", path, {}, msgspec.json.encode(document))


def ask(
    address: str, path: str, request_id: str, body: bytes = b"", **headers: str
) -> CallResult:
    """Post a request with an id; ``_`` in a header's name stands for ``-``."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(address, "POST", path, {REQUEST_ID: request_id, **named}, body)


@contextmanager
def deployment(
    config: ConfigEntry | None = USUAL_CONFIG, heartbeat: timedelta | None = None
) -> Iterator[Deployment]:
    """Run a prepared platform without endpoints."""
    with Deployment(config, heartbeat=heartbeat) as running:
        yield running


@contextmanager
def one_engine(
    figures: EngineFigures | None = None, settings: EndpointSettings | None = None
) -> Iterator[Engine]:
    """Run a prepared platform with one engine."""
    with deployment() as running:
        yield running.add_engine(settings or EndpointSettings(ENGINES), figures)


@contextmanager
def one_desk(settings: EndpointSettings | None = None) -> Iterator[Desk]:
    """Run a prepared platform with one plain endpoint."""
    with deployment() as running:
        yield running.add_desk(settings or EndpointSettings(DESKS))

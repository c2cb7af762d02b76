"""HTTP/1.1 on asyncio: a listener, its connections and their exchanges.

A request is handed over with its headers, before its body: a stand-in may answer
early. One request at a time is served on a connection.
"""

import asyncio
import logging
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from ..ports import Address, HeldPort

logger = logging.getLogger(__name__)

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_PIPELINED = 16
MAX_FLOOD_BUFFER = 256 * 1024
FLOOD_PAUSE_S = 0.001
NO_LINGER = struct.pack("ii", 1, 0)
CRLF = "\r\n"


class Header(NamedTuple):
    """One header line."""

    name: str
    value: str


@dataclass(slots=True)
class Request:
    """What a caller sent; header names are in lower case.

    Attributes
    ----------
    target : str
        Path and query, as sent.
    whole : asyncio.Event
        Set once the whole body is here.
    """

    method: str
    target: str
    headers: dict[str, str]
    peer: str
    body: bytearray = field(default_factory=bytearray)
    whole: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def path(self) -> str:
        """The path without its query."""
        return urlsplit(self.target).path

    def query(self, name: str, default: str = "") -> str:
        """Return a parameter of the query."""
        values = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return values.get(name, [default])[0]

    def header(self, name: str, default: str = "") -> str:
        """Return a header by its name in any case."""
        return self.headers.get(name.lower(), default)


@dataclass(frozen=True, slots=True)
class FloodEnd:
    """Bytes that a caller was sent without end.

    Attributes
    ----------
    sent : int
        Bytes that were written, up to the caller's end of the channel.
    lasted_s : float
    """

    sent: int
    lasted_s: float


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes = b""
    headers: tuple[Header, ...] = ()

    @classmethod
    def json(cls, status: int, document: object) -> "Answer":
        """Return an answer with a JSON body."""
        kind = (Header("Content-Type", "application/json"),)
        return cls(status, msgspec.json.encode(document), kind)

    def encode(self) -> bytes:
        """Return the bytes on the wire."""
        length = Header("Content-Length", str(len(self.body)))
        return head_bytes(self.status, (*self.headers, length)) + self.body


def head_bytes(status: int, headers: tuple[Header, ...]) -> bytes:
    """Encode a status line and headers."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return (CRLF.join(lines) + CRLF + CRLF).encode()


class Connection(asyncio.Protocol):
    """One channel of a caller; reads requests and writes what it is told."""

    def __init__(self, listener: "Listener") -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.ending = False
        self.gone = asyncio.Event()
        self.silent = False
        self.late_answer = b""
        self.served = 0
        self.waiting: asyncio.Queue[Request | None] = asyncio.Queue()
        self.reading: Request | None = None
        self.target = b""
        self.headers: dict[str, str] = {}
        self.peer = ""
        self.transport: asyncio.Transport
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve, or reset what is one channel too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.peer = transport.get_extra_info("peername")[0]
        if not self.listener.accepts():
            self.reset()
            return
        self.silent = self.listener.cut_off
        self.listener.connections.add(self)
        self.task = self.listener.spawn(self._serve())
        self.listener.on_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; what can't be parsed ends the channel."""
        if self.silent:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.write(Answer(HTTPStatus.BAD_REQUEST).encode())
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the exchange in progress that its caller is gone."""
        self.gone.set()
        self.waiting.put_nowait(None)
        self.listener.connections.discard(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Forget the last request's head."""
        self.target = b""
        self.headers = {}

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; a repeated one is joined by a comma."""
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        before = self.headers.get(key)
        self.headers[key] = text if before is None else f"{before}, {text}"

    def on_headers_complete(self) -> None:
        """Hand the request over, before its body."""
        method = self.parser.get_method().decode()
        target = self.target.decode("latin-1")
        self.reading = Request(method, target, self.headers, self.peer)
        self.waiting.put_nowait(self.reading)
        if self.waiting.qsize() > MAX_PIPELINED:
            self.reset()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        assert self.reading is not None
        self.reading.body += data
        if len(self.reading.body) > MAX_BODY_BYTES:
            self.reset()

    def on_message_complete(self) -> None:
        """Say that the body is whole."""
        if self.reading is not None:
            self.reading.whole.set()
            self.reading = None

    # What stand-ins do to a channel.

    async def body_arrived(self, request: Request) -> bool:
        """Wait for the whole body; False if its sender is gone before."""
        await whichever(request.whole.wait(), self.gone.wait())
        return request.whole.is_set()

    def write(self, data: bytes) -> None:
        """Write bytes as they are, unless the channel has gone silent."""
        if not self.silent and not self.transport.is_closing():
            self.transport.write(data)

    async def flood(
        self, start: bytes, piece: bytes, pause_s: float = 0.0
    ) -> "FloodEnd":
        """Write bytes until the caller closes the channel."""
        loop = asyncio.get_running_loop()
        begun_s, sent = loop.time(), len(start)
        self.write(start)
        while not self.gone.is_set() and not self.transport.is_closing():
            if self.transport.get_write_buffer_size() < MAX_FLOOD_BUFFER:
                self.write(piece)
                sent += len(piece)
                await asyncio.sleep(pause_s)
            else:
                await asyncio.sleep(FLOOD_PAUSE_S)
        return FloodEnd(sent, loop.time() - begun_s)

    def close(self) -> None:
        """Close after what was written."""
        self.ending = True
        self.transport.close()

    def reset(self) -> None:
        """Reset at once; nothing is left to reset once the caller has gone."""
        self.ending = True
        if self.gone.is_set():
            return
        wire = self.transport.get_extra_info("socket")
        if wire is not None:
            wire.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()

    def fall_silent(self) -> None:
        """Deliver nothing further, in neither direction, and stay open."""
        self.silent = True

    async def _serve(self) -> None:
        while not self.gone.is_set() and not self.ending:
            request = await self._next()
            if request is None:
                self.close()
                return
            self.served += 1
            late, self.late_answer = self.late_answer, b""
            self.write(late)
            await self._handle(request)

    async def _next(self) -> Request | None:
        idle_s = self.listener.idle_s
        try:
            async with asyncio.timeout(idle_s):
                return await self.waiting.get()
        except TimeoutError:
            return None

    async def _handle(self, request: Request) -> None:
        try:
            await self.listener.handler(request, self)
        except Exception:
            logger.exception("%s %s failed", request.method, request.target)
            self.reset()
            return
        if request.header("connection").lower() == "close":
            self.close()


Handler = Callable[[Request, Connection], Awaitable[None]]


class Listener:
    """Listens on a loopback port that the system picks, and keeps it on return.

    Parameters
    ----------
    handler : Handler
        Serves one request, and writes its answer to the connection.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.on_connection: Callable[[Connection], None] = lambda connection: None
        self.idle_s: float | None = None
        self.cut_off = False
        self.max_connections: int | None = None
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.held: HeldPort | None = None

    @property
    def address(self) -> str:
        """Where callers find it, as ``IP:PORT``."""
        return f"{LOOPBACK}:{self.port}"

    def accepts(self) -> bool:
        """Say whether one more channel may be open."""
        limit = self.max_connections
        return limit is None or len(self.connections) < limit

    def silence(self) -> None:
        """Let open channels deliver nothing further; new ones work."""
        for connection in self.connections:
            connection.fall_silent()

    def set_cut_off(self, cut_off: bool) -> None:
        """Be unreachable without a reset, or reachable again for new channels."""
        self.cut_off = cut_off
        if cut_off:
            self.silence()

    def spawn(self, coroutine: Awaitable[None]) -> asyncio.Task[None]:
        """Start a task that ends with the listener at the latest."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def open(self) -> None:
        """Listen; after `shut` at the same port as before."""
        if self.held is None:
            self.held = HeldPort(Address(LOOPBACK, self.port))
            self.port = self.held.address.port
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self), sock=self.held.take()
        )

    def shut(self) -> None:
        """Reset all channels and end all tasks; new callers are refused.

        The port stays its own until `release`.
        """
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.reset()
        current = asyncio.current_task()
        for task in list(self.tasks):
            if task is not current:
                task.cancel()

    def release(self) -> None:
        """Listen no longer, and leave the port to others."""
        self.shut()
        if self.held is not None:
            self.held.close()
            self.held = None


async def whichever(
    *waits: Awaitable[object], timeout_s: float | None = None
) -> frozenset[int]:
    """Wait for the first of several, and cancel the others.

    Returns
    -------
    frozenset of int
        Positions of those that are done; empty when the time is over.
    """
    tasks = [asyncio.ensure_future(each) for each in waits]
    try:
        await asyncio.wait(
            tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        done = frozenset(at for at, task in enumerate(tasks) if task.done())
        for at in done:
            tasks[at].result()
        return done
    finally:
        for task in tasks:
            task.cancel()

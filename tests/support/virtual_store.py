"""A platform store in virtual time, with injected failures."""

import asyncio
import json
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.rows import Row
from mimosafork.ids import Revision
from mimosafork.platform import names
from mimosafork.platform.sources import ConfigurationRows, EndpointRows
from mimosafork.platform.store import PreparedStore
from mimosafork.routing.table import ClientLimits, RoutingTable

from .virtual_callers import VirtualLoop

ADDRESS = "127.0.0.1:1"
ROUND_TRIP = timedelta(milliseconds=8)


class Trouble(Enum):
    """Failures that the store can inject."""

    NONE = "none"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    DEAF = "deaf"
    BUSY = "busy"
    TOO_MANY = "too many"
    RESETTING = "resetting"
    CLOSED = "closed"


STATUS = {Trouble.BUSY: 503, Trouble.TOO_MANY: 429}
QUIET = frozenset({Trouble.SILENT, Trouble.UNREACHABLE})
"""Failures without any answer; only SILENT still accepts connections. With DEAF, only
new calls are lost, and waiting calls continue."""


@dataclass
class Change:
    """A row as of a version."""

    table: str
    key: str
    value: bytes
    version: int


class StoreTransport(asyncio.Transport):
    """A connection to the store.

    Attributes
    ----------
    silent : bool
        Whether the connection delivers nothing more, without a reset.
    """

    def __init__(self, store: "VirtualStore", protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.store = store
        self.protocol = protocol
        self.silent = False
        self.ended = False

    def write(self, data: Any) -> None:
        """Receive a call."""
        if not self.silent:
            self.store.take(self, bytes(data))

    def is_closing(self) -> bool:
        """Return whether the connection has ended."""
        return self.ended

    def abort(self) -> None:
        """Close the connection from the side of the caller."""
        self.end(None)

    def end(self, why: Exception | None) -> None:
        """Close the connection."""
        if not self.ended:
            self.ended = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, why)

    def reply(self, status: int, document: object) -> None:
        """Deliver an answer, unless the connection is closed or silent."""
        if self.ended or self.silent:
            return
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.protocol.data_received(head.encode() + body)


@dataclass
class VirtualStore:
    """Rows with a common version counter, feeds, and injected failures.

    Attributes
    ----------
    delay : timedelta
        Additional latency of answers.
    behind : int
        Number of newest versions that whole reads leave out.
    oldest : int
        Changes up to this version are dropped from the history.
    """

    version: int = 1
    trouble: Trouble = Trouble.NONE
    delay: timedelta = timedelta(0)
    behind: int = 0
    oldest: int = 0
    changes: list[Change] = field(default_factory=list)
    connections: list[StoreTransport] = field(default_factory=list)
    calls: list[str] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    answers: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def is_serving(self) -> bool:
        """Whether calls that have arrived are processed."""
        return self.trouble in (Trouble.NONE, Trouble.DEAF)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row; return its version."""
        self.version += 1
        self.changes.append(Change(table, key, value, self.version))
        self.wake()
        return self.version

    def configure(self, number: int) -> None:
        """Write a configuration of a version."""
        put = str(number).encode()
        self.put(names.CONFIGURATION_TABLE, names.CONFIGURATION_KEY, put)

    def forget(self) -> None:
        """Drop the history; feeds that need it get an error."""
        self.oldest = self.version
        self.wake()

    def set_trouble(self, trouble: Trouble) -> None:
        """Start or end a failure."""
        self.trouble = trouble
        if trouble in (Trouble.NONE, Trouble.DEAF):
            return
        for each in self.connections:
            if trouble in QUIET:
                each.silent = True
            elif trouble in (Trouble.RESETTING, Trouble.CLOSED):
                each.end(ConnectionResetError("reset"))
        self.wake()

    def silence_connections(self) -> None:
        """Silence open connections for good; new ones work."""
        for each in self.connections:
            each.silent = True

    def wake(self) -> None:
        """Wake up waiting feeds."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def connect(self, protocol: asyncio.Protocol) -> StoreTransport:
        """Open a connection; an attempt whose packets are lost never ends."""
        if self.trouble is Trouble.UNREACHABLE:
            await asyncio.Event().wait()
        if self.trouble is Trouble.CLOSED:
            raise ConnectionRefusedError("refused")
        await asyncio.sleep(ROUND_TRIP.total_seconds())
        transport = StoreTransport(self, protocol)
        protocol.connection_made(transport)
        self.connections.append(transport)
        return transport

    def take(self, transport: StoreTransport, request: bytes) -> None:
        """Receive a call and answer it asynchronously."""
        target = request.split(b" ", 2)[1].decode()
        self.calls.append(target)
        if self.trouble is Trouble.DEAF:
            transport.silent = True
            return
        task = asyncio.ensure_future(self.answer(transport, target))
        self.answers.add(task)
        task.add_done_callback(self.answers.discard)

    async def answer(self, transport: StoreTransport, target: str) -> None:
        """Answer a call."""
        await asyncio.sleep((ROUND_TRIP + self.delay).total_seconds())
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        table = query[names.TABLE]
        if url.path == names.ROWS_FEED_PATH and self.is_serving:
            wait_s = int(query[names.WAIT_MS]) / 1000
            await self.until_changed(table, int(query[names.AFTER]), wait_s)
        if self.trouble in QUIET:
            transport.silent = True
        elif self.trouble is Trouble.RESETTING:
            transport.end(ConnectionResetError("reset"))
        elif self.trouble in STATUS:
            transport.reply(STATUS[self.trouble], {})
        elif url.path == names.ROWS_FEED_PATH:
            self.answer_feed(transport, table, int(query[names.AFTER]))
        else:
            self.answer_read(transport, table)

    async def until_changed(self, table: str, after: int, wait_s: float) -> None:
        """Wait for a change, a failure, or the timeout."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while self.is_serving and after >= self.oldest:
            left = end - loop.time()
            if left <= 0 or self.rows(table, after, self.version):
                return
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                return

    def answer_feed(self, transport: StoreTransport, table: str, after: int) -> None:
        """Answer with the changes after a version."""
        if after < self.oldest:
            transport.reply(410, {})
        else:
            transport.reply(200, self.page(table, after, self.version))

    def answer_read(self, transport: StoreTransport, table: str) -> None:
        """Answer with all rows."""
        transport.reply(200, self.page(table, 0, self.version - self.behind))

    def page(self, table: str, after: int, version: int) -> dict[str, object]:
        """Return the document of a page."""
        rows = [
            {
                "table": each.table,
                "part": "",
                "key": each.key,
                "value": b64encode(each.value).decode(),
                "ver": each.version,
            }
            for each in self.rows(table, after, version)
        ]
        return {"rows": rows, "truncated": False, "ver": version, "now-ms": 1}

    def rows(self, table: str, after: int, version: int) -> list[Change]:
        """Return the newest row of each key that changed within a range."""
        newest = {
            each.key: each
            for each in self.changes
            if each.table == table and after < each.version <= version
        }
        return sorted(newest.values(), key=lambda each: each.version)


class NumberedConfigurations(ConfigurationRows):
    """Configurations that consist of their version only."""

    def decode(self, row: Row) -> RoutingTable:
        """Return an empty table of that version."""
        return RoutingTable(Revision(int(row.value)), (), {}, ClientLimits(), ())


class StoreLoop(VirtualLoop):
    """An event loop whose connections all go to one store in virtual time."""

    def __init__(self, clock: ManualClock, store: VirtualStore) -> None:
        super().__init__(clock)
        self.store = store

    async def create_connection(
        self, protocol_factory: Callable[[], Any], *_: Any, **__: Any
    ) -> tuple[StoreTransport, Any]:
        """Connect to the store, whatever the address."""
        protocol = protocol_factory()
        return await self.store.connect(protocol), protocol


@dataclass
class Follow:
    """An instance that follows a store during a test."""

    store: VirtualStore
    directory: Directory
    clock: ManualClock

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 before the first."""
        table = self.directory.table
        return 0 if table is None else int(table.version)

    async def until(self, number: int, longest_s: float) -> float:
        """Return the seconds until a configuration is active, up to a bound."""
        began = self.clock.monotonic()
        while self.version < number:
            passed_s = (self.clock.monotonic() - began).total_seconds()
            if passed_s > longest_s:
                return passed_s
            await asyncio.sleep(0.01)
        return (self.clock.monotonic() - began).total_seconds()


def following_instance(store: VirtualStore, clock: ManualClock, seed: int) -> Follow:
    """Return an instance that is not started yet."""
    client = PreparedStore(ADDRESS)
    directory = Directory(
        NumberedConfigurations(client), EndpointRows(client), clock, Random(seed)
    )
    return Follow(store, directory, clock)


def run_followed(work: Callable[[VirtualStore, ManualClock], Any]) -> None:
    """Run a coroutine in virtual time, with a store."""
    clock, store = ManualClock(timedelta(hours=1)), VirtualStore()
    with asyncio.Runner(loop_factory=lambda: StoreLoop(clock, store)) as runner:
        runner.run(work(store, clock))

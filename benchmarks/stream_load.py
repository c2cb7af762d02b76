"""A load of streams from a process of its own.

The process holds some streams open and, while it does, opens further short ones
to see how long their first byte takes. It reads by readiness in one thread and
keeps only instants, so that it stays far from the limit of what it measures.
"""

import selectors
import socket
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from multiprocessing import get_context
from multiprocessing.connection import Connection

EVENT_MARK = b"data: "
END_MARK = b"[DONE]"
TAIL_BYTES = 512
HEAD_END = b"\r\n\r\n"
RECEIVE_BYTES = 65536
READ_TIMEOUT_S = 90.0


@dataclass(frozen=True, slots=True)
class Call:
    """One request, whole as bytes, and where it goes."""

    address: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What a load process does.

    Parameters
    ----------
    held : sequence of Call
        Streams that are opened in turn over `ramp_s` and stay.
    probes : sequence of Call
        Short streams, opened in turn over the second window.
    window_s : float
        Length of each window: in the first only the held streams run.
    """

    held: Sequence[Call]
    probes: Sequence[Call]
    ramp_s: float
    window_s: float


@dataclass(slots=True)
class LoadResult:
    """What was seen.

    Parameters
    ----------
    first_bytes_s : list of float
        From a probe's connect to the first byte of its answer's body.
    gaps_s : list of float
        Between two receipts of a held stream, within the second window.
    quiet_chunks, busy_chunks : int
        Events that arrived within the first and the second window.
    broken : int
        Streams that ended without `[DONE]`.
    """

    first_bytes_s: list[float] = field(default_factory=list)
    gaps_s: list[float] = field(default_factory=list)
    quiet_chunks: int = 0
    busy_chunks: int = 0
    broken: int = 0


@dataclass(frozen=True, slots=True)
class QuietBegins:
    """All held streams have been opened; the first window begins."""


@dataclass(frozen=True, slots=True)
class BusyBegins:
    """The first window has ended, the second one begins."""


@dataclass(frozen=True, slots=True)
class BusyEnds:
    """The second window has ended; streams are read to their end."""


class Stream:
    """One stream of the load."""

    def __init__(self, call: Call, probe: bool) -> None:
        host, _, port = call.address.rpartition(":")
        self.probe = probe
        self.opened_s = time.monotonic()
        self.socket = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.sendall(call.payload)
        self.socket.setblocking(False)
        self.head = b""
        self.in_body = False
        self.last_s: float | None = None
        self.tail = b""


class Load:
    """Runs a plan."""

    def __init__(self, plan: LoadPlan, outbox: Connection) -> None:
        self.plan = plan
        self.outbox = outbox
        self.selector = selectors.DefaultSelector()
        self.result = LoadResult()
        self.open_streams = 0
        self.quiet_from_s = float("inf")
        self.busy_from_s = float("inf")
        self.busy_to_s = float("inf")

    def run(self) -> None:
        """Open the held streams, then the probes, and read all to their end."""
        plan = self.plan
        self.open_over(plan.held, plan.ramp_s, probe=False)
        self.outbox.send(QuietBegins())
        self.quiet_from_s = time.monotonic()
        self.read_until(self.quiet_from_s + plan.window_s)
        self.outbox.send(BusyBegins())
        self.busy_from_s = time.monotonic()
        self.open_over(plan.probes, plan.window_s, probe=True)
        self.outbox.send(BusyEnds())
        self.busy_to_s = time.monotonic()
        limit_s = time.monotonic() + READ_TIMEOUT_S
        while self.open_streams and time.monotonic() < limit_s:
            self.read(0.1)
        self.result.broken += self.open_streams
        self.outbox.send(self.result)

    def open_over(self, calls: Sequence[Call], over_s: float, probe: bool) -> None:
        """Open calls evenly over a time, reading in between."""
        started_s = time.monotonic()
        for number, call in enumerate(calls):
            due_s = started_s + over_s * number / len(calls)
            self.read_until(due_s)
            stream = Stream(call, probe)
            self.selector.register(stream.socket, selectors.EVENT_READ, stream)
            self.open_streams += 1
        self.read_until(started_s + over_s)

    def read_until(self, instant_s: float) -> None:
        """Read whatever comes until an instant."""
        while (left_s := instant_s - time.monotonic()) > 0:
            self.read(left_s)

    def read(self, wait_s: float) -> None:
        """Wait once and read what has come."""
        if not self.open_streams:
            time.sleep(max(0.0, wait_s))
            return
        for key, _ in self.selector.select(wait_s):
            self.receive(key.data)

    def receive(self, stream: Stream) -> None:
        """Read one stream once."""
        try:
            data = stream.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        now_s = time.monotonic()
        if not data:
            self.close(stream)
            return
        if not stream.in_body:
            data = self.take_head(stream, data)
        if data:
            self.take_body(stream, data, now_s)

    def take_head(self, stream: Stream, data: bytes) -> bytes:
        """Return what of the data is body."""
        stream.head += data
        head, found, body = stream.head.partition(HEAD_END)
        if not found:
            return b""
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise AssertionError(stream.head[:500])
        stream.in_body = True
        return body

    def take_body(self, stream: Stream, data: bytes, now_s: float) -> None:
        """Note when the data came."""
        stream.tail = (stream.tail + data)[-TAIL_BYTES:]
        events = data.count(EVENT_MARK)
        if not events:
            return
        if stream.last_s is None and stream.probe:
            self.result.first_bytes_s.append(now_s - stream.opened_s)
        if self.quiet_from_s <= now_s < self.busy_from_s:
            self.result.quiet_chunks += events
        elif self.busy_from_s <= now_s < self.busy_to_s:
            self.result.busy_chunks += events
            if stream.last_s is not None and not stream.probe:
                self.result.gaps_s.append(now_s - stream.last_s)
        stream.last_s = now_s
        if END_MARK in stream.tail:
            self.close(stream)

    def close(self, stream: Stream) -> None:
        """Forget a stream that has ended."""
        if END_MARK not in stream.tail:
            self.result.broken += 1
        self.selector.unregister(stream.socket)
        stream.socket.close()
        self.open_streams -= 1


def run_load(plan: LoadPlan, outbox: Connection) -> None:
    """Run a plan; the load process's entry point."""
    Load(plan, outbox).run()
    outbox.close()


@dataclass(slots=True)
class LoadProcess:
    """A load that runs in a process of its own."""

    plan: LoadPlan
    inbox: Connection = field(init=False)

    def start(self) -> None:
        """Start the process."""
        context = get_context("spawn")
        self.inbox, outbox = context.Pipe(duplex=False)
        process = context.Process(target=run_load, args=(self.plan, outbox))
        process.daemon = True
        process.start()
        outbox.close()

    def wait_for(self, kind: type) -> object:
        """Return the process's next word, which must be of a kind."""
        message: object = self.inbox.recv()
        if not isinstance(message, kind):
            raise AssertionError(f"expected {kind.__name__}, got {message!r}")
        return message

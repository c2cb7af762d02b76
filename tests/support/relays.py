"""A relay with a caller and an engine that the test plays itself."""

import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from queue import SimpleQueue
from typing import Any

from mimosafork.clock import SystemClock
from mimosafork.endpoints.calls import CancelStream, ModelCall, OpenCall
from mimosafork.ids import (
    AccountId,
    AttemptNumber,
    Digest,
    EndpointId,
    Incarnation,
    ModelId,
    RequestId,
    StreamId,
)
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.kernel.messages.requests import Request, RequestKind
from mimosafork.relay.answers import Answer, StreamedAnswer, WholeAnswer
from mimosafork.relay.limits import RelayLimits
from mimosafork.relay.messages import CallerAttached, Opened
from mimosafork.relay.shapes import CompletionShape
from mimosafork.relay.task import RelayTask

WAIT_S = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = RequestId("r1")
MODEL = ModelId("demo")
CALL = ModelCall(MODEL, None, "a letter", 10)


@dataclass
class FakeConnector:
    """Keeps the relay's jobs for the test to look at."""

    opened: SimpleQueue[OpenCall] = field(default_factory=SimpleQueue)
    cancelled: SimpleQueue[CancelStream] = field(default_factory=SimpleQueue)

    def open(self, job: OpenCall) -> None:
        """Keep a call."""
        self.opened.put(job)

    def cancel(self, job: CancelStream) -> None:
        """Keep a cancellation."""
        self.cancelled.put(job)


class KernelInbox:
    """Takes what the relay tells the kernel."""

    def __init__(self) -> None:
        self.messages: SimpleQueue[Message] = SimpleQueue()

    def send(self, message: Message) -> None:
        """Keep a message."""
        self.messages.put(message)


@dataclass
class Engine:
    """The engine's end of one attempt's connection."""

    sock: socket.socket
    dispatch: Dispatch

    def head(self) -> None:
        """Send the head of a response."""
        self.sock.sendall(HEAD)

    def event(self, offset: int, text: str = "", **members: Any) -> None:
        """Send one event of this attempt, unless the members say otherwise."""
        body = {
            "stream_id": self.dispatch.stream_id,
            "attempt": self.dispatch.attempt,
            "offset": offset,
            **({"tokens": 1, "text": text} if text else {}),
            **members,
        }
        self.raw(b"data: " + json.dumps(body).encode() + b"\n\n")

    def raw(self, data: bytes) -> None:
        """Send bytes as one chunk."""
        self.sock.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def refuse(self, status: int, reason: str) -> None:
        """Send a refusal."""
        body = json.dumps({"refused": reason}).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self.sock.sendall(head.encode() + body)


@dataclass
class RelayBench:
    """One relay and the request `REQUEST` on it."""

    relay: RelayTask
    connector: FakeConnector
    kernel: KernelInbox
    caller: socket.socket
    sockets: list[socket.socket] = field(default_factory=list)

    def dispatch(self, attempt: int = 1, **members: Any) -> Dispatch:
        """Have the relay begin an attempt."""
        dispatch = first_dispatch(attempt, **members)
        self.relay.send(dispatch)
        return dispatch

    def connect(self) -> Engine:
        """Open the call that the relay asked for last; return the engine's end."""
        job = self.connector.opened.get(timeout=WAIT_S)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.settimeout(WAIT_S)
        self.sockets.append(theirs)
        self.relay.send(Opened(job, ours))
        return Engine(theirs, job.dispatch)

    def start(self, attempt: int = 1, **members: Any) -> Engine:
        """Begin an attempt and answer its head."""
        self.dispatch(attempt, **members)
        engine = self.connect()
        engine.head()
        return engine

    def told(self) -> Message:
        """Return the next message to the kernel."""
        return self.kernel.messages.get(timeout=WAIT_S)

    def read_until(self, mark: bytes) -> bytes:
        """Return what the caller reads up to a mark."""
        data = b""
        while mark not in data:
            more = self.caller.recv(65536)
            assert more, data
            data += more
        return data

    def read_all(self) -> bytes:
        """Return what the caller reads until its connection ends."""
        data = b""
        while more := self.caller.recv(65536):
            data += more
        return data


def first_dispatch(attempt: int = 1, **members: Any) -> Dispatch:
    """Return the kernel's word to begin an attempt, the first unless told so."""
    values: dict[str, Any] = {
        "request_id": REQUEST,
        "attempt": AttemptNumber(attempt),
        "stream_id": StreamId(f"r1.{attempt}"),
        "endpoint": EndpointId(f"e{attempt}"),
        "incarnation": Incarnation(1),
        "address": "127.0.0.1:9",
        "deadline": timedelta(days=10_000),
        **members,
    }
    return Dispatch(**values)


def request() -> Request:
    """Return the request of the bench."""
    return Request(
        request_id=REQUEST,
        account=AccountId("voces"),
        kind=RequestKind.MODEL,
        target=MODEL,
        prompt_tokens=2,
        max_tokens=10,
        deadline=timedelta(days=10_000),
        body_digest=Digest("0"),
    )


@contextmanager
def relay_bench(
    streamed: bool = True, limits: RelayLimits | None = None
) -> Iterator[RelayBench]:
    """Run a relay to which the caller of `REQUEST` is attached."""
    connector, kernel = FakeConnector(), KernelInbox()
    relay = RelayTask(SystemClock(), connector, kernel.send, limits)
    shape = CompletionShape(REQUEST, MODEL, 0)
    answer: Answer = WholeAnswer(REQUEST, shape)
    if streamed:
        answer = StreamedAnswer(REQUEST, shape)
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.settimeout(WAIT_S)
    relay.start()
    relay.send(CallerAttached(request(), ours, CALL, answer))
    bench = RelayBench(relay, connector, kernel, theirs)
    try:
        yield bench
    finally:
        relay.stop()
        for each in (theirs, *bench.sockets):
            each.close()

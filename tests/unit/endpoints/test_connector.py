"""Tests of opening calls, and of the reported failures of calls that aren't sent."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from queue import SimpleQueue
from typing import Any

import msgspec

from mimosafork.clock import SystemClock
from mimosafork.endpoints.calls import ModelCall, OpenCall, ServiceCall
from mimosafork.endpoints.connector import LONG_CALL_BYTES, Connector, ConnectorLimits
from mimosafork.ids import (
    AttemptNumber,
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
    ModelId,
    RequestId,
    ServiceId,
    StreamId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.messages.attempts import Exposure, FailureKind
from mimosafork.kernel.messages.dispatch import Dispatch
from mimosafork.network.http import HttpClient
from mimosafork.relay.messages import Opened, OpenFailed, RelayMessage
from tests.support.functions import function_tests

WAIT_S = 5.0
CALL = ModelCall(ModelId("demo"), None, "a letter", 10)
IDENTITY = InstanceIdentity(
    InstanceId("i1"), Incarnation(4), AvailabilityZoneId("az-1")
)


@dataclass
class ConnectorBench:
    """A connector, and a listener that accepts connections only on request."""

    connector: Connector
    listener: socket.socket
    address: str
    delivered: SimpleQueue[RelayMessage] = field(default_factory=SimpleQueue)

    def open(self, call: Any = CALL, **members: Any) -> None:
        """Queue a call."""
        values: dict[str, Any] = {
            "request_id": RequestId("r1"),
            "attempt": AttemptNumber(1),
            "stream_id": StreamId("r1.1"),
            "endpoint": EndpointId("e1"),
            "incarnation": Incarnation(1),
            "address": self.address,
            "deadline": SystemClock().monotonic() + timedelta(seconds=30),
            **members,
        }
        self.connector.open(OpenCall(Dispatch(**values), call))

    def next_message(self) -> RelayMessage:
        """Return the next message to the relay."""
        return self.delivered.get(timeout=WAIT_S)

    def next_failure(self) -> OpenFailed:
        """Return the next message to the relay, which must be a failure."""
        message = self.next_message()
        assert isinstance(message, OpenFailed), message
        return message

    def received(self) -> bytes:
        """Accept a connection and return the request that it carries."""
        accepted, _ = self.listener.accept()
        accepted.settimeout(WAIT_S)
        data = b""
        while not is_complete(data):
            data += accepted.recv(65536)
        accepted.close()
        return data


def is_complete(data: bytes) -> bool:
    """Return whether a request has arrived completely."""
    head, found, body = data.partition(b"\r\n\r\n")
    if not found:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return True


@contextmanager
def connector_bench() -> Iterator[ConnectorBench]:
    """Run a connector and a listener."""
    limits = ConnectorLimits(
        connect_timeout=timedelta(seconds=1),
        send_timeout=timedelta(milliseconds=300),
        short_threads=1,
        long_threads=1,
        cancel_threads=1,
    )
    http = HttpClient(IDENTITY.instance)
    connector = Connector(IDENTITY, SystemClock(), http, limits)
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(WAIT_S)
    host, port = listener.getsockname()
    bench = ConnectorBench(connector, listener, f"{host}:{port}")
    connector.start(bench.delivered.put)
    try:
        yield bench
    finally:
        connector.stop()
        listener.close()


def test_a_stream_is_started_by_the_protocol() -> None:
    with connector_bench() as bench:
        bench.open(offset=5, priority=3)
        head, _, body = bench.received().partition(b"\r\n\r\n")
        assert head.startswith(b"POST /v1/streams HTTP/1.1\r\n")
        member = msgspec.json.decode(body)
        assert member["owner"] == {"instance": "i1", "incarnation": 4}
        assert member["prompt"] == "a letter" and member["offset"] == 5
        assert 29_000 < member["deadline_ms"] <= 30_000
        opened = bench.next_message()
        assert isinstance(opened, Opened)
        assert not opened.sock.getblocking()
        opened.sock.close()


def test_attaching_sends_no_prompt() -> None:
    with connector_bench() as bench:
        bench.open(attach=True, offset=9, attempt=AttemptNumber(2))
        request = bench.received()
        expected = b"GET /v1/streams/r1.1?offset=9&attempt=2 HTTP/1.1\r\n"
        assert request.startswith(expected)
        assert b"a letter" not in request


def test_a_plain_service_gets_the_request_id_and_the_time_left() -> None:
    call = ServiceCall(
        ServiceId("f"), "POST", "/x%20y?q=1", (("Content-Type", "text/x"),), b"body"
    )
    with connector_bench() as bench:
        bench.open(call)
        request = bench.received()
        assert request.startswith(b"POST /x%20y?q=1 HTTP/1.1\r\n")
        assert b"X-Request-Id: r1\r\n" in request and b"X-Attempt: 1\r\n" in request
        assert b"X-Deadline-Ms: " in request and request.endswith(b"body")


def test_a_refused_connection_is_reported_as_never_sent() -> None:
    with connector_bench() as bench:
        bench.listener.close()
        bench.open()
        next_failure = bench.next_failure()
        assert next_failure.kind is FailureKind.UNREACHED
        assert next_failure.exposure is Exposure.NEVER_SENT


def test_a_call_past_its_deadline_is_never_sent() -> None:
    """Guards against running a call after its caller's deadline.

    The call waits in its queue until its deadline has passed; the caller may already
    have the answer that it was not run.
    """
    with connector_bench() as bench:
        bench.open(deadline=SystemClock().monotonic() - timedelta(milliseconds=1))
        next_failure = bench.next_failure()
        assert next_failure.kind is FailureKind.DEADLINE
        assert next_failure.exposure is Exposure.NEVER_SENT


def test_a_blocked_long_call_does_not_delay_a_short_one() -> None:
    """Guards against short calls that wait behind a long one to a frozen engine.

    The sending thread blocks. A short call to another engine must be sent meanwhile,
    and the long one is reported as possibly received.
    """
    long_call = ModelCall(ModelId("demo"), None, "x" * (32 << 20), 10)
    assert long_call.size > LONG_CALL_BYTES
    with connector_bench() as bench:
        bench.open(long_call)
        bench.open(request_id=RequestId("r2"))
        first = bench.next_message()
        assert isinstance(first, Opened)
        assert first.job.dispatch.request_id == "r2"
        first.sock.close()
        next_failure = bench.next_failure()
        assert next_failure.kind is FailureKind.BROKEN
        assert next_failure.exposure is Exposure.POSSIBLE


load_tests = function_tests(__name__)

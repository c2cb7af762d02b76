"""Opening calls: what is told of those that do not go out."""

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
    """A connector, and a listener that accepts nothing by itself."""

    connector: Connector
    listener: socket.socket
    address: str
    delivered: SimpleQueue[RelayMessage] = field(default_factory=SimpleQueue)

    def open(self, call: Any = CALL, **members: Any) -> None:
        """Have a call opened."""
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

    def told(self) -> RelayMessage:
        """Return what the relay is told next."""
        return self.delivered.get(timeout=WAIT_S)

    def failed(self) -> OpenFailed:
        """Return the failure that the relay is told next."""
        message = self.told()
        assert isinstance(message, OpenFailed), message
        return message

    def received(self) -> bytes:
        """Accept a connection and return the request that it carries."""
        accepted, _ = self.listener.accept()
        accepted.settimeout(WAIT_S)
        data = b""
        while not is_whole(data):
            data += accepted.recv(65536)
        accepted.close()
        return data


def is_whole(data: bytes) -> bool:
    """Return whether a request has come whole."""
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


def test_a_stream_is_started_as_the_protocol_says() -> None:
    with connector_bench() as bench:
        bench.open(offset=5, priority=3)
        head, _, body = bench.received().partition(b"\r\n\r\n")
        assert head.startswith(b"POST /v1/streams HTTP/1.1\r\n")
        member = msgspec.json.decode(body)
        assert member["owner"] == {"instance": "i1", "incarnation": 4}
        assert member["prompt"] == "a letter" and member["offset"] == 5
        assert 29_000 < member["deadline_ms"] <= 30_000
        opened = bench.told()
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


def test_a_plain_service_is_told_the_request_and_the_time_left() -> None:
    call = ServiceCall(
        ServiceId("f"), "POST", "/x%20y?q=1", (("Content-Type", "text/x"),), b"body"
    )
    with connector_bench() as bench:
        bench.open(call)
        request = bench.received()
        assert request.startswith(b"POST /x%20y?q=1 HTTP/1.1\r\n")
        assert b"X-Request-Id: r1\r\n" in request and b"X-Attempt: 1\r\n" in request
        assert b"X-Deadline-Ms: " in request and request.endswith(b"body")


def test_a_connection_that_was_never_made_is_never_sent() -> None:
    with connector_bench() as bench:
        bench.listener.close()
        bench.open()
        failed = bench.failed()
        assert failed.kind is FailureKind.UNREACHED
        assert failed.exposure is Exposure.NEVER_SENT


def test_a_call_whose_time_is_over_is_never_sent() -> None:
    """A call waits in its lane until its deadline has passed.

    Sending it then would run a request whose caller has been told that it was not.
    """
    with connector_bench() as bench:
        bench.open(deadline=SystemClock().monotonic() - timedelta(milliseconds=1))
        failed = bench.failed()
        assert failed.kind is FailureKind.DEADLINE
        assert failed.exposure is Exposure.NEVER_SENT


def test_a_long_call_to_an_engine_that_stopped_reading_holds_no_short_one_up() -> None:
    """An engine freezes while a dossier is on its way to it.

    The sending thread blocks. A clerk's short letter to another engine must go out
    meanwhile, and what is told of the dossier is that it may have arrived.
    """
    dossier = ModelCall(ModelId("demo"), None, "x" * (32 << 20), 10)
    assert dossier.size > LONG_CALL_BYTES
    with connector_bench() as bench:
        bench.open(dossier)
        bench.open(request_id=RequestId("r2"))
        first = bench.told()
        assert isinstance(first, Opened)
        assert first.job.dispatch.request_id == "r2"
        first.sock.close()
        failed = bench.failed()
        assert failed.kind is FailureKind.BROKEN
        assert failed.exposure is Exposure.POSSIBLE


load_tests = function_tests(__name__)

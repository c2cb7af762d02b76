"""What one gRPC call costs beside its payload: bytes on TCP, processor time."""

import selectors
import socket
import threading
import time
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta

from mimosafork.clock import SystemClock
from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
)
from mimosafork.network.http import HttpClient
from mimosafork.peers.client import PeersClient
from mimosafork.peers.errors import PeerError
from mimosafork.peers.frames import ExchangeReply, ExchangeRequest, FeedId, Sender
from mimosafork.peers.server import PeersServer
from mimosafork.peers.wire import reply_to_wire, request_to_wire
from mimosafork.standins import EngineSettings, EngineStandin
from mimosafork.watch.calls import EndpointReader

CALLS = 2_000
WARM_UP = 100
PROBES = 500
HEADS = 70
TCP_IP_HEADER_BYTES = 52
TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class CallCost:
    """Cost of one call, both sides together.

    Attributes
    ----------
    overhead_bytes : float
        Bytes on the TCP stream beside the two messages.
    segments : float
        Reads of the forwarder, about one a packet.
    processor_us : float
        Processor time of caller and called together.
    """

    overhead_bytes: float
    segments: float
    processor_us: float


class Forwarder:
    """Forwards one TCP connection at a time and counts what passes."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.target = target
        self.passed = 0
        self.segments = 0
        self.stopping = False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        self.stopping = True
        self.thread.join(TIMEOUT_S)
        self.listener.close()

    def _run(self) -> None:
        near, _ = self.listener.accept()
        far = socket.create_connection(self.target)
        selector = selectors.DefaultSelector()
        selector.register(near, selectors.EVENT_READ, far)
        selector.register(far, selectors.EVENT_READ, near)
        while not self.stopping:
            for key, _ in selector.select(0.1):
                data = key.fileobj.recv(65536)  # type: ignore[union-attr]
                if not data:
                    return
                self.passed += len(data)
                self.segments += 1
                key.data.sendall(data)


def measure() -> CallCost:
    """Make many calls through the forwarder, then straight, and compare."""
    server = PeersServer("127.0.0.1:0", _answer)
    server.start()
    forwarder = Forwarder(("127.0.0.1", server.port))
    try:
        payload, segments = _through(forwarder)
        processor_us = _straight(f"127.0.0.1:{server.port}")
    finally:
        forwarder.stop()
        server.stop()
    return CallCost(payload, segments, processor_us)


def measure_probe() -> CallCost:
    """Read load reports of an engine stand-in; only the caller's time counts."""
    settings = EngineSettings(endpoint="az-1-reader-0001")
    engine = EngineStandin(settings, SystemClock())
    host, _, port = engine.start().rpartition(":")
    forwarder = Forwarder((host, int(port)))
    timeout = timedelta(seconds=TIMEOUT_S)
    reader = EndpointReader(HttpClient(SENDER.instance, timeout, timeout), timeout)
    endpoint = EndpointId(settings.endpoint)
    try:
        reader.load(endpoint, forwarder.address)
        passed, segments = forwarder.passed, forwarder.segments
        began = time.thread_time()
        for _ in range(PROBES):
            reader.load(endpoint, forwarder.address)
        spent = time.thread_time() - began
        passed = forwarder.passed - passed
        segments = forwarder.segments - segments
    finally:
        forwarder.stop()
        engine.stop()
    return CallCost(passed / PROBES, segments / PROBES, spent / PROBES * 1e6)


def _through(forwarder: Forwarder) -> tuple[float, float]:
    client = PeersClient(timedelta(seconds=TIMEOUT_S))
    try:
        _call_often(client, forwarder.address, WARM_UP)
        passed, segments = forwarder.passed, forwarder.segments
        _call_often(client, forwarder.address, CALLS)
        passed = forwarder.passed - passed
        segments = forwarder.segments - segments
    finally:
        client.close()
    messages = request_to_wire(_request()).ByteSize() + reply_to_wire(REPLY).ByteSize()
    return passed / CALLS - messages, segments / CALLS


def _straight(address: str) -> float:
    client = PeersClient(timedelta(seconds=TIMEOUT_S))
    try:
        _call_often(client, address, WARM_UP)
        began = time.process_time()
        _call_often(client, address, CALLS)
        return (time.process_time() - began) / CALLS * 1e6
    finally:
        client.close()


def _call_often(client: PeersClient, address: str, count: int) -> None:
    """Make calls one after the other, as the rounds of an instance do."""
    for _ in range(count):
        done: Future[ExchangeReply] = Future()

        def failed(error: PeerError, done: Future[ExchangeReply] = done) -> None:
            done.set_exception(error)

        client.exchange(address, _request(), done.set_result, failed)
        done.result(TIMEOUT_S)


def _request() -> ExchangeRequest:
    heads = {FeedId(number * 2**55 + 1): 5_000 for number in range(HEADS)}
    return ExchangeRequest(SENDER, heads)


def _answer(request: ExchangeRequest, reply: "Future[ExchangeReply]") -> None:
    reply.set_result(REPLY)


SENDER = Sender(
    "fleet",
    InstanceId("az-1-entry-0001"),
    Incarnation(1_790_000_000_000),
    AvailabilityZoneId("az-1"),
    "10.20.30.40:7443",
)
REPLY = ExchangeReply(SENDER)

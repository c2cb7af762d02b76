"""What one call of each kind costs a node, and what a bare process weighs."""

import subprocess
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta

from mimosafork.clock import SystemClock
from mimosafork.ids import EndpointId, InstanceId
from mimosafork.network.http import HttpClient
from mimosafork.peers.client import PeersClient
from mimosafork.peers.frames import ExchangeReply, ExchangeRequest
from mimosafork.peers.server import PeersServer
from mimosafork.standins import EngineSettings, EngineStandin
from mimosafork.watch.calls import EndpointReader

from . import peer_probes
from .probe import Unit, probe, processor_time

CALLS = (50, 100, 200)
LOOPBACK = "127.0.0.1"
ANSWER_S = 5.0
BARE_PROCESS = """
import mimosafork.runtime.instance, mimosafork.commands.serve
for line in open("/proc/self/status"):
    if line.startswith("VmRSS"):
        print(int(line.split()[1]) * 1024)
"""


@probe(
    "exchange_call_time",
    "gRPC exchanges",
    Unit.MICROSECONDS,
    "peers/client.py, peers/server.py",
    CALLS,
)
def exchange_call_time(size: int) -> float:
    """Return the time of so many empty exchanges, both sides together."""
    node = peer_probes.zone(1, 0, 0).nodes[InstanceId("instance-000")]
    exchanger = node.exchanger

    def answer(request: ExchangeRequest, reply: "Future[ExchangeReply]") -> None:
        reply.set_result(exchanger.answer(request))

    server = PeersServer(f"{LOOPBACK}:0", answer)
    server.start()
    client = PeersClient()
    try:
        call = _waiting_call(client, f"{LOOPBACK}:{server.port}", exchanger.request)
        call()
        with processor_time() as meter:
            for _ in range(size):
                call()
    finally:
        client.close()
        server.stop()
    return meter.cost


def _waiting_call(
    client: PeersClient, address: str, request: Callable[[bool], ExchangeRequest]
) -> Callable[[], None]:
    """Return a function that makes one exchange and waits for its end."""

    def call() -> None:
        ended = threading.Event()
        failures: list[Exception] = []

        def failed(error: Exception) -> None:
            failures.append(error)
            ended.set()

        client.exchange(address, request(True), lambda _: ended.set(), failed)
        if not ended.wait(ANSWER_S) or failures:
            raise RuntimeError(f"the exchange failed: {failures}")

    return call


@probe(
    "load_probe_time",
    "load probes of endpoints",
    Unit.MICROSECONDS,
    "watch/calls.py",
    CALLS,
)
def load_probe_time(size: int) -> float:
    """Return the prober's own time for so many probes."""
    engine = EngineStandin(EngineSettings(endpoint="e1"), SystemClock())
    address = engine.start()
    reader = EndpointReader(HttpClient(InstanceId("probe")), timedelta(seconds=5))
    try:
        reader.load(EndpointId("e1"), address)
        begun = time.thread_time()
        for _ in range(size):
            reader.load(EndpointId("e1"), address)
        return (time.thread_time() - begun) * 1e6
    finally:
        engine.stop()


def load_report_bytes() -> int:
    """Return the bytes of one load probe, headers of both ways included."""
    engine = EngineStandin(EngineSettings(endpoint="e1"), SystemClock())
    address = engine.start()
    try:
        answer = HttpClient(InstanceId("probe")).call("GET", address, "/v1/load")
    finally:
        engine.stop()
    return len(answer.body) + HEADER_BYTES


HEADER_BYTES = 500
"""HTTP, TCP and IP headers of a small call and its answer on a kept connection."""


def bare_process_bytes() -> int:
    """Return the resident memory of a process that has only imported the program."""
    ran = subprocess.run(
        [sys.executable, "-c", BARE_PROCESS], capture_output=True, check=True, text=True
    )
    return int(ran.stdout)

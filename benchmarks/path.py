"""The data path against the engine called directly, through real processes.

``python -m benchmarks.path`` holds 10, 50, 200 and 400 streams at once, each with
a chunk every 67 ms, in three ways: engines called directly, through an entry
instance, and through the plain CherryPy generator. While they are held, further
short requests tell how long a first byte takes. All ways run in the same command,
so that the ratios hold whatever else the machine does.
"""

import argparse
import json
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass

from tests.support.calls import KEYS
from tests.support.processes import Cluster, Process, running_platform

from .process_usage import Usage, usage_of
from .stream_load import (
    BusyBegins,
    BusyEnds,
    Call,
    LoadPlan,
    LoadProcess,
    LoadResult,
    QuietBegins,
)

ENGINES = 4
WINDOW_S = 8.0
IDLE_S = 5.0
INTERVAL_MS = 67
PROBE_TOKENS = 3
PROBES_PER_S = 20
ENTRY = "entry-1"
PROBE_PERIOD = "500ms"
"""The product's own default; tests probe faster, which would be measured too."""
DEFAULT_COUNTS = (10, 50, 200, 400)
REQUESTS_FOR_COST = 300
ENGINE_OPTIONS = (
    "--token-interval-ms",
    str(INTERVAL_MS),
    "--batch-slots",
    "2000",
    "--kv-capacity",
    "100000000",
    "--prefill-speed",
    "1000000000",
)


@dataclass(frozen=True, slots=True)
class Times:
    """How long the phases of one measurement are."""

    ramp_s: float = 4.0
    window_s: float = WINDOW_S

    def tokens(self) -> int:
        """Return the tokens of a stream that outlasts the window."""
        return int((self.ramp_s + 2 * self.window_s) * 1000 / INTERVAL_MS) + 15


@dataclass(slots=True)
class Measured:
    """One way at one number of streams."""

    way: str
    streams: int
    first_p50_ms: float
    first_p95_ms: float
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    chunk_cost_us: float
    request_cost_us: float
    resident_mb: float
    threads: int
    broken: int


@dataclass(slots=True)
class Way:
    """A way from a caller to the engines.

    Parameters
    ----------
    make_call : Callable
        Returns the call of stream number n with so many tokens.
    pid : int or None
        Process whose cost is counted; None for the direct way.
    """

    name: str
    make_call: Callable[[int, int], Call]
    pid: int | None = None


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value below which a part of all values lies."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def measure(way: Way, streams: int, times: Times) -> Measured:
    """Hold streams through one way and return what was seen."""
    tokens = times.tokens()
    probes = int(PROBES_PER_S * times.window_s)
    plan = LoadPlan(
        held=[way.make_call(n, tokens) for n in range(streams)],
        probes=[way.make_call(streams + n, PROBE_TOKENS) for n in range(probes)],
        ramp_s=times.ramp_s,
        window_s=times.window_s,
    )
    load = LoadProcess(plan)
    load.start()
    usages = [usage_at(load, mark, way) for mark in (QuietBegins, BusyBegins, BusyEnds)]
    result = load.wait_for(LoadResult)
    assert isinstance(result, LoadResult)
    return summary(way, streams, result, usages)


def usage_at(load: LoadProcess, mark: type, way: Way) -> Usage:
    """Return what the way's process has used when the load reaches a mark."""
    load.wait_for(mark)
    return usage_of(way.pid) if way.pid else Usage(0.0, 0, 0)


def summary(
    way: Way, streams: int, result: LoadResult, usages: Sequence[Usage]
) -> Measured:
    """Return the figures of one measurement."""
    quiet, busy, end = usages
    quiet_s = busy.processor_s - quiet.processor_s
    chunk_s = quiet_s / max(1, result.quiet_chunks)
    # What the second window took beyond its chunks is the probes' share.
    probes_s = end.processor_s - busy.processor_s - chunk_s * result.busy_chunks
    first, gaps = result.first_bytes_s, result.gaps_s
    return Measured(
        way=way.name,
        streams=streams,
        first_p50_ms=percentile(first, 0.5) * 1000,
        first_p95_ms=percentile(first, 0.95) * 1000,
        gap_p50_ms=percentile(gaps, 0.5) * 1000,
        gap_p95_ms=percentile(gaps, 0.95) * 1000,
        gap_p99_ms=percentile(gaps, 0.99) * 1000,
        chunk_cost_us=chunk_s * 1e6,
        request_cost_us=probes_s / max(1, len(first)) * 1e6,
        resident_mb=end.resident_bytes / 2**20,
        threads=end.threads,
        broken=result.broken,
    )


def post(address: str, path: str, body: object, key: str = "") -> Call:
    """Return a whole POST as bytes."""
    content = json.dumps(body).encode()
    head = [
        f"POST {path} HTTP/1.1",
        f"Host: {address}",
        "Content-Type: application/json",
        f"Content-Length: {len(content)}",
        "Connection: close",
    ]
    if key:
        head.append(f"Authorization: Bearer {key}")
    return Call(address, "\r\n".join(head).encode() + b"\r\n\r\n" + content)


def stream_body(number: int, tokens: int, run: str) -> dict[str, object]:
    """Return the body that starts a stream on an engine."""
    return {
        "stream_id": f"{run}-{number}",
        "attempt": 1,
        "owner": {"instance": "bench", "incarnation": 1},
        "model": "demo",
        "prompt": f"letter {run} {number}",
        "max_tokens": tokens,
        "deadline_ms": 120_000,
    }


def direct_way(engines: Sequence[str], run: str) -> Way:
    """Return the way straight to the engines."""

    def make_call(number: int, tokens: int) -> Call:
        address = engines[number % len(engines)]
        body = stream_body(number, tokens, f"direct-{run}")
        return post(address, "/v1/streams", body)

    return Way("direct", make_call)


def plain_way(process: Process, run: str) -> Way:
    """Return the way through the plain CherryPy generator."""
    address = process.addresses()[0]

    def make_call(number: int, tokens: int) -> Call:
        return post(address, "/", stream_body(number, tokens, f"plain-{run}"))

    return Way("plain", make_call, process.pid)


def relay_way(cluster: Cluster, run: str) -> Way:
    """Return the way through an entry instance."""
    address = cluster.clients[ENTRY].address

    def make_call(number: int, tokens: int) -> Call:
        body = {
            "model": "demo",
            "prompt": f"letter {run} {number}",
            "max_tokens": tokens,
            "stream": True,
        }
        return post(address, "/v1/completions", body, KEYS["voces"])

    return Way("relay", make_call, cluster.entries[ENTRY].pid)


def request_cost_us(cluster: Cluster) -> float:
    """Return the processor time of a short whole request, one after the other."""
    client = cluster.clients[ENTRY]
    client.complete("warm up", 1)
    pid = cluster.entries[ENTRY].pid
    before = usage_of(pid)
    for number in range(REQUESTS_FOR_COST):
        assert client.complete(f"letter {number}", 1).status == 200
    spent_s = usage_of(pid).processor_s - before.processor_s
    return spent_s / REQUESTS_FOR_COST * 1e6


def idle_share(cluster: Cluster) -> float:
    """Return the part of a core that an instance without requests uses."""
    pid = cluster.entries[ENTRY].pid
    before = usage_of(pid)
    time.sleep(IDLE_S)
    return (usage_of(pid).processor_s - before.processor_s) / IDLE_S


def run(counts: Sequence[int], ways: Sequence[str], times: Times) -> list[Measured]:
    """Measure all ways at all numbers of streams and print each line."""
    measured = []
    with running_platform() as cluster:
        cluster.probe_period = PROBE_PERIOD
        engines = [
            cluster.add_engine(f"engine-{n}", *ENGINE_OPTIONS) for n in range(ENGINES)
        ]
        cluster.add_entry(ENTRY)
        cluster.wait_until_served(ENTRY, endpoints=ENGINES)
        print(f"processor time of a short request: {request_cost_us(cluster):.0f} us")
        print(f"standing work: {idle_share(cluster):.1%} of a core")
        print(HEADER)
        for streams in counts:
            for name in ways:
                with ExitStack() as stack:
                    way = make_way(name, cluster, engines, streams, stack)
                    line = measure(way, streams, times)
                    print(row(line))
                    sys.stdout.flush()
                    measured.append(line)
    return measured


def make_way(
    name: str,
    cluster: Cluster,
    engines: Sequence[str],
    streams: int,
    stack: ExitStack,
) -> Way:
    """Return a way; what it starts ends with `stack`."""
    if name == "direct":
        return direct_way(engines, str(streams))
    if name == "relay":
        return relay_way(cluster, str(streams))
    threads = streams + PROBES_PER_S * 2
    process = Process([str(threads), *engines], module="benchmarks.plain_entry")
    stack.callback(process.kill)
    return plain_way(process, str(streams))


HEADER = (
    "| way | streams | first byte p50 | p95 (ms) | gap p50 | p95 | p99 (ms) "
    "| us a chunk | us a request | MB | threads | broken |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def row(line: Measured) -> str:
    """Return a line of the table."""
    return (
        f"| {line.way} | {line.streams} | {line.first_p50_ms:.1f} "
        f"| {line.first_p95_ms:.1f} | {line.gap_p50_ms:.1f} | {line.gap_p95_ms:.1f} "
        f"| {line.gap_p99_ms:.1f} | {line.chunk_cost_us:.0f} "
        f"| {line.request_cost_us:.0f} | {line.resident_mb:.0f} "
        f"| {line.threads} | {line.broken} |"
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print a table in Markdown."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.path")
    parser.add_argument("--streams", type=int, nargs="+", default=list(DEFAULT_COUNTS))
    parser.add_argument("--ways", nargs="+", default=["direct", "relay", "plain"])
    parser.add_argument("--window", type=float, default=WINDOW_S)
    options = parser.parse_args(argv)
    run(options.streams, options.ways, Times(window_s=options.window))
    return 0


if __name__ == "__main__":
    sys.exit(main())

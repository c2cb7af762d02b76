"""What claims cost: ``python -m benchmarks.claims``.

A claim writer before a table service in a process of its own, at a fixed rate of
requests, each of which is claimed and then ended with its answer. One row a
transaction is the baseline of the batches.
"""

import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from statistics import quantiles

from mimosafork.claims.writer import LARGEST_BATCH, ClaimWriter, StoreAnswer
from mimosafork.clock import SystemClock
from mimosafork.ids import ClaimId, ClaimKey, Digest, Incarnation, InstanceId, RequestId
from mimosafork.kernel.messages.base import Message
from mimosafork.kernel.messages.claims import (
    AnswerKept,
    Claim,
    ClaimWon,
    PaceClaims,
    WriteClaim,
)
from mimosafork.network.http import HttpClient
from mimosafork.storage.breaker import CircuitBreaker
from mimosafork.storage.table import TableClient

SECONDS = 5.0
RATE_PER_S = 200
ANSWER_BYTES = 1500
LATENCIES_MS = (0, 20, 200)
DRAIN_S = 30.0
READY = "ready "


@dataclass
class Run:
    """What one run has seen; the writer's thread fills it."""

    writer: ClaimWriter
    begun_s: dict[str, float] = field(default_factory=dict)
    won_s: list[float] = field(default_factory=list)
    kept: int = 0
    done: threading.Event = field(default_factory=threading.Event)
    wanted: int = 0

    def take(self, message: Message) -> None:
        """Note when a claim has been won, and end it."""
        if isinstance(message, ClaimWon):
            begun_s = self.begun_s[message.request_id]
            self.won_s.append(time.monotonic() - begun_s)
            answer = bytes(ANSWER_BYTES)
            self.writer.send(StoreAnswer(message.request_id, message.claim_id, answer))
        elif isinstance(message, AnswerKept):
            self.kept += 1
            if self.kept == self.wanted:
                self.done.set()


@dataclass(frozen=True)
class Result:
    """Figures of one run."""

    batch: int
    latency_ms: int
    kept: int
    lasted_s: float
    p50_ms: float
    p95_ms: float
    transactions: int
    cpu_us: float

    def row(self) -> str:
        """Return a line of the table."""
        cells = (
            f"{self.batch}",
            f"{self.latency_ms}",
            f"{self.kept / self.lasted_s:.0f}",
            f"{self.p50_ms:.1f}",
            f"{self.p95_ms:.1f}",
            f"{self.transactions / self.lasted_s:.0f}",
            f"{2 * self.kept / self.transactions:.1f}",
            f"{self.cpu_us:.0f}",
        )
        return "| " + " | ".join(cells) + " |"


@contextmanager
def table_service() -> Iterator[str]:
    """Run a table service; give its address."""
    command = [sys.executable, "-m", "mimosafork", "standin", "table"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout is not None
    try:
        for line in process.stdout:
            if line.startswith(READY):
                yield line.removeprefix(READY).split()[0]
                break
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def measure(address: str, batch: int, latency_ms: int) -> Result:
    """Claim and end at a fixed rate for some seconds."""
    http = HttpClient(InstanceId("bench"), answer_timeout=timedelta(seconds=10))
    http.call("DELETE", address, "/faults")
    if latency_ms:
        fault = {"kind": "latency", "seconds": latency_ms / 1000}
        http.call("POST", address, "/faults", fault)
    clock = SystemClock()
    table = TableClient(http, address, CircuitBreaker("table", clock, Random(1)))
    run = Run(None)  # type: ignore[arg-type]
    writer = ClaimWriter(table, clock, run.take, batch)
    run.writer = writer
    run.wanted = int(SECONDS * RATE_PER_S)
    writer.start()
    writer.send(PaceClaims(1))
    cpu_s, start_s = time.process_time(), time.monotonic()
    for number in range(run.wanted):
        pause_s = start_s + number / RATE_PER_S - time.monotonic()
        if pause_s > 0:
            time.sleep(pause_s)
        write_claim(run, f"{batch}.{latency_ms}.{number}")
    run.done.wait(DRAIN_S)
    lasted_s, used_s = time.monotonic() - start_s, time.process_time() - cpu_s
    writer.stop()
    cuts = quantiles(run.won_s, n=20)
    return Result(
        batch=batch,
        latency_ms=latency_ms,
        kept=run.kept,
        lasted_s=lasted_s,
        p50_ms=cuts[9] * 1000,
        p95_ms=cuts[18] * 1000,
        transactions=sum(writer.counts.transactions.values()),
        cpu_us=used_s / max(1, run.kept) * 1e6,
    )


def write_claim(run: Run, name: str) -> None:
    """Want one claim."""
    claim = Claim(
        claim_id=ClaimId(name),
        body_digest=Digest("body"),
        owner=InstanceId("bench"),
        incarnation=Incarnation(1),
        generation=0,
        time_left=timedelta(minutes=1),
    )
    run.begun_s[name] = time.monotonic()
    effect = WriteClaim(RequestId(name), ClaimKey(name), claim, required=True)
    run.writer.send(effect)


def main() -> int:
    """Print the table."""
    print(f"{RATE_PER_S} claims a second for {SECONDS:.0f} s, each ended with")
    print(f"{ANSWER_BYTES} bytes of answer; two row writes a claim\n")
    print(
        "| rows a transaction at most | store latency ms | kept a second | won p50 ms "
        "| p95 ms | transactions a second | rows each | processor us a claim |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for latency_ms in LATENCIES_MS:
        for batch in (1, LARGEST_BATCH):
            with table_service() as address:
                print(measure(address, batch, latency_ms).row())
                sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""How a gateway grows: calls, events, accounts, endpoints and running work.

``python -m benchmarks.gateway_size``. Calls run through a real process before the
prepared stand-ins on this machine; state is built in this process and weighed.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from random import Random

import msgspec

from benchmarks.process_usage import Usage, usage_of
from mimosafork.ids import AvailabilityZoneId, EndpointId, RequestId
from mimosafork.placement.choice import EngineView, PlacementRequest
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker, PrefillPart
from mimosafork.placement.policy import choose
from mimosafork.platform.configuration import decode_configuration
from mimosafork.routing.engine import EngineFigures
from mimosafork.standins.prepared.documents import TenantEntry
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine_figures import EngineFigures as Pace
from tests.support.gateway_processes import GatewayProcess, gateway_process
from tests.support.prepared import API_KEY, DESKS, ENGINES, USUAL_CONFIG, deployment
from tests.support.waiting import eventually

KEY = f"Bearer {API_KEY}"
CALLS = 200
IDLE_S = 10.0
EVENTS = 38
GAP = timedelta(milliseconds=2)
"""Between two events, so that each comes by itself as it does from an engine."""
KIB = 1024
NOW = timedelta(seconds=100)
SHORT = PlacementRequest(
    request=RequestId("asked"),
    prompt_tokens=5_000,
    max_answer_tokens=3_000,
    answer_tokens=1_200,
    time_left=timedelta(seconds=10),
    objective=timedelta(milliseconds=300),
    longest_pause=timedelta(milliseconds=250),
)
FIGURES = EngineFigures(
    slots=8,
    memory_tokens=405_000,
    stride=34,
    step_ms=1.31,
    per_sequence_ms=0.0018,
    context_ms_per_k=0.00213,
    prefill_tokens_per_ms=154.0,
    attention_ms_per_m_pairs=0.162,
    prefill_chunk_tokens=2_048,
)


@dataclass(frozen=True, slots=True)
class Spent:
    """What a process spent on something."""

    name: str
    processor_s: float
    resident_bytes: int
    count: float

    @property
    def each_ms(self) -> float:
        """Processor milliseconds for each."""
        return self.processor_s * 1e3 / self.count


def spend(
    name: str, started: GatewayProcess, count: float, work: Callable[[], None]
) -> Spent:
    """Return what a gateway spent while some work was done."""
    before = usage(started)
    work()
    after = usage(started)
    spent = after.processor_s - before.processor_s
    return Spent(name, spent, after.resident_bytes, count)


def usage(started: GatewayProcess) -> Usage:
    """Return what a gateway has used up to now."""
    return usage_of(started.process.pid)


def calls(started: GatewayProcess, path: str) -> Callable[[], None]:
    """Return the work of many calls, one after the other."""

    def work() -> None:
        for number in range(CALLS):
            answer = started.ask(path, f"{path}{number}", Authorization=KEY)
            assert answer.status == HTTPStatus.OK, answer

    return work


def idle() -> None:
    """Do nothing for a while."""
    time.sleep(IDLE_S)


def call_costs() -> list[Spent]:
    """Return what calls cost a gateway, by their length, and what it costs at rest."""
    found = []
    for events in (1, EVENTS):
        with deployment() as platform, ExitStack() as stack:
            platform.add_engine(EndpointSettings(ENGINES), Pace(events=events, gap=GAP))
            platform.add_desk(EndpointSettings(DESKS))
            started = stack.enter_context(gateway_process(platform))
            started.wait_until_ready()
            for path in ("/safe/1", "/stream/1"):
                eventually(partial(answers, started, path))
            if events == 1:
                found.append(spend("a second at rest", started, IDLE_S, idle))
                plain = calls(started, "/safe/1")
                found.append(spend("plain call", started, CALLS, plain))
            name = f"stream of {events} events"
            streams = calls(started, "/stream/1")
            found.append(spend(name, started, CALLS, streams))
    return found


def answers(started: GatewayProcess, path: str) -> bool:
    """Return whether a path is served."""
    return started.ask(path, "warm", Authorization=KEY).status == HTTPStatus.OK


def weight_of(build: Callable[[], object]) -> int:
    """Return the bytes that something takes while it is held."""
    gc.collect()
    tracemalloc.start()
    held = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size


def configuration(accounts: int) -> bytes:
    """Return a configuration with so many accounts of two keys."""
    entries = tuple(
        TenantEntry(f"account-{n:05}", (f"key-a-{n:05}" * 2, f"key-b-{n:05}" * 2))
        for n in range(accounts)
    )
    entry = replace(USUAL_CONFIG, tenants=entries)
    return msgspec.json.encode(entry.document(1))


def views(count: int) -> list[EngineView]:
    """Return so many engines in six zones."""
    return [
        EngineView(
            EndpointId(f"i-{n:010x}"),
            f"10.0.0.{n % 250}:80",
            AvailabilityZoneId(f"z{n % 6}"),
            FIGURES.slots,
        )
        for n in range(count)
    ]


def book_of(count: int, engines: list[EngineView]) -> LoadTracker:
    """Return a book with so many works that are being answered."""
    book = LoadTracker()
    for number in range(count):
        host = engines[number % len(engines)].endpoint
        book.record(
            InFlightRequest(
                request=RequestId(f"entry-{number % 330}/{number}"),
                host=host,
                parts=(PrefillPart(host, 5_000, 35.0),),
                prompt_tokens=5_000,
                answer_tokens=1_200,
                longest_pause=timedelta(milliseconds=250),
                started_at=NOW,
                first_token_at=NOW,
            )
        )
    return book


def seconds_of(work: Callable[[], object], times: int) -> float:
    """Return the processor seconds of a work, the least of five tries."""
    tries = []
    for _ in range(5):
        began = time.process_time()
        for _ in range(times):
            work()
        tries.append((time.process_time() - began) / times)
    return min(tries)


def place_anew(book: LoadTracker, place: Callable[[], object]) -> None:
    """Choose a place after the work on each engine has changed."""
    book.summaries.clear()
    place()


def main() -> None:
    """Measure and print."""
    for spent in call_costs():
        size = spent.resident_bytes / KIB / KIB
        print(f"{spent.name}: {spent.each_ms:.2f} ms of processor, then {size:.1f} MB")
    for accounts in (10, 1_000, 2_100):
        value = configuration(accounts)
        read = partial(decode_configuration, value)
        size = weight_of(read)
        took = seconds_of(read, 5)
        print(
            f"{accounts} accounts: {len(value) / KIB:.0f} KB told, {size / KIB:.0f} KB "
            f"held, {took * 1e3:.1f} ms to read"
        )
    engines = views(100)
    for works in (100, 1_000, 10_000):
        size = weight_of(partial(book_of, works, engines))
        print(f"{works} works: {size / works:.0f} bytes each")
    for count in (16, 100, 600):
        known = views(count)
        book = book_of(3 * count, known)
        place = partial(choose, SHORT, known, book, FIGURES, NOW, Random(1))
        took = seconds_of(place, 20)
        anew = seconds_of(partial(place_anew, book, place), 20)
        print(
            f"a place among {count} engines with 3 works each: {took * 1e3:.2f} ms, "
            f"{anew * 1e3:.2f} ms if the work on each has changed"
        )


if __name__ == "__main__":
    main()

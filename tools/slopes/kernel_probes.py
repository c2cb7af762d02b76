"""What the kernel's state and decisions cost."""

from mimosafork.kernel.core import Tick
from mimosafork.kernel.messages.configuration import ConfigurationReceived
from mimosafork.kernel.messages.fleet import LoadReported

from . import fixtures
from .probe import Unit, memory, probe, processor_time

DECISION_ENDPOINTS = 100
REQUESTS_A_RUN = 400


@probe(
    "endpoint_memory", "endpoints", Unit.BYTES, "kernel/fleet.py", (50, 200, 400, 600)
)
def endpoint_memory(size: int) -> float:
    """Return the memory of a kernel that knows so many endpoints."""
    with memory() as meter:
        kept = fixtures.rig(size)
    del kept
    return meter.cost


@probe(
    "account_memory",
    "client accounts",
    Unit.BYTES,
    "kernel/configuration.py, policies/limits",
    (100, 500, 1_000, 2_100),
)
def account_memory(size: int) -> float:
    """Return the memory of so many accounts that have all been served."""
    target = fixtures.rig(fixtures.SIZE.endpoints)
    with memory() as meter:
        target.kernel.handle(
            ConfigurationReceived(fixtures.configuration(size, revision=2))
        )
        for number in range(size):
            fixtures.serve(target, number, accounts=size)
    return meter.cost


@probe(
    "request_memory",
    "requests in progress",
    Unit.BYTES,
    "kernel/records.py",
    (100, 200, 400, 800),
)
def request_memory(size: int) -> float:
    """Return the memory of so many requests in progress."""
    target = fixtures.rig(DECISION_ENDPOINTS)
    fixtures.serve(target, 1_000_000)
    with memory() as meter:
        for number in range(size):
            fixtures.dispatched(fixtures.submit(target, number))
    return meter.cost


@probe(
    "request_time",
    "requests",
    Unit.MICROSECONDS,
    "kernel/lifecycle.py, policies/",
    (200, 400, 800),
)
def request_time(size: int) -> float:
    """Return the time of so many requests' decisions, submission to conclusion."""
    target = fixtures.rig(DECISION_ENDPOINTS)
    with processor_time() as meter:
        for number in range(size):
            fixtures.serve(target, number)
    return meter.cost


@probe(
    "decision_time_per_endpoint",
    "endpoints",
    Unit.MICROSECONDS,
    "policies/routing.py",
    (100, 300, 600),
)
def decision_time_per_endpoint(size: int) -> float:
    """Return one request's decision time with so many endpoints."""
    target = fixtures.rig(size)
    with processor_time() as meter:
        for number in range(REQUESTS_A_RUN):
            fixtures.serve(target, number)
    return meter.cost / REQUESTS_A_RUN


@probe(
    "report_time",
    "load reports",
    Unit.MICROSECONDS,
    "kernel/fleet.py, policies/",
    (600, 1_200, 2_400),
)
def report_time(size: int) -> float:
    """Return the time of taking in so many load reports."""
    target = fixtures.rig(600)
    reports = [fixtures.report(each % 600, 2 + each // 600) for each in range(size)]
    with processor_time() as meter:
        for each in reports:
            target.kernel.handle(LoadReported(each))
    return meter.cost


@probe(
    "tick_time_per_request",
    "requests in progress",
    Unit.MICROSECONDS,
    "kernel/lifecycle.py",
    (100, 400, 800),
)
def tick_time_per_request(size: int) -> float:
    """Return one tick's time with so many requests in progress."""
    ticks = 50
    target = fixtures.rig(DECISION_ENDPOINTS)
    for number in range(size):
        fixtures.submit(target, number)
    with processor_time() as meter:
        for _ in range(ticks):
            target.kernel.handle(Tick())
    return meter.cost / ticks


@probe(
    "tick_time_per_endpoint",
    "endpoints",
    Unit.MICROSECONDS,
    "kernel/core.py",
    (100, 300, 600),
)
def tick_time_per_endpoint(size: int) -> float:
    """Return one tick's time with so many endpoints and nothing to do."""
    ticks = 200
    target = fixtures.rig(size)
    with processor_time() as meter:
        for _ in range(ticks):
            target.kernel.handle(Tick())
    return meter.cost / ticks

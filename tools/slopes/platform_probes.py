"""What reading the platform's instance list and probing endpoints cost a node."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from mimosafork.clock import SystemClock
from mimosafork.ids import (
    AvailabilityZoneId,
    Incarnation,
    InstanceId,
)
from mimosafork.kernel.messages.fleet import (
    EntryInstance,
    InstancesListed,
    LifecycleState,
)
from mimosafork.network.http import HttpClient
from mimosafork.standins.instances import (
    InstanceKind,
    InstanceListStandin,
    InstanceState,
    ListedInstance,
)
from mimosafork.storage.instances import InstanceListClient

from . import fixtures
from .probe import Unit, probe, processor_time

LIST_SIZES = (200, 465, 930)
"""The last is the design size: 330 entry instances and 600 endpoints."""
READS = 20


@contextmanager
def listing(size: int) -> Iterator[InstanceListClient]:
    """Run an instance list with so many entries; yield a client of it."""
    clock = SystemClock()
    standin = InstanceListStandin(clock, lag_s=0.0)
    for index in range(size):
        entry = ListedInstance(
            id=f"endpoint-{index:05d}",
            kind=InstanceKind.MODEL_ENGINE,
            address=f"10.0.{index // 250}.{index % 250}:8000",
            availability_zone=f"zone-{index % 6}",
            incarnation=1_700_000_000_000 + index,
            state=InstanceState.LIVE,
        )
        standin.instances.put(entry.id, entry, 0.0)
    address = standin.start()
    http = HttpClient(InstanceId("probe"), answer_timeout=timedelta(seconds=10))
    try:
        yield InstanceListClient(http, address)
    finally:
        standin.stop()


@probe(
    "list_bytes_per_entry",
    "instances and endpoints in the list",
    Unit.BYTES,
    "storage/instances.py",
    LIST_SIZES,
)
def list_bytes_per_entry(size: int) -> float:
    """Return the bytes of one whole read of the list."""
    with listing(size) as client:
        answer = client.http.call("GET", client.address, "/v1/instances")
    return float(len(answer.body))


@probe(
    "list_read_time",
    "instances and endpoints in the list",
    Unit.MICROSECONDS,
    "storage/instances.py",
    LIST_SIZES,
)
def list_read_time(size: int) -> float:
    """Return the client's time for one whole read of the list."""
    with listing(size) as client:
        client.read()
        begun = time.thread_time()
        for _ in range(READS):
            client.read()
        return (time.thread_time() - begun) * 1e6 / READS


@probe(
    "list_check_time",
    "instances and endpoints in the list",
    Unit.MICROSECONDS,
    "storage/instances.py",
    LIST_SIZES,
)
def list_check_time(size: int) -> float:
    """Return the client's time for one read of a list that has not changed."""
    with listing(size) as client:
        last = client.read_if_changed(None)
        begun = time.thread_time()
        for _ in range(READS):
            last = client.read_if_changed(last)
        return (time.thread_time() - begun) * 1e6 / READS


@probe(
    "list_apply_time",
    "instances and endpoints in the list",
    Unit.MICROSECONDS,
    "kernel/fleet.py, policies/membership.py",
    LIST_SIZES,
)
def list_apply_time(size: int) -> float:
    """Return the kernel's time for one list that has not changed."""
    target = fixtures.rig(0)
    instances = size // 3
    listed = InstancesListed(
        fixtures.entries(size - instances),
        tuple(_entry_instance(index) for index in range(instances)),
    )
    target.kernel.handle(listed)
    with processor_time() as meter:
        for _ in range(READS):
            target.kernel.handle(listed)
    return meter.cost / READS


def _entry_instance(index: int) -> EntryInstance:
    return EntryInstance(
        InstanceId(f"instance-{index:04d}"),
        "10.1.0.1:8000",
        "10.1.0.1:8002",
        AvailabilityZoneId(f"zone-{index % 6}"),
        Incarnation(1),
        LifecycleState.LIVE,
    )

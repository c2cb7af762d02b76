"""What the state of one instance takes in memory, by what it is of."""

import gc
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from mimosafork.kernel.messages.fleet import InstancesListed
from mimosafork.policies.mark_set import MarkSet

from .zone import SimulatedNode, SimulatedZone, ZoneSize

MARKS = 100_000


@dataclass(frozen=True, slots=True)
class MemoryRow:
    """Bytes of one sort of state."""

    name: str
    each: float
    count: int


def measure() -> list[MemoryRow]:
    """Return bytes of a listed endpoint, a listed instance and an index mark."""
    rows = []
    few, many = ZoneSize(6, 5, 10), ZoneSize(6, 5, 100)
    listed = _bytes_of_list(many) - _bytes_of_list(few)
    rows.append(MemoryRow("listed endpoint", listed / 540, 600))
    few, many = ZoneSize(6, 5, 10), ZoneSize(6, 55, 10)
    listed = _bytes_of_list(many) - _bytes_of_list(few)
    rows.append(MemoryRow("listed instance", listed / 300, 330))
    marks = _traced(lambda: MarkSet(range(0, 40_000 * MARKS, 40_000)))
    rows.append(MemoryRow("cache index mark", marks / MARKS, MARKS))
    return rows


def exchanged_state(zone: SimulatedZone) -> MemoryRow:
    """Return the bytes of what a node has heard and said, an entry."""
    node = next(iter(zone.nodes.values()))
    entries = [
        entry
        for feed in node.exchanger.store.feeds.values()
        for entry in feed.entries.values()
    ]

    def copied() -> list[object]:
        return [_copy(entry) for entry in entries]

    return MemoryRow("entry of a feed", _traced(copied) / len(entries), len(entries))


def _copy(entry: object) -> object:
    slots = type(entry).__slots__  # type: ignore[attr-defined]
    made = object.__new__(type(entry))
    for name in slots:
        value = getattr(entry, name)
        if isinstance(value, bytes):
            value = bytes(bytearray(value))
        elif isinstance(value, str):
            value = value[:1] + value[1:]
        elif isinstance(value, float):
            value = value + 0.5
        object.__setattr__(made, name, value)
    return {(1, getattr(made, "key")): made}  # noqa: B009


def _bytes_of_list(size: ZoneSize) -> int:
    zone = SimulatedZone(size)
    node = next(iter(zone.nodes.values()))
    return _traced(lambda: _hear(zone, node, zone.listed()))


def _hear(zone: SimulatedZone, node: SimulatedNode, listed: InstancesListed) -> None:
    zone.tell(node, listed)


def _traced(make: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used

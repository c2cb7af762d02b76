"""What a probe is, and the registry of probes."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

Measure = Callable[[int], float]


class Unit(Enum):
    """Unit of a measured cost."""

    BYTES = "bytes"
    BYTES_A_SECOND = "bytes/s"
    MICROSECONDS = "us"
    MICROSECONDS_A_SECOND = "us/s"


@dataclass(frozen=True, slots=True)
class Probe:
    """A cost that is measured while one thing grows.

    Attributes
    ----------
    name : str
        Key of the measurement in the page.
    grows : str
        What there are more of from one size to the next.
    module : str
        Where the mechanism lives that carries the cost.
    sizes : sequence of int
        How many of it, one run each.
    measure : callable
        Takes a size, returns the cost of all of it together, in `unit`.
    """

    name: str
    grows: str
    unit: Unit
    module: str
    sizes: Sequence[int]
    measure: Measure


PROBES: dict[str, Probe] = {}


def probe(
    name: str, grows: str, unit: Unit, module: str, sizes: Sequence[int]
) -> Callable[[Measure], Measure]:
    """Return a decorator that enters a measuring function as a probe."""

    def enter(measure: Measure) -> Measure:
        PROBES[name] = Probe(name, grows, unit, module, sizes, measure)
        return measure

    return enter


class Meter:
    """Holds what a measured block cost."""

    def __init__(self) -> None:
        self.cost = 0.0


@contextmanager
def processor_time() -> Iterator[Meter]:
    """Measure the processor time of a block, in microseconds.

    The collector of cyclic garbage stays on: its cost grows with the state and is
    part of the price.
    """
    meter = Meter()
    begun = time.process_time()
    yield meter
    meter.cost = (time.process_time() - begun) * 1e6


@contextmanager
def memory() -> Iterator[Meter]:
    """Measure the memory that a block leaves allocated, in bytes.

    Only what Python's allocator hands out is seen; buffers of the C libraries are
    not, so the page adds the measured resident size of the bare process.
    """
    meter = Meter()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    yield meter
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    meter.cost = float(after - before)

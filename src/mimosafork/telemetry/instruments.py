"""Descriptions of the metrics that the product records.

The instruments themselves stand in the modules of `catalogue`, beside the events
of the same concern; `all_instruments` gathers them.
"""

from enum import Enum
from typing import Final

import msgspec

DURATION_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.31,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
    300.0,
    900.0,
)
"""Upper bounds in seconds; 0.31 s is the target of the first token."""

UNIT_NAMES: Final = {"s": "seconds", "By": "bytes"}


class Kind(Enum):
    """How an instrument is recorded."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    OBSERVABLE_COUNTER = "observable counter"
    """Read from a total that its owner keeps; costs the hot path nothing."""
    OBSERVABLE_GAUGE = "observable gauge"
    """Read from its owner's state when the metrics page is asked for."""


class Instrument(msgspec.Struct, frozen=True):
    """One metric.

    Parameters
    ----------
    name : str
        Dotted name, as OpenTelemetry has it.
    kind : Kind
        How it is recorded.
    unit : str
        Unit by UCUM; braces mark a count of things.
    description : str
        One sentence.
    attributes : tuple of str
        Names of its attributes.
    buckets : tuple of float
        Upper bounds of a histogram.
    """

    name: str
    kind: Kind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()
    buckets: tuple[float, ...] = DURATION_BUCKETS_S

    @property
    def exposed_name(self) -> str:
        """The name on the Prometheus page."""
        name = self.name.replace(".", "_")
        if self.unit in UNIT_NAMES:
            name += f"_{UNIT_NAMES[self.unit]}"
        if self.kind in {Kind.COUNTER, Kind.OBSERVABLE_COUNTER}:
            name += "_total"
        return name

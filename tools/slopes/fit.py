"""Straight lines through measured costs."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from .probe import Probe

REPEATS = 5


@dataclass(frozen=True, slots=True)
class Slope:
    """Cost of one more, fitted over several runs.

    Attributes
    ----------
    slope, intercept : float
        Medians over the repeats, in the probe's unit.
    low, high : float
        Smallest and largest slope of the repeats: the spread.
    curvature : float
        Cost of the last doubling's step over that of the first, per one more; 1 is
        a straight line, more means that the cost grows faster than the thing; 0 if
        the first step cost nothing that could be measured.
    """

    name: str
    grows: str
    unit: str
    module: str
    slope: float
    low: float
    high: float
    intercept: float
    curvature: float


def fit(probe: Probe, repeats: int = REPEATS) -> Slope:
    """Run a probe at all its sizes several times and fit a line to each run.

    Parameters
    ----------
    probe : Probe
        With at least three sizes, growing.
    repeats : int, default=5
        Runs; the first size is run once beforehand, so that imports and caches are
        paid for.

    Returns
    -------
    Slope
    """
    probe.measure(probe.sizes[0])
    runs = [
        [probe.measure(size) for size in probe.sizes] for _ in range(max(1, repeats))
    ]
    lines = [np.polyfit(probe.sizes, costs, 1) for costs in runs]
    slopes = [float(line[0]) for line in lines]
    return Slope(
        name=probe.name,
        grows=probe.grows,
        unit=probe.unit.value,
        module=probe.module,
        slope=float(np.median(slopes)),
        low=min(slopes),
        high=max(slopes),
        intercept=float(np.median([line[1] for line in lines])),
        curvature=_curvature(probe.sizes, np.median(np.array(runs), axis=0).tolist()),
    )


def _curvature(sizes: Sequence[int], costs: Sequence[float]) -> float:
    first = (costs[1] - costs[0]) / (sizes[1] - sizes[0])
    last = (costs[-1] - costs[-2]) / (sizes[-1] - sizes[-2])
    return last / first if first > 0 else 0.0

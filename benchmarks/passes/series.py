"""Figures of runs by seed, as rows of a table that other programs read."""

import csv
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from statistics import mean, stdev

from .outcome import Outcome, earned_share, figures_of
from .play import Played

CLASSES = ("short", "middle", "long")


@dataclass(frozen=True, slots=True)
class Row:
    """One run.

    Attributes
    ----------
    cell : str
        Policy, or value of a knob.
    earned : float
        Share of the worth owed.
    short, middle, long : float
        Share of that class's calls on time.
    short_pause_ms : float
        95th percentile of the short calls' largest pause.
    long_first_ms : float
        95th percentile of the long calls' first event.
    """

    deployment: str
    cell: str
    seed: int
    earned: float
    short: float
    middle: float
    long: float
    served: float
    short_pause_ms: float
    long_first_ms: float


def row_of(deployment: str, cell: str, seed: int, played: Played) -> Row:
    """Return the figures of one run."""
    groups = {name: of_class(played.outcomes, name) for name in CLASSES}
    figures = {name: figures_of(group) for name, group in groups.items()}
    return Row(
        deployment=deployment,
        cell=cell,
        seed=seed,
        earned=earned_share(played.outcomes),
        short=figures["short"].on_time,
        middle=figures["middle"].on_time,
        long=figures["long"].on_time,
        served=figures_of(played.outcomes).served,
        short_pause_ms=figures["short"].pause_p95_ms,
        long_first_ms=figures["long"].first_p95_ms,
    )


def of_class(outcomes: Iterable[Outcome], name: str) -> list[Outcome]:
    """Return the outcomes of one class of calls."""
    return [each for each in outcomes if each.call.kind.name == name]


@dataclass(frozen=True, slots=True)
class Summary:
    """A figure over seeds.

    Attributes
    ----------
    error : float
        Standard error of the mean; 0 for one seed.
    """

    mean: float
    error: float


def summary_of(found: Sequence[float]) -> Summary:
    """Return the mean of a figure and its standard error."""
    if len(found) < 2:
        return Summary(found[0] if found else 0.0, 0.0)
    return Summary(mean(found), stdev(found) / len(found) ** 0.5)


def earned_of(rows: Iterable[Row], deployment: str, cell: str) -> Summary:
    """Return what one cell earned over all seeds."""
    chosen = [r.earned for r in rows if (r.deployment, r.cell) == (deployment, cell)]
    return summary_of(chosen)


def gain_of(rows: Sequence[Row], deployment: str, cell: str, base: str) -> Summary:
    """Return what a cell earned beyond another one, seed by seed.

    Seeds differ by far more than cells, so the error of the difference on the same
    calls is what tells one cell from another.
    """
    earned = {
        (row.cell, row.seed): row.earned for row in rows if row.deployment == deployment
    }
    seeds = [seed for name, seed in earned if name == cell]
    return summary_of([earned[cell, seed] - earned[base, seed] for seed in seeds])


def write_csv(rows: Iterable[Row], path: Path) -> None:
    """Write all rows under a line of names; figures with four places."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file)
        writer.writerow([field.name for field in fields(Row)])
        for row in rows:
            cells = asdict(row).values()
            writer.writerow(f"{c:.4f}" if isinstance(c, float) else c for c in cells)

"""Plots of policies and of experiments, written without a time stamp."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

from .series import CLASSES, Row, earned_of, summary_of  # noqa: E402

SIZE = (5.0, 4.0)
"""Inches of one pane."""
NO_STAMP = {"Software": None}


def unique(names: Sequence[str]) -> list[str]:
    """Return names once, in their order."""
    return list(dict.fromkeys(names))


def plot_policies(rows: Sequence[Row], path: Path) -> None:
    """Write what each policy earned: a bar for the mean, a dot for each seed."""
    deployments = unique([row.deployment for row in rows])
    cells = unique([row.cell for row in rows])
    width, height = SIZE
    figure, axes = plt.subplots(
        1, len(deployments), figsize=(width * len(deployments), height), squeeze=False
    )
    for axis, name in zip(axes[0], deployments, strict=True):
        for place, cell in enumerate(cells):
            mean = earned_of(rows, name, cell)
            axis.bar(place, mean.mean, yerr=mean.error, alpha=0.6)
            dots = [r.earned for r in rows if (r.deployment, r.cell) == (name, cell)]
            axis.plot([place] * len(dots), dots, "k.", markersize=3)
        axis.set_xticks(range(len(cells)), cells, rotation=30, ha="right")
        axis.set_ylim(0.0, 1.0)
        axis.set_title(f"{name}: share of the worth owed")
    save(figure, path)


def plot_experiment(knob: str, rows: Sequence[Row], now: float, path: Path) -> None:
    """Write worth and each class's share on time against the values of a knob."""
    deployments = unique([row.deployment for row in rows])
    cells = unique([row.cell for row in rows])
    width, height = SIZE
    figure, axes = plt.subplots(
        1, len(deployments), figsize=(width * len(deployments), height), squeeze=False
    )
    values = [float(cell) for cell in cells]
    for axis, name in zip(axes[0], deployments, strict=True):
        earned = [earned_of(rows, name, cell) for cell in cells]
        means = [each.mean for each in earned]
        spread = [each.error for each in earned]
        axis.errorbar(values, means, yerr=spread, marker="o", label="worth")
        for kind in CLASSES:
            shares = [on_time(rows, name, cell, kind) for cell in cells]
            axis.plot(values, shares, marker=".", alpha=0.6, label=f"{kind} on time")
        axis.axvline(now, color="grey", linestyle=":", label="now")
        axis.set_xlabel(knob)
        axis.set_title(name)
        axis.legend(fontsize="small")
    save(figure, path)


def on_time(rows: Sequence[Row], deployment: str, cell: str, kind: str) -> float:
    """Return the mean over seeds of a class's share on time."""
    chosen = [r for r in rows if (r.deployment, r.cell) == (deployment, cell)]
    return summary_of([getattr(row, kind) for row in chosen]).mean


def save(figure: "plt.Figure", path: Path) -> None:
    """Write a figure; equal figures give equal bytes."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(path, metadata=NO_STAMP)
    plt.close(figure)

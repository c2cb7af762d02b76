"""Plots of the policy benchmark."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402

from .results import RunResult  # noqa: E402
from .workload import Band  # noqa: E402


def write_plot(results: Mapping[Any, RunResult], path: Path) -> None:
    """Write short slowdown, long first token and goodput against load.

    Parameters
    ----------
    results : mapping of `benchmarks.policy.Run` to RunResult
    """
    names = sorted({run.deployment.name for run in results})
    figure, axes = plt.subplots(len(names), 3, figsize=(13, 4 * len(names)))
    for row, name in enumerate(names):
        runs = [run for run in results if run.deployment.name == name]
        for policy in dict.fromkeys(run.policy.name for run in runs):
            chosen = sorted(
                (run for run in runs if run.policy.name == policy),
                key=lambda run: run.load,
            )
            loads = [run.load for run in chosen]
            cells = [results[run] for run in chosen]
            slow = [cell.bands[Band.SHORT].slowdown.p99 for cell in cells]
            long = [cell.bands[Band.LONG].first_token_s.p95 for cell in cells]
            axes[row][0].semilogy(loads, slow, marker="o", label=policy)
            axes[row][1].plot(loads, long, marker="o", label=policy)
            good = [cell.goodput for cell in cells]
            axes[row][2].plot(loads, good, marker="o", label=policy)
        titles = ("short p99 slowdown", "long p95 first token, s", "goodput, calls/s")
        for axis, title in zip(axes[row], titles, strict=True):
            axis.set_title(f"{name}: {title}")
            axis.set_xlabel("load")
            axis.legend()
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)

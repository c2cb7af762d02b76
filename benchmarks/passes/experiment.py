"""Vary one knob over a range, on the same calls.

``python -m benchmarks.passes experiment --knob NAME --from A --to B --steps N`` plays
each value on all seeds and writes ``build/experiment-NAME.csv`` and ``.png``.
"""

import argparse
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from .charts import on_time, plot_experiment
from .deployments import ALL_DEPLOYMENTS, DEPLOYMENTS
from .faults import TROUBLES
from .knobs import KNOBS, knob_of, turned, values
from .play import DURATION_S, Run, play
from .policies import POLICIES
from .series import CLASSES, Row, earned_of, gain_of, row_of, write_csv

SEED = 20_260_101
SEEDS = 6
STEPS = 5
PROCESSES = 2
BUILD = Path("build")


@dataclass(frozen=True, slots=True)
class Trial:
    """One run with a knob at one value."""

    knob: str
    value: float
    run: Run


def try_out(trial: Trial) -> Row:
    """Play one trial in this process."""
    with turned(trial.knob, trial.value, trial.run) as run:
        played = play(run)
    name = trial.run.deployment.name
    return row_of(name, f"{trial.value:g}", trial.run.seed, played)


def trials_of(options: argparse.Namespace) -> list[Trial]:
    """Return all trials: each value on the same seeds and deployments."""
    faults = TROUBLES if options.faults else ()
    return [
        Trial(
            options.knob,
            value,
            Run(deployment, options.policy, seed, options.duration, faults=faults),
        )
        for deployment in ALL_DEPLOYMENTS
        if deployment.name in options.deployment
        for value in values(options.start, options.end, options.steps)
        for seed in range(options.seed, options.seed + options.seeds)
    ]


def table(rows: Sequence[Row], now: float) -> str:
    """Return each value's worth, and what it gains on the one nearest to the present.

    Both with their standard errors; the gain's is of the differences by seed.
    """
    base = min(dict.fromkeys(r.cell for r in rows), key=lambda c: abs(float(c) - now))
    lines = [
        f"{'deployment':12}{'value':>10}{'earned':>9}{'error':>7}{'gain':>8}{'error':>7}"
        + "".join(f"{kind:>8}" for kind in CLASSES)
    ]
    for name, cell in dict.fromkeys((row.deployment, row.cell) for row in rows):
        earned = earned_of(rows, name, cell)
        gain = gain_of(rows, name, cell, base)
        lines.append(
            f"{name:12}{cell:>10}{earned.mean:9.3f}{earned.error:7.3f}"
            f"{gain.mean:+8.3f}{gain.error:7.3f}"
            + "".join(f"{on_time(rows, name, cell, kind):8.1%}" for kind in CLASSES)
        )
    return "\n".join(lines)


def main(argv: Sequence[str]) -> None:
    """Run an experiment and write its table and its plot."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.passes experiment")
    parser.add_argument("--knob", choices=sorted(KNOBS), required=True)
    parser.add_argument("--from", dest="start", type=float, required=True)
    parser.add_argument("--to", dest="end", type=float, required=True)
    parser.add_argument("--steps", type=int, default=STEPS, help="values, ends counted")
    parser.add_argument("--seeds", type=int, default=SEEDS, help="runs of each value")
    parser.add_argument("--seed", type=int, default=SEED, help="the first seed")
    parser.add_argument("--duration", type=float, default=DURATION_S, help="seconds")
    parser.add_argument("--policy", choices=sorted(POLICIES), default="mimosafork")
    parser.add_argument("--faults", action="store_true", help="with troubled engines")
    parser.add_argument(
        "--deployment",
        action="append",
        choices=[each.name for each in ALL_DEPLOYMENTS],
        help="the small ones where none is named",
    )
    parser.add_argument("--out", type=Path, default=BUILD, help="folder for the files")
    options = parser.parse_args(argv)
    options.deployment = options.deployment or [each.name for each in DEPLOYMENTS]
    with ProcessPoolExecutor(PROCESSES) as pool:
        rows = list(pool.map(try_out, trials_of(options)))
    path = options.out / f"experiment-{options.knob}"
    write_csv(rows, path.with_suffix(".csv"))
    now = knob_of(options.knob).now()
    plot_experiment(options.knob, rows, now, path.with_suffix(".png"))
    print(table(rows, now))
    print(f"{options.knob} is {now:g} now; see {path}.csv and .png")

"""What full engines turn away while words of running work are late or missing.

``python -m benchmarks.passes refusals`` plays the deployment of tens of instances with
words in time, late, and cut between zones, each with and without what is learnt from
rejections, on the same calls. It prints the share of arrivals that were turned away,
how many of these followed another at the same engine, and the rejections of one call.
"""

import argparse
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

from .ablation import MECHANISMS, WHOLE, without
from .deployments import ALL_DEPLOYMENTS, GROWN
from .play import Played, Run, play
from .series import Row, Summary, earned_of, gain_of, row_of, write_csv
from .words import Rejection, Words

SEED = 20_260_101
SEEDS = 4
DURATION_S = 24.0
"""A flood of long prompts, then one of short ones."""
PROCESSES = 2
BUILD = Path("build")
SOON_S = 0.3
"""A rejection that follows another at the same engine so soon need not have been."""
ENGINE_ROOMS = (3, 12)
"""Requests that may wait at an engine: half of its slots, and twice as many."""


@dataclass(frozen=True, slots=True)
class Case:
    """What words go through, and how many requests may wait at an engine."""

    name: str
    words: Words
    room: int


CASES = tuple(
    Case(f"{name}, {room} wait", words, room)
    for room in ENGINE_ROOMS
    for name, words in (
        ("in time", Words()),
        ("30 ms late", Words(late_s=0.03)),
        ("100 ms late", Words(late_s=0.1)),
        ("300 ms late", Words(late_s=0.3)),
        ("zones cut for 8 s", Words(cut_s=(8.0, 16.0))),
    )
)


@dataclass(frozen=True, slots=True)
class Trial:
    """One run of a case without a mechanism, or without nothing."""

    case: Case
    left_out: str
    run: Run


@dataclass(frozen=True, slots=True)
class Count:
    """What engines turned away in one run.

    Attributes
    ----------
    followed, followed_own : int
        Rejections soon after another at the same engine, and of these such as the
        same instance got.
    longest : int
        Most rejections of one call.
    """

    arrivals: int
    rejected: int
    followed: int
    followed_own: int
    longest: int


def count_of(played: Played) -> Count:
    """Count what engines turned away."""
    rejections = played.rejections
    calls = Counter(each.call for each in rejections)
    return Count(
        played.arrivals,
        len(rejections),
        followed(rejections, own=False),
        followed(rejections, own=True),
        max(calls.values(), default=0),
    )


def followed(rejections: Sequence[Rejection], own: bool) -> int:
    """Return how many came soon after another at the same engine.

    Parameters
    ----------
    own : bool
        Only where the same instance had got the other one.
    """
    last: dict[tuple[str, str], float] = {}
    found = 0
    for each in rejections:
        key = (each.engine, each.entry if own else "")
        found += key in last and each.at_s - last[key] <= SOON_S
        last[key] = each.at_s
    return found


def try_out(trial: Trial) -> tuple[Row, Count]:
    """Play one trial in this process."""
    with without(trial.left_out):
        played = play(trial.run)
    row = row_of(trial.case.name, trial.left_out, trial.run.seed, played)
    return row, count_of(played)


def trials_of(options: argparse.Namespace) -> Iterator[Trial]:
    """Return all trials: each on the same seeds."""
    deployment = next(d for d in ALL_DEPLOYMENTS if d.name == options.deployment)
    for case in CASES:
        for left_out in (WHOLE, *options.without):
            for seed in range(options.seed, options.seed + options.seeds):
                run = Run(
                    deployment,
                    "mimosafork",
                    seed,
                    options.duration,
                    load=options.load,
                    words=case.words,
                    queue_room=case.room,
                )
                yield Trial(case, left_out, run)


HEADS = ("arrivals", "rejected", "soon", "own", "longest")


def table(found: Sequence[tuple[Row, Count]]) -> str:
    """Return means over the seeds, and what is earned with its standard error."""
    rows = [row for row, _ in found]
    heads = "".join(f"{head:>10}" for head in HEADS)
    lines = [f"{'words':28}{'without':20}{heads}{'earned':>9}{'change':>9}{'error':>7}"]
    for name, cell in dict.fromkeys((row.deployment, row.cell) for row in rows):
        counts = [c for row, c in found if (row.deployment, row.cell) == (name, cell)]
        earned = earned_of(rows, name, cell)
        change = Summary(0.0, 0.0)
        if cell != WHOLE:
            change = gain_of(rows, name, cell, WHOLE)
        lines.append(
            f"{name:28}{cell:20}{means_of(counts)}"
            f"{earned.mean:9.3f}{change.mean:+9.3f}{change.error:7.3f}"
        )
    return "\n".join(lines)


def means_of(counts: Sequence[Count]) -> str:
    """Return the cells of some runs' means."""
    rejected = sum(c.rejected for c in counts) / max(1, sum(c.arrivals for c in counts))
    return (
        f"{mean(c.arrivals for c in counts):10.0f}{rejected:10.1%}"
        f"{mean(c.followed for c in counts):10.1f}"
        f"{mean(c.followed_own for c in counts):10.1f}"
        f"{max(c.longest for c in counts):10}"
    )


def main(argv: Sequence[str]) -> None:
    """Count what engines turn away and write the figures."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.passes refusals")
    parser.add_argument("--seeds", type=int, default=SEEDS, help="runs of each cell")
    parser.add_argument("--seed", type=int, default=SEED, help="the first seed")
    parser.add_argument("--duration", type=float, default=DURATION_S, help="seconds")
    parser.add_argument("--load", type=float, default=1.0, help="factor of the rates")
    parser.add_argument(
        "--deployment", default=GROWN.name, choices=[d.name for d in ALL_DEPLOYMENTS]
    )
    parser.add_argument(
        "--without", action="append", choices=sorted(MECHANISMS), default=[]
    )
    parser.add_argument("--out", type=Path, default=BUILD, help="folder for the files")
    options = parser.parse_args(argv)
    with ProcessPoolExecutor(PROCESSES) as pool:
        found = list(pool.map(try_out, trials_of(options)))
    write_csv([row for row, _ in found], options.out / "refusals.csv")
    print(table(found))

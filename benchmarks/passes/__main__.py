"""Compare placement policies: ``python -m benchmarks.passes``.

Same calls, same seeds, each policy in turn, in two processes. Prints tables, and writes
the figures of all runs and a plot into ``build/``. The commands ``held``,
``experiment`` and ``ablation`` hold the model against played days, vary one knob, and
leave out one mechanism at a time; ``refusals`` counts what full engines turn away.
"""

import argparse
import sys
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from . import ablation, experiment, held, refusals
from .charts import plot_policies
from .deployments import ALL_DEPLOYMENTS, DEPLOYMENTS
from .faults import TROUBLES
from .play import DURATION_S, Run, play
from .policies import POLICIES
from .report import table
from .series import row_of, write_csv

SEED = 20_260_101
SEEDS = 3
BUILD = Path("build")
PROCESSES = 2
COMMANDS: Mapping[str, Callable[[Sequence[str]], None]] = {
    "ablation": ablation.main,
    "experiment": experiment.main,
    "held": held.main,
    "refusals": refusals.main,
}


def main(argv: Sequence[str]) -> None:
    """Run a command, or the comparison where none is named."""
    if argv and argv[0] in COMMANDS:
        COMMANDS[argv[0]](argv[1:])
    else:
        compare(argv)


def compare(argv: Sequence[str]) -> None:
    """Play all runs and print a table for each deployment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS, help="runs of each cell")
    parser.add_argument("--seed", type=int, default=SEED, help="the first seed")
    parser.add_argument("--duration", type=float, default=DURATION_S, help="seconds")
    parser.add_argument("--policy", action="append", choices=sorted(POLICIES))
    parser.add_argument(
        "--deployment",
        action="append",
        choices=[each.name for each in ALL_DEPLOYMENTS],
        help="the small ones where none is named",
    )
    parser.add_argument("--faults", action="store_true", help="with troubled engines")
    parser.add_argument("--out", type=Path, default=BUILD, help="folder for the files")
    options = parser.parse_args(argv)
    chosen = [
        each
        for each in (ALL_DEPLOYMENTS if options.deployment else DEPLOYMENTS)
        if not options.deployment or each.name in options.deployment
    ]
    faults = TROUBLES if options.faults else ()
    seeds = range(options.seed, options.seed + options.seeds)
    runs = [
        Run(deployment, policy, seed, options.duration, faults=faults)
        for deployment in chosen
        for policy in (options.policy or POLICIES)
        for seed in seeds
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        results = list(zip(runs, pool.map(play, runs), strict=True))
    for deployment in chosen:
        print(f"\n{deployment.name}: {options.duration:.0f} s, {len(seeds)} seeds")
        print(
            table(
                {
                    policy: [
                        played
                        for run, played in results
                        if run.deployment is deployment and run.policy == policy
                    ]
                    for policy in (options.policy or POLICIES)
                }
            )
        )

    rows = [row_of(r.deployment.name, r.policy, r.seed, p) for r, p in results]
    write_csv(rows, options.out / "passes.csv")
    plot_policies(rows, options.out / "passes.png")
    print(f"\nsee {options.out}/passes.csv and .png")


if __name__ == "__main__":
    main(sys.argv[1:])

"""The policy benchmark: ``python -m benchmarks.policy``.

Same calls, same seeds, each policy in turn. Prints tables and the cost of a decision,
and writes a plot and all figures into ``build/``.
"""

import argparse
import json
import time
from collections.abc import Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from mimosafork.policies import LOAD_PLUGINS

from .decisions import decision_table
from .deployments import DEPLOYMENTS, Deployment
from .plots import write_plot
from .results import RunResult, evaluate, was_refused
from .scores import score_lines
from .simulation import PolicySet, Simulation
from .tables import flood_line, honesty_line, table
from .workload import LONGEST, LONGEST_ON_ONE, Call, generate

LOADS = (0.5, 0.9, 1.5)
USUAL_LOAD = 0.9
OVERLOAD = 1.5
DURATION_S = 300.0
SEED = 20_260_101
BUILD = Path("build")
FORCED_EVERY = 20
"""One refused call in so many is let in after all, in a run of its own: few enough
that they hardly change the load."""

BASE = ("known-target", "bounded-retry", "first-come")
OWN = PolicySet("mimosafork", LOAD_PLUGINS)
BASELINES = (
    PolicySet("round-robin", (*BASE, "round-robin")),
    PolicySet("least-requests", (*BASE, "least-requests")),
    PolicySet("first-come", (*BASE, "one-queue")),
)


@dataclass(frozen=True, slots=True)
class Run:
    """One cell of the tables.

    Attributes
    ----------
    longest : int
        Longest prompt; baselines can't run those beyond one engine.
    flood : float
        Load that the largest account sends on top.
    """

    deployment: Deployment
    policy: PolicySet
    load: float
    duration_s: float = DURATION_S
    seed: int = SEED
    longest: int = LONGEST
    flood: float = 0.0


@dataclass(frozen=True, slots=True)
class Honesty:
    """What would have become of refused calls.

    Attributes
    ----------
    refused : int
    tried : int
        Calls that were refused and are let in all the same.
    late : int
        Those of them that were not answered in time: they were rightly refused.
    """

    refused: int
    tried: int
    late: int


def calls_of(run: Run) -> list[Call]:
    """Return the run's calls, the same for every policy."""
    return generate(
        run.deployment, run.load, run.duration_s, run.seed, run.flood, run.longest
    )


def simulate(run: Run, calls: list[Call]) -> Simulation:
    """Run the calls to their end."""
    simulation = Simulation(run.deployment, run.policy, calls, run.seed)
    simulation.run()
    return simulation


def measure(run: Run) -> RunResult:
    """Run one cell."""
    return evaluate(simulate(run, calls_of(run)), run.duration_s)


def measure_honesty(run: Run) -> Honesty:
    """Refuse, then run again with some of the refused let in."""
    first = calls_of(run)
    simulate(run, first)
    refused = [call.number for call in first if was_refused(call)]
    second = calls_of(run)
    forced = [second[number] for number in refused[::FORCED_EVERY]]
    for call in forced:
        call.forced = True
    simulate(run, second)
    late = sum(not call.done_in_time for call in forced)
    return Honesty(len(refused), len(forced), late)


def planned(loads: Sequence[float], duration_s: float, seed: int) -> list[Run]:
    """Return the cells: what all can run, the whole mix, and a flood."""
    runs = []
    for each in DEPLOYMENTS:
        for load in loads:
            for policy in (OWN, *BASELINES):
                runs.append(Run(each, policy, load, duration_s, seed, LONGEST_ON_ONE))
            runs.append(Run(each, OWN, load, duration_s, seed))
        for policy in BASELINES:
            runs.append(Run(each, policy, USUAL_LOAD, duration_s, seed))
        flood = OVERLOAD - USUAL_LOAD
        runs.append(Run(each, OWN, USUAL_LOAD, duration_s, seed, LONGEST_ON_ONE, flood))
    return list(dict.fromkeys(runs))


def main(argv: Sequence[str] | None = None) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.policy")
    parser.add_argument("--jobs", type=int, default=4, help="runs at a time")
    parser.add_argument("--loads", type=float, nargs="+", default=LOADS)
    parser.add_argument("--duration", type=float, default=DURATION_S)
    parser.add_argument("--seed", type=int, default=SEED)
    options = parser.parse_args(argv)
    started = time.perf_counter()
    runs = planned(options.loads, options.duration, options.seed)
    overloads = [
        Run(each, OWN, OVERLOAD, options.duration, options.seed, LONGEST_ON_ONE)
        for each in DEPLOYMENTS
    ]
    # The longest runs first, so that none of them is left for the end.
    runs.sort(key=lambda run: -(run.load + run.flood))
    with ProcessPoolExecutor(options.jobs) as pool:
        honesty = pool.map(measure_honesty, overloads)
        results = dict(zip(runs, pool.map(measure, runs), strict=True))
        checked = dict(zip(overloads, honesty, strict=True))
    show(results, checked)
    BUILD.mkdir(exist_ok=True)
    write_json(results)
    write_plot(
        {run: each for run, each in results.items() if _is_common(run)},
        BUILD / "policy.png",
    )
    print(f"\n{decision_table()}")
    print(f"\ntook {time.perf_counter() - started:.0f} s; see {BUILD}/policy.*")
    return 0


def _is_common(run: Run) -> bool:
    return run.longest == LONGEST_ON_ONE and run.flood == 0


def show(results: Mapping[Run, RunResult], honesty: Mapping[Run, Honesty]) -> None:
    """Print the tables and the comparisons."""
    cells: dict[tuple[str, float, int], dict[str, RunResult]] = {}
    for run, result in results.items():
        if run.flood == 0:
            key = (run.deployment.name, run.load, run.longest)
            cells.setdefault(key, {})[run.policy.name] = result
    for name, load, longest in sorted(cells):
        mix = "whole mix" if longest == LONGEST else "prompts that one engine holds"
        print(f"\n{name}, load {load}, {mix}")
        chosen = cells[name, load, longest]
        print(table(chosen))
        if longest == LONGEST_ON_ONE:
            deployment = next(each for each in DEPLOYMENTS if each.name == name)
            for line in score_lines(deployment, OWN.name, chosen):
                print(line)
    print()
    for run, each in honesty.items():
        print(honesty_line(run.deployment.name, each.refused, each.tried, each.late))
    for run, result in results.items():
        usual = cells.get((run.deployment.name, USUAL_LOAD, LONGEST_ON_ONE), {})
        if run.flood > 0 and OWN.name in usual:
            print(flood_line(run.deployment.name, usual[OWN.name], result))


def write_json(results: Mapping[Run, RunResult]) -> None:
    """Write all figures for other programs."""
    rows = []
    for run, result in results.items():
        row = asdict(result)
        row["bands"] = {band.value: each for band, each in row["bands"].items()}
        row |= {"deployment": run.deployment.name, "policy": run.policy.name}
        row |= {"load": run.load, "longest": run.longest, "flood": run.flood}
        rows.append(row)
    (BUILD / "policy.json").write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    raise SystemExit(main())

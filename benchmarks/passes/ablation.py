"""Leave out one mechanism of the placement at a time, on the same calls.

``python -m benchmarks.passes ablation [--deployment NAME] [--faults]`` plays each on
all seeds, prints what is lost without it, and writes ``build/ablation.csv``.
"""

import argparse
from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from types import ModuleType

from mimosafork.ids import EndpointId
from mimosafork.placement import forecast, plan, policy, race, spread
from mimosafork.placement.choice import PlacementRequest
from mimosafork.placement.forecast import EngineState
from mimosafork.placement.plan import Plan
from mimosafork.routing.engine import EngineFigures

from . import entry
from .deployments import ALL_DEPLOYMENTS, DEPLOYMENTS
from .entry import Attempt
from .faults import TROUBLES
from .play import DURATION_S, Run, play
from .series import Row, earned_of, gain_of, row_of, write_csv

SEED = 20_260_101
SEEDS = 6
PROCESSES = 2
BUILD = Path("build")
WHOLE = "nothing"
"""Left out in the runs that all others are compared with."""
NEARLY_ZERO = 1e-6
"""Of values that the placement divides by."""


def goes_at_once(ask: PlacementRequest, plan: Plan) -> bool:
    """Let no prompt wait its turn."""
    return False


def never_too_late(
    ask: PlacementRequest,
    states: list[EngineState],
    first_token_ms: float,
    host: EngineState,
    figures: EngineFigures,
) -> timedelta | None:
    """Refuse no request for want of time."""
    return None


def learns_nothing(attempt: Attempt, host: EndpointId) -> None:
    """Leave the belief about a full engine as it is."""


@dataclass(frozen=True, slots=True)
class Mechanism:
    """What is put in the place of a constant or function, to leave it out."""

    module: ModuleType
    attribute: str
    without: object


MECHANISMS: dict[str, Mechanism] = {
    "races": Mechanism(race, "REPORT_DELAY_S", 0.0),
    "turns": Mechanism(policy, "should_wait_for_older_prefill", goes_at_once),
    "order": Mechanism(plan, "ORDER_COST", 0.0),
    "opening": Mechanism(plan, "PAUSE_LOSS_COST_PER_S", 0.0),
    "noise": Mechanism(plan, "NOISE_COST", 0.0),
    "delay": Mechanism(plan, "DELAY_COST_PER_MS", 0.0),
    "helper-cost": Mechanism(plan, "HELPER_COST", 0.0),
    "pause-slack": Mechanism(forecast, "PAUSE_SLACK_MS", NEARLY_ZERO),
    "first-event-slack": Mechanism(forecast, "FIRST_EVENT_SLACK", NEARLY_ZERO),
    "too-late": Mechanism(policy, "retry_after_if_late", never_too_late),
    "spread": Mechanism(spread, "SPREAD_PER_UNREPORTED", 0.0),
    "rejections": Mechanism(spread, "UNREPORTED_PER_REJECTION", 0.0),
    "fullness": Mechanism(entry, "learn_full", learns_nothing),
}


@dataclass(frozen=True, slots=True)
class Trial:
    """One run without a mechanism, or without nothing."""

    left_out: str
    run: Run


@contextmanager
def without(name: str) -> Iterator[None]:
    """Leave a mechanism out, and set it back afterwards."""
    mechanism = MECHANISMS.get(name)
    if mechanism is None:
        yield
        return
    before = getattr(mechanism.module, mechanism.attribute)
    setattr(mechanism.module, mechanism.attribute, mechanism.without)
    try:
        yield
    finally:
        setattr(mechanism.module, mechanism.attribute, before)


def try_out(trial: Trial) -> Row:
    """Play one trial in this process."""
    with without(trial.left_out):
        played = play(trial.run)
    name = trial.run.deployment.name
    return row_of(name, trial.left_out, trial.run.seed, played)


def trials_of(options: argparse.Namespace) -> list[Trial]:
    """Return all trials: each on the same seeds and deployments."""
    faults = TROUBLES if options.faults else ()
    seeds = range(options.seed, options.seed + options.seeds)
    return [
        Trial(name, Run(each, "mimosafork", seed, options.duration, faults=faults))
        for each in ALL_DEPLOYMENTS
        if each.name in options.deployment
        for name in (WHOLE, *MECHANISMS)
        for seed in seeds
    ]


def table(rows: Sequence[Row]) -> str:
    """Return what is earned, and what is lost, each with its standard error."""
    heads = f"{'earned':>9}{'error':>7}{'change':>9}{'error':>7}"
    lines = [f"{'deployment':12}{'without':20}{heads}"]
    for name, cell in dict.fromkeys((row.deployment, row.cell) for row in rows):
        earned = earned_of(rows, name, cell)
        change = gain_of(rows, name, cell, WHOLE)
        lines.append(
            f"{name:12}{cell:20}{earned.mean:9.3f}{earned.error:7.3f}"
            f"{change.mean:+9.3f}{change.error:7.3f}"
        )
    return "\n".join(lines)


def main(argv: Sequence[str]) -> None:
    """Run the ablation and write its table."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.passes ablation")
    parser.add_argument("--seeds", type=int, default=SEEDS, help="runs of each cell")
    parser.add_argument("--seed", type=int, default=SEED, help="the first seed")
    parser.add_argument("--duration", type=float, default=DURATION_S, help="seconds")
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
    write_csv(rows, options.out / "ablation.csv")
    print(table(rows))

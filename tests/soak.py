"""Long runs of what CI runs shortly: ``python -m tests.soak [--seconds N]``."""

import argparse
import sys
from collections.abc import Sequence

from hypothesis.stateful import RuleBasedStateMachine

from .functional.test_history import CALLERS, run_storm
from .functional.test_regional_storm import run_regional_storm
from .support.machines import explore
from .support.refusal_hunt import hunt

CROWD = 12
"""Instances of each tenth hunt, in place of the few that its seed draws."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run storms one after the other, then the state machines.

    Returns
    -------
    int
        0 if the model allows all that was seen.
    """
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seconds", type=float, default=120.0, help="of each storm")
    parser.add_argument("--storms", type=int, default=3)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=1500, help="of each machine")
    parser.add_argument("--hunts", type=int, default=3, help="for refused calls")
    parser.add_argument("--hunt-seconds", type=float, default=40.0)
    parser.add_argument("--hunt-seed", type=int, default=1)
    options = parser.parse_args(argv)
    failed = False
    for seed in range(options.seed, options.seed + options.storms):
        failed |= not storm(options.seconds, options.callers, seed)
        failed |= not restricted_storm(options.seconds, options.callers, seed)
    for seed in range(options.hunt_seed, options.hunt_seed + options.hunts):
        failed |= not refusal_hunt(options.hunt_seconds, seed)
    failed |= not machines(options.examples)
    print("failed" if failed else "all allowed")
    return 1 if failed else 0


def storm(seconds: float, callers: int, seed: int) -> bool:
    """Run one storm and print what it saw; return whether the model allows it."""
    try:
        seen = run_storm(seconds, callers, seed)
    except AssertionError as error:
        print(f"seed {seed}: NOT ALLOWED\n{error}")
        return False
    print(f"seed {seed}: {seen.history.endings()}, troubles {dict(seen.fault_counts)}")
    sys.stdout.flush()
    return True


def restricted_storm(seconds: float, callers: int, seed: int) -> bool:
    """Run one storm of restricted calls; return whether none left its regions."""
    try:
        seen = run_regional_storm(seconds, callers, seed)
    except AssertionError as error:
        print(f"seed {seed}, regions: NOT ALLOWED\n{error}")
        return False
    served = {kind: n for (kind, status), n in seen.answers.items() if status == 200}
    print(f"seed {seed}, regions: served {served}, troubles {dict(seen.fault_counts)}")
    sys.stdout.flush()
    return True


def refusal_hunt(seconds: float, seed: int) -> bool:
    """Run one hunt; return whether no refused call ran, and none ran twice."""
    try:
        seen = hunt(seed, seconds, CROWD if seed % 10 == 0 else None)
    except AssertionError as error:
        print(f"seed {seed}, refusals: NOT ALLOWED\n{error}")
        return False
    print(f"seed {seed}, refusals: {seen.summary()}")
    sys.stdout.flush()
    return True


def machines(examples: int) -> bool:
    """Run the state machines longer; return whether they found nothing."""
    if not examples:
        return True
    from .unit.claims import test_claim_machine
    from .unit.directory import test_directory_machine
    from .unit.gateway import test_gateway_machine, test_promise_machine

    found = False
    modules = (
        test_claim_machine,
        test_gateway_machine,
        test_directory_machine,
        test_promise_machine,
    )
    for module in modules:
        for machine in module.MACHINES:
            found |= not explored(machine, examples, module.STEPS)
    return not found


def explored(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> bool:
    """Run a state machine and print what it found; return whether it was nothing."""
    try:
        explore(machine, examples, steps)
    except (AssertionError, ExceptionGroup) as error:
        notes = "\n".join(getattr(error, "__notes__", ()))
        print(f"{machine.__name__}: {error!r}\n{notes}")
        return False
    print(f"{machine.__name__}: nothing found")
    sys.stdout.flush()
    return True


if __name__ == "__main__":
    sys.exit(main())

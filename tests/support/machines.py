"""Running state machines: the same each time, without shrinking unless asked."""

import logging
import os
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

EXAMPLES = "MIMOSAFORK_EXAMPLES"
"""Variable that says how many sequences are tried."""

STEPS = "MIMOSAFORK_STEPS"
"""Variable that says how long they are."""

SHRINK = "MIMOSAFORK_SHRINK"
"""Variable that has a failing sequence made shorter, which may take minutes."""


def explore(machine: type[RuleBasedStateMachine], examples: int, steps: int) -> None:
    """Run a machine with a fixed seed, so that CI says the same each time.

    Parameters
    ----------
    examples, steps : int
        Unless the variables say otherwise.
    """
    phases = (
        [Phase.generate, Phase.shrink] if SHRINK in os.environ else [Phase.generate]
    )
    tried: Any = settings(
        max_examples=int(os.environ.get(EXAMPLES, examples)),
        stateful_step_count=int(os.environ.get(STEPS, steps)),
        deadline=None,
        derandomize=True,
        database=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    logging.disable(logging.CRITICAL)
    try:
        run_state_machine_as_test(machine, settings=tried)
    finally:
        logging.disable(logging.NOTSET)

"""Run the state machines of the tests for longer: ``python -m benchmarks.soak``.

The seeds are fixed, so that a failure comes again; more examples go further than
those of CI. ``MIMOSAFORK_EXAMPLES`` sets how many, ``MIMOSAFORK_SHRINK=1`` has a
failure cut down to its shortest form.
"""

import logging
import os
import sys
import time
from importlib import import_module

from tests.support.functions import own_tests

EXAMPLES = "MIMOSAFORK_EXAMPLES"
MANY = "2000"
MACHINES = (
    "tests.unit.claims.test_claim_machine",
    "tests.unit.configuration.test_interleavings",
    "tests.unit.recovery.test_recovery_machine",
)


def main() -> int:
    """Run all machines; return how many tests failed."""
    os.environ.setdefault(EXAMPLES, MANY)
    logging.disable(logging.CRITICAL)
    failed = 0
    for name in MACHINES:
        for test in own_tests(import_module(name)):
            began_s = time.monotonic()
            try:
                test()
            except Exception as error:  # whatever a machine found ends that one only
                failed += 1
                print(f"failed  {name}.{test.__name__}: {error!r}")
            else:
                took_s = time.monotonic() - began_s
                print(f"passed  {name}.{test.__name__} {took_s:.0f}s")
            sys.stdout.flush()
    print(
        f"{failed} failed, {os.environ[EXAMPLES]} examples each where that can be set"
    )
    return failed


if __name__ == "__main__":
    sys.exit(main())

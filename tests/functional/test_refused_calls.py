"""Seeded runs of processes: refused calls never run, and others run once."""

from tests.support.functions import function_tests
from tests.support.refusal_hunt import RefusalHunt, hunt

SECONDS = 15.0
REPEATED_REFUSALS = 4
"""Seed by which endpoints refuse calls and repeat their answers, and nothing else."""

ALL_DISTURBANCES = 6
LEAST_SERVED = 50


def served(seen: RefusalHunt) -> int:
    """Return the number of calls that were answered with a success."""
    return sum(call.status == 200 for call in seen.calls)


def test_refused_calls_do_not_run_where_endpoints_repeat_their_answers() -> None:
    """A repeated refusal is taken for a retry's, which runs, is refused or runs twice.

    Found on the version before responses were matched to requests.
    """
    seen = hunt(REPEATED_REFUSALS, SECONDS)
    assert not seen.plan.disturbed, seen.plan
    assert served(seen) >= LEAST_SERVED, seen.summary()


def test_refused_calls_do_not_run_whatever_else_fails() -> None:
    """Callers are promised that a call has not run while one of its attempts runs.

    Instances, endpoints, links and the store fail in any order and at once.
    """
    seen = hunt(ALL_DISTURBANCES, SECONDS)
    assert seen.plan.disturbed, seen.plan
    assert served(seen) >= LEAST_SERVED, seen.summary()
    assert len(seen.fault_counts) >= 4, seen.fault_counts


load_tests = function_tests(__name__)

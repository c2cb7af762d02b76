"""Histories of concurrent calls under failures, checked against the model."""

from random import Random

from tests.support.chaos import ChaosRun
from tests.support.functions import function_tests
from tests.support.history import Ending, violations
from tests.support.processes import running_platform

ENGINES = ("engine-1", "engine-2", "engine-3")
ENTRIES = ("entry-1", "entry-2", "entry-3")
SPEED = ("--token-interval-ms", "15", "--prefill-speed", "200000")
SECONDS = 15.0
CALLERS = 12


def run_storm(seconds: float, callers: int, seed: int) -> ChaosRun:
    """Run callers and failures for some time; return what happened."""
    with running_platform() as cluster:
        for name in ENGINES:
            cluster.add_engine(name, *SPEED)
        cluster.add_service("service-1", "--work-s", "0.1")
        for name in ENTRIES:
            cluster.add_entry(name)
        for name in ENTRIES:
            cluster.wait_until_served(name, endpoints=4)
        storm = ChaosRun(cluster, ENGINES, ENTRIES, Random(seed))
        storm.run(seconds, callers)
        found = violations(storm.history.operations, storm.starts("service-1"))
        assert not found, "\n".join(found)
        return storm


def test_history_of_a_short_storm_is_allowed() -> None:
    """Drafts run twice, or "not run" is a lie, when several things fail at once.

    Instances are killed and frozen, engines crash and freeze, connections break,
    the store is down, slow, cut off or loses answers; callers come back and resend.
    """
    storm = run_storm(SECONDS, CALLERS, seed=20261)
    endings = storm.history.endings()
    assert endings[Ending.COMPLETED.value] > 50, endings
    assert len(storm.fault_counts) >= 4, storm.fault_counts


load_tests = function_tests(__name__)

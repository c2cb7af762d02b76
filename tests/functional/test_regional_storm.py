"""Restricted calls under faults: no body leaves its regions."""

from tests.support.functions import function_tests
from tests.support.regional_storm import RegionalStorm, regional_storm

SECONDS = 12.0
CALLERS = 8
SEED = 4711
LEAST_ANSWERS = 5


def run_regional_storm(seconds: float, callers: int, seed: int) -> RegionalStorm:
    """Run callers and faults for some time; return what happened."""
    with regional_storm(seed) as storm:
        storm.run(seconds, callers)
        found = storm.violations()
        assert not found, "\n".join(found[:50])
        return storm


def test_no_restricted_call_leaves_its_regions_in_a_short_storm() -> None:
    """A retry, a helper or a peer leaves the regions of a call as several things fail.

    Instances are restarted, frozen and cut off from endpoints, endpoints crash, fall
    silent and are replaced, the store is down, and the configuration changes.
    """
    storm = run_regional_storm(SECONDS, CALLERS, SEED)
    for kind in ("free", "south", "account", "stream", "long", "changing"):
        assert storm.answers[kind, 200] >= LEAST_ANSWERS, storm.answers
    assert not storm.answers["neither", 200], storm.answers
    assert len(storm.fault_counts) >= 4, storm.fault_counts


load_tests = function_tests(__name__)

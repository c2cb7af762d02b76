"""Tests of harmless bodies on engines that crash for other reasons."""

from tests.support.functions import function_tests
from tests.unit.recovery.test_recovery_machine import SECOND, RecoveryMachine


def test_body_that_was_alone_at_two_unrelated_crashes_is_not_condemned() -> None:
    """A harmless body must not be quarantined for crashes that it did not cause."""
    machine = RecoveryMachine()
    machine.peers(may_partition=True)
    machine.reads_change(is_stale=True, then=SECOND / 4)
    machine.engine_crashes("e1", 12 * SECOND)
    machine.reads_change(is_stale=False, then=4 * SECOND)
    machine.crashing_requests_arrive(names=["i2", "i2"], then=4 * SECOND)
    machine.gossip_changes(is_silent=True, then=SECOND)
    machine.requests_arrive(names=["i3", "i2", "i3"], then=SECOND)
    machine.engine_is_cut_off("e2", 2, SECOND / 4)
    machine.engine_crashes("e3", 12 * SECOND)
    machine.reads_change(is_stale=True, then=SECOND)
    machine.engine_crashes("e0", 30 * SECOND)
    machine.outcomes_are_correct()


load_tests = function_tests(__name__)

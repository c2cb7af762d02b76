"""Tests of instances that have missed what their peers know of a crashing body."""

from collections.abc import Callable
from datetime import timedelta

from mimosafork.ids import RequestId
from mimosafork.kernel.messages.leases import Duty
from mimosafork.kernel.messages.outcomes import Outcome
from tests.support.functions import function_tests
from tests.support.recovery_world import World
from tests.unit.recovery.test_recovery_machine import SECOND, RecoveryMachine

Step = Callable[[RecoveryMachine], None]


def play(*steps: Step) -> World:
    """Run the steps of one sequence and check all invariants after each."""
    machine = RecoveryMachine()
    machine.peers(may_partition=False)
    for step in steps:
        step(machine)
        for check in machine.invariants:
            check.function(machine)
    machine.teardown()
    return machine.world


def freeze(name: str) -> Step:
    def step(machine: RecoveryMachine) -> None:
        machine.world.nodes[name].is_frozen = True

    return step


def resume(then: timedelta = 12 * SECOND) -> Step:
    return lambda machine: machine.frozen_instances_resume(then=then)


def replace(name: str, then: timedelta) -> Step:
    return lambda machine: machine.instance_is_replaced(name, then)


def crashing_requests(*names: str, then: timedelta = SECOND) -> Step:
    return lambda machine: machine.crashing_requests_arrive(
        names=list(names), then=then
    )


def test_request_received_in_a_freeze_waits_for_evidence_received_in_it() -> None:
    """A resumed instance must not run a body that its peers know to crash engines."""
    play(freeze("i1"), crashing_requests("i1", "i2", then=12 * SECOND), resume())


def test_freeze_ends_while_the_second_crash_is_under_way() -> None:
    """A resumed instance must not run a body beside the second run of a peer."""
    play(
        lambda machine: machine.lease_holder_freezes(Duty.ORDERS, SECOND / 4),
        crashing_requests("i1", "i2"),
        resume(),
    )


def test_crashing_body_after_a_freeze_and_unrelated_failures() -> None:
    """The sequence that the state machine found: three engines crashed, not two."""
    play(
        resume(),
        lambda machine: machine.lease_holder_freezes(Duty.CLEANING, 30 * SECOND),
        crashing_requests("i1", "i1", "i2"),
        lambda machine: machine.engine_is_cut_off("e3", 2, SECOND),
        lambda machine: machine.gossip_changes(is_silent=False, then=SECOND),
        lambda machine: machine.engine_is_cut_off("e3", 2, SECOND),
        lambda machine: machine.engine_is_cut_off("e0", 15, SECOND / 4),
        lambda machine: machine.engine_crashes("e1", 12 * SECOND),
        resume(),
    )


def test_restarted_instance_waits_for_evidence_of_its_peers() -> None:
    """A new instance must not run a crashing body while the store cannot warn it."""
    play(
        lambda machine: machine.store_changes(is_down=True, then=SECOND),
        crashing_requests("i2", then=12 * SECOND),
        replace("i1", then=SECOND / 4),
        crashing_requests("i1", then=12 * SECOND),
    )


def test_restarted_publisher_learns_its_evidence_while_a_witness_is_frozen() -> None:
    """Evidence must outlive its publisher although the first witness is frozen.

    Stale reads of the store do not show the evidence to the new incarnation.
    """
    play(
        lambda machine: machine.reads_change(is_stale=True, then=SECOND),
        freeze("i3"),
        crashing_requests("i2", then=12 * SECOND),
        replace("i2", then=12 * SECOND),
        crashing_requests("i2", then=12 * SECOND),
    )


def test_evidence_read_from_the_store_is_published_to_instances_that_start() -> None:
    """Evidence that its holders have only read must reach an instance in an outage."""
    world = play(
        crashing_requests("i1", then=12 * SECOND),
        replace("i2", then=SECOND / 4),
        replace("i1", then=30 * SECOND),
        replace("i3", then=SECOND),
        lambda machine: machine.store_changes(is_down=True, then=SECOND),
        replace("i3", then=12 * SECOND),
        crashing_requests("i3", then=12 * SECOND),
    )
    assert world.conclusions[RequestId("r2")].outcome is Outcome.NOT_RUN


def test_slow_ticks_are_no_freeze() -> None:
    """A busy instance must not hold requests back."""
    machine = RecoveryMachine()
    machine.pass_time(4 * SECOND)
    machine.requests_arrive(names=["i1", "i2", "i3"], then=SECOND / 4)
    started = set().union(*(each.started for each in machine.world.engines.values()))
    assert started == set(machine.world.requests)


load_tests = function_tests(__name__)

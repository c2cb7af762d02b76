"""Leases, orders, cleaning, quarantine and retries, with failures in any order."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mimosafork.ids import Digest, RequestId
from mimosafork.kernel.messages.fleet import FencingMode
from mimosafork.kernel.messages.leases import Duty
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.policies.recovery import OVERDUE
from tests.support.fake_table import Fault
from tests.support.functions import function_tests
from tests.support.kernels import MODEL
from tests.support.machines import explore
from tests.support.recovery_world import LOAD_INTERVAL, STEP, World
from tests.support.requests import request

EXAMPLES = 40
STEPS = 30
SECOND = timedelta(seconds=1)
PATIENCE = 40 * SECOND
POISON = Digest("poison")

LIST_PERIOD = 5 * SECOND
SPANS = st.sampled_from([SECOND / 4, SECOND, 4 * SECOND, 12 * SECOND, 30 * SECOND])
INSTANCES = st.sampled_from(["i1", "i2", "i3"])
ENGINES = st.sampled_from(["e0", "e1", "e2", "e3"])
FAULTS = st.lists(st.sampled_from(list(Fault)), min_size=1, max_size=3)


class RecoveryMachine(RuleBasedStateMachine):
    """Everything that fails, twice and together; see the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.world.poison.add(POISON)
        self.fencing: dict[Duty, int] = dict.fromkeys(Duty, 0)
        self.sent = 0
        self.may_fall_silent = False
        self.world.run(SECOND)

    @initialize(may_fall_silent=st.booleans())
    def peers(self, may_fall_silent: bool) -> None:
        """Decide whether instances may ever stop hearing each other."""
        self.may_fall_silent = may_fall_silent

    def pass_time(self, span: timedelta) -> None:
        """Let time pass, with the platform's list read now and then."""
        while span > timedelta(0):
            self.world.list_all()
            self.world.run(min(span, LIST_PERIOD))
            span -= LIST_PERIOD

    @rule(then=SPANS)
    def nothing_happens(self, then: timedelta) -> None:
        """Let time pass."""
        self.pass_time(then)

    def send(self, name: str, body: str = "") -> None:
        """Have a caller send a letter of its own, or one with a known body."""
        self.sent += 1
        deadline = self.world.now + PATIENCE
        self.world.submit(name, request(f"r{self.sent}", MODEL, deadline, body))

    @rule(names=st.lists(INSTANCES, min_size=1, max_size=12), then=SPANS)
    def letters_come(self, names: list[str], then: timedelta) -> None:
        """Have callers send innocent letters."""
        for name in names:
            self.send(name)
        self.pass_time(then)

    @rule(names=st.lists(INSTANCES, min_size=1, max_size=3), then=SPANS)
    def poison_comes(self, names: list[str], then: timedelta) -> None:
        """Have the poisoned letter sent, and sent again and again.

        Not faster than the news of a crash travels: nothing can stop that.
        """
        for name in names:
            self.send(name, POISON)
            self.pass_time(max(then, 2 * SECOND))

    @rule(duty=st.sampled_from(list(Duty)), then=SPANS)
    def holder_freezes(self, duty: Duty, then: timedelta) -> None:
        """Stop the process that holds a lease; it does not know."""
        for node in self.world.nodes.values():
            node.is_asleep |= node.holds(duty)
        self.pass_time(then)

    @rule(version=st.sampled_from(["1", "2", "3"]), then=SPANS)
    def holder_freezes_with_orders(self, version: str, then: timedelta) -> None:
        """Stop the holder when it has just begun to roll out a version."""
        self.operator_wants(version, 12 * SECOND)
        self.holder_freezes(Duty.ORDERS, 30 * SECOND)
        self.sleepers_wake(then)

    @rule(then=SPANS)
    def sleepers_wake(self, then: timedelta) -> None:
        """Let frozen processes go on, first of all with an order in hand."""
        for node in self.world.nodes.values():
            if node.is_asleep:
                node.is_asleep = False
                node.orders.idle()
                node.wake()
        self.pass_time(then)

    @rule(name=INSTANCES, then=SPANS)
    def instance_is_replaced(self, name: str, then: timedelta) -> None:
        """Kill an instance; the platform starts it again."""
        self.world.replace(name)
        self.pass_time(then)

    @rule(name=ENGINES, then=SPANS)
    def engine_crashes(self, name: str, then: timedelta) -> None:
        """End an engine's life for reasons of its own."""
        self.world.crash(name)
        self.pass_time(then)

    @rule(name=ENGINES, span=st.sampled_from([2, 15]), then=SPANS)
    def engine_is_cut_off(self, name: str, span: int, then: timedelta) -> None:
        """Cut the network to an engine."""
        self.world.cut(name, span * SECOND)
        self.pass_time(then)

    @rule(version=st.sampled_from(["1", "2", "3"]), then=SPANS)
    def operator_wants(self, version: str, then: timedelta) -> None:
        """Have another version of the model accepted."""
        self.world.want(version)
        self.pass_time(then)

    @rule(is_down=st.booleans(), then=SPANS)
    def store_changes(self, is_down: bool, then: timedelta) -> None:
        """Let the store go down, or come back."""
        self.world.table.down = is_down
        self.pass_time(then)

    @rule(faults=FAULTS, then=SPANS)
    def store_loses(self, faults: list[Fault], then: timedelta) -> None:
        """Have the next transactions go wrong, and hung ones land later."""
        self.world.table.faults = list(faults)
        self.pass_time(then)
        self.world.table.deliver()

    @rule(is_stale=st.booleans(), then=SPANS)
    def reads_change(self, is_stale: bool, then: timedelta) -> None:
        """Have reads stand still, or be true again."""
        if is_stale:
            self.world.table.freeze_reads()
        else:
            self.world.table.thaw_reads()
        self.pass_time(then)

    @rule(is_silent=st.booleans(), then=SPANS)
    def gossip_changes(self, is_silent: bool, then: timedelta) -> None:
        """Cut all instances off from each other, or join them."""
        self.world.is_silent = is_silent and self.may_fall_silent
        self.world.was_silent |= self.world.is_silent
        self.pass_time(then)

    @invariant()
    def one_holder(self) -> None:
        """Check that no two hold a lease at once, and that numbers only grow."""
        lives = [*self.world.nodes.values(), *self.world.retired]
        for duty in Duty:
            holding = [node for node in lives if node.holds(duty)]
            assert len(holding) <= 1, (duty, holding)
            for node in holding:
                lease = node.view.current(duty)
                assert lease is not None
                assert lease.fencing >= self.fencing[duty]
                self.fencing[duty] = lease.fencing

    @invariant()
    def no_late_order(self) -> None:
        """Check that no order went out without a lease, or after a newer one."""
        assert self.world.unheld_orders == 0
        for engine in self.world.engines.values():
            assert engine.mode is not FencingMode.IGNORED or engine.late_orders == 0

    @invariant()
    def loads_are_spaced(self) -> None:
        """Check that the weight store is asked no more often than it bears."""
        loads = sorted(at for e in self.world.engines.values() for at in e.loads)
        for earlier, later in zip(loads, loads[1:], strict=False):
            assert later - earlier >= LOAD_INTERVAL

    @invariant()
    def every_engine_has_a_version(self) -> None:
        """Check that no engine is without a version that answers."""
        now = self.world.now
        for engine in self.world.engines.values():
            assert engine.ready_versions(now), engine

    @invariant()
    def only_what_is_nobody_s_is_freed(self) -> None:
        """Check that nothing of a living owner was freed before its deadline."""
        living = {
            (node.identity.instance, node.identity.incarnation)
            for node in self.world.nodes.values()
        }
        for engine in self.world.engines.values():
            for stream in engine.freed:
                overdue = stream.dispatch.deadline + OVERDUE <= self.world.now
                owner = (stream.owner, stream.owner_incarnation)
                assert overdue or owner not in living, stream

    @invariant()
    def poison_costs_two(self) -> None:
        """Check that the poisoned body has cost two engines at most.

        It costs more if it runs on more before the first one crashes. What nobody
        notices can't be held against it, and while instances can't hear each other
        each one finds out for itself.
        """
        cost = [
            engine.name
            for engine in self.world.engines.values()
            if any(POISON in bodies for bodies in engine.noticed)
        ]
        if not self.world.was_silent:
            assert len(cost) <= max(2, self.world.poison_width), cost

    @invariant()
    def outcomes_are_honest(self) -> None:
        """Check that not run means not run, and that only the poison is condemned."""
        for name, conclusion in self.world.conclusions.items():
            if conclusion.outcome is Outcome.NOT_RUN:
                assert not self._was_started(name), conclusion
            problem = conclusion.problem
            if problem is not None and problem.code is ProblemCode.QUARANTINED:
                assert self.world.requests[name].body_digest == POISON

    @invariant()
    def all_end_in_time(self) -> None:
        """Check that each request of a waking instance has ended by its deadline."""
        for name, home in self.world.homes.items():
            if home.is_dead or home.is_asleep or name in self.world.conclusions:
                continue
            deadline = self.world.requests[name].deadline
            assert self.world.now <= deadline + STEP, name

    def _was_started(self, name: RequestId) -> bool:
        return any(name in engine.started for engine in self.world.engines.values())

    def teardown(self) -> None:
        """Heal everything; all must come to rest, and nothing be left behind."""
        world = self.world
        world.table.down = False
        world.table.faults = []
        world.table.thaw_reads()
        world.is_silent = False
        for node in world.nodes.values():
            node.wake()
        for _ in range(36):
            self.pass_time(LIST_PERIOD)
        versions = [
            engine.ready_versions(world.now) for engine in world.engines.values()
        ]
        assert versions == [{world.wanted}] * len(world.engines), versions
        assert not any(engine.streams for engine in world.engines.values())
        living = [name for name, home in world.homes.items() if not home.is_dead]
        assert all(name in world.conclusions for name in living)


def test_promises_hold_whatever_fails_in_whatever_order() -> None:
    """Instances freeze, die and come back, engines crash and are cut off.

    The store is down, stale, loses answers or does writes late; peers fall silent;
    operators change their minds; a poisoned letter is sent again and again.
    """
    explore(RecoveryMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)

"""Tests of leases, orders, cleaning, quarantine and retries, with random failures."""

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
from mimosafork.policies.recovery import DEADLINE_GRACE
from tests.support.fake_table import Fault
from tests.support.functions import function_tests
from tests.support.kernels import MODEL
from tests.support.machines import explore
from tests.support.recovery_world import LOAD_INTERVAL, STEP, World
from tests.support.requests import request

EXAMPLES = 40
STEPS = 30
SECOND = timedelta(seconds=1)
REQUEST_TIMEOUT = 40 * SECOND
CRASHING_BODY = Digest("poison")

LIST_PERIOD = 5 * SECOND
SPANS = st.sampled_from([SECOND / 4, SECOND, 4 * SECOND, 12 * SECOND, 30 * SECOND])
INSTANCES = st.sampled_from(["i1", "i2", "i3"])
ENGINES = st.sampled_from(["e0", "e1", "e2", "e3"])
FAULTS = st.lists(st.sampled_from(list(Fault)), min_size=1, max_size=3)


class RecoveryMachine(RuleBasedStateMachine):
    """Random combinations of failures; see the invariants."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.world.crashing_bodies.add(CRASHING_BODY)
        self.fencing: dict[Duty, int] = dict.fromkeys(Duty, 0)
        self.sent = 0
        self.may_partition = False
        self.world.run(SECOND)

    @initialize(may_partition=st.booleans())
    def peers(self, may_partition: bool) -> None:
        """Decide whether this example has partitions between instances."""
        self.may_partition = may_partition

    def pass_time(self, span: timedelta) -> None:
        """Let time pass, and publish the instance list periodically."""
        while span > timedelta(0):
            self.world.publish_instance_list()
            self.world.run(min(span, LIST_PERIOD))
            span -= LIST_PERIOD

    @rule(then=SPANS)
    def nothing_happens(self, then: timedelta) -> None:
        """Let time pass."""
        self.pass_time(then)

    def send(self, name: str, body: str = "") -> None:
        """Submit a request with a body of its own, or with a given one."""
        self.sent += 1
        deadline = self.world.now + REQUEST_TIMEOUT
        self.world.submit(name, request(f"r{self.sent}", MODEL, deadline, body))

    @rule(names=st.lists(INSTANCES, min_size=1, max_size=12), then=SPANS)
    def requests_arrive(self, names: list[str], then: timedelta) -> None:
        """Submit requests that crash no engine."""
        for name in names:
            self.send(name)
        self.pass_time(then)

    @rule(names=st.lists(INSTANCES, min_size=1, max_size=3), then=SPANS)
    def crashing_requests_arrive(self, names: list[str], then: timedelta) -> None:
        """Submit the request that crashes engines, repeatedly.

        Not faster than a crash is reported to the peers, as nothing could prevent that.
        """
        for name in names:
            self.send(name, CRASHING_BODY)
            self.pass_time(max(then, 2 * SECOND))

    @rule(duty=st.sampled_from(list(Duty)), then=SPANS)
    def lease_holder_freezes(self, duty: Duty, then: timedelta) -> None:
        """Freeze the process that holds a lease, without its knowledge."""
        for node in self.world.nodes.values():
            node.is_frozen |= node.holds(duty)
        self.pass_time(then)

    @rule(version=st.sampled_from(["1", "2", "3"]), then=SPANS)
    def lease_holder_freezes_during_rollout(
        self, version: str, then: timedelta
    ) -> None:
        """Freeze the lease holder when it has just begun to roll out a version."""
        self.operator_changes_version(version, 12 * SECOND)
        self.lease_holder_freezes(Duty.ORDERS, 30 * SECOND)
        self.frozen_instances_resume(then)

    @rule(then=SPANS)
    def frozen_instances_resume(self, then: timedelta) -> None:
        """Resume frozen processes, which first send an order prepared before."""
        for node in self.world.nodes.values():
            if node.is_frozen:
                node.is_frozen = False
                node.orders.idle()
                node.resume()
        self.pass_time(then)

    @rule(name=INSTANCES, then=SPANS)
    def instance_is_replaced(self, name: str, then: timedelta) -> None:
        """Kill an instance; the platform starts it again."""
        self.world.replace(name)
        self.pass_time(then)

    @rule(name=ENGINES, then=SPANS)
    def engine_crashes(self, name: str, then: timedelta) -> None:
        """Crash an engine for another reason than its requests."""
        self.world.crash(name)
        self.pass_time(then)

    @rule(name=ENGINES, span=st.sampled_from([2, 15]), then=SPANS)
    def engine_is_cut_off(self, name: str, span: int, then: timedelta) -> None:
        """Cut the network to an engine."""
        self.world.cut(name, span * SECOND)
        self.pass_time(then)

    @rule(version=st.sampled_from(["1", "2", "3"]), then=SPANS)
    def operator_changes_version(self, version: str, then: timedelta) -> None:
        """Apply a configuration with another version of the model."""
        self.world.set_model_version(version)
        self.pass_time(then)

    @rule(is_down=st.booleans(), then=SPANS)
    def store_changes(self, is_down: bool, then: timedelta) -> None:
        """Take the store down, or bring it back."""
        self.world.table.down = is_down
        self.pass_time(then)

    @rule(faults=FAULTS, then=SPANS)
    def store_loses(self, faults: list[Fault], then: timedelta) -> None:
        """Inject faults into the next transactions, and apply delayed ones later."""
        self.world.table.faults = list(faults)
        self.pass_time(then)
        self.world.table.deliver()

    @rule(is_stale=st.booleans(), then=SPANS)
    def reads_change(self, is_stale: bool, then: timedelta) -> None:
        """Make reads stale, or current again."""
        if is_stale:
            self.world.table.freeze_reads()
        else:
            self.world.table.thaw_reads()
        self.pass_time(then)

    @rule(is_silent=st.booleans(), then=SPANS)
    def gossip_changes(self, is_silent: bool, then: timedelta) -> None:
        """Partition all instances from each other, or reconnect them."""
        self.world.is_partitioned = is_silent and self.may_partition
        self.world.was_partitioned |= self.world.is_partitioned
        self.pass_time(then)

    @invariant()
    def one_holder(self) -> None:
        """Check that a lease has at most one holder, and fencing numbers only grow."""
        nodes = [*self.world.nodes.values(), *self.world.replaced_nodes]
        for duty in Duty:
            holding = [node for node in nodes if node.holds(duty)]
            assert len(holding) <= 1, (duty, holding)
            for node in holding:
                lease = node.view.current(duty)
                assert lease is not None
                assert lease.fencing >= self.fencing[duty]
                self.fencing[duty] = lease.fencing

    @invariant()
    def no_late_order(self) -> None:
        """Check that no order was sent without a lease, or after a newer one."""
        assert self.world.orders_without_lease == 0
        for engine in self.world.engines.values():
            assert engine.mode is not FencingMode.IGNORED or engine.late_orders == 0

    @invariant()
    def loads_are_spaced(self) -> None:
        """Check that the weight store isn't used more often than its limit."""
        loads = sorted(at for e in self.world.engines.values() for at in e.loads)
        for earlier, later in zip(loads, loads[1:], strict=False):
            assert later - earlier >= LOAD_INTERVAL

    @invariant()
    def every_engine_has_a_version(self) -> None:
        """Check that each engine has a version that is ready."""
        now = self.world.now
        for engine in self.world.engines.values():
            assert engine.ready_versions(now), engine

    @invariant()
    def only_orphaned_holdings_are_freed(self) -> None:
        """Check that no holding of a live owner was freed before its deadline."""
        living = {
            (node.identity.instance, node.identity.incarnation)
            for node in self.world.nodes.values()
        }
        for engine in self.world.engines.values():
            for stream in engine.freed:
                overdue = stream.dispatch.deadline + DEADLINE_GRACE <= self.world.now
                owner = (stream.owner, stream.owner_incarnation)
                assert overdue or owner not in living, stream

    @invariant()
    def crashing_body_costs_two_engines(self) -> None:
        """Check that the crashing body has crashed two engines at most.

        There are more if it runs on more before the first crash. Crashes that no
        instance observed don't count, and during a partition each instance finds out
        for itself.
        """
        cost = [
            engine.name
            for engine in self.world.engines.values()
            if any(CRASHING_BODY in bodies for bodies in engine.observed_crashes)
        ]
        if not self.world.was_partitioned:
            assert len(cost) <= max(2, self.world.max_crashing_engines), cost

    @invariant()
    def outcomes_are_correct(self) -> None:
        """Check that "not run" is true, and only the crashing body is quarantined."""
        for name, conclusion in self.world.conclusions.items():
            if conclusion.outcome is Outcome.NOT_RUN:
                assert not self._was_started(name), conclusion
            problem = conclusion.problem
            if problem is not None and problem.code is ProblemCode.QUARANTINED:
                assert self.world.requests[name].body_digest == CRASHING_BODY

    @invariant()
    def all_end_in_time(self) -> None:
        """Check that each request of a running instance has ended by its deadline."""
        for name, home in self.world.home_nodes.items():
            if home.is_dead or home.is_frozen or name in self.world.conclusions:
                continue
            deadline = self.world.requests[name].deadline
            assert self.world.now <= deadline + STEP, name

    def _was_started(self, name: RequestId) -> bool:
        return any(name in engine.started for engine in self.world.engines.values())

    def teardown(self) -> None:
        """End all faults; the system must become idle and leave no holdings behind."""
        world = self.world
        world.table.down = False
        world.table.faults = []
        world.table.thaw_reads()
        world.is_partitioned = False
        for node in world.nodes.values():
            node.resume()
        for _ in range(36):
            self.pass_time(LIST_PERIOD)
        versions = [
            engine.ready_versions(world.now) for engine in world.engines.values()
        ]
        assert versions == [{world.model_version}] * len(world.engines), versions
        assert not any(engine.streams for engine in world.engines.values())
        living = [name for name, home in world.home_nodes.items() if not home.is_dead]
        assert all(name in world.conclusions for name in living)


def test_promises_hold_whatever_fails_in_whatever_order() -> None:
    """Instances freeze, die and restart, engines crash and are cut off.

    The store is down, stale, loses answers or applies writes late; instances are
    partitioned; operators change versions; a request that crashes engines is repeated.
    """
    explore(RecoveryMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)

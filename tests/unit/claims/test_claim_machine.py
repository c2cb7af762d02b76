"""At most once and honest outcomes, whatever comes in whatever order."""

from datetime import timedelta
from enum import Enum

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from msgspec.structs import replace

from mimosafork.ids import Digest
from mimosafork.kernel.messages.outcomes import Outcome, Retention
from mimosafork.kernel.messages.requests import CallerGone, Repeatability, Request
from mimosafork.kernel.plugins import RetryPolicy
from mimosafork.policies.claims.stage import STORE_OUTAGE_BACKOFF
from tests.support.claim_world import ENGINES, Call, Fate, World
from tests.support.claims import CarelessRetry, keyed, once
from tests.support.fake_table import Fault
from tests.support.functions import function_tests
from tests.support.machines import explore

EXAMPLES = 80
"""Making a failing run shorter takes minutes; a test has less than that."""

STEPS = 60
DEADLINE = timedelta(seconds=20)
MOMENTS = st.sampled_from(
    [timedelta(milliseconds=ms) for ms in (1, 60, 60, 150, 150, 1100, 3100, 21_000)]
)
FATES = st.sampled_from([Fate.ARRIVES, Fate.ARRIVES, *Fate])


class Trouble(Enum):
    """What may fail beside single connections."""

    ENGINE_CRASHES = "engine-crashes"
    INSTANCE_DIES = "instance-dies"
    INSTANCE_FREEZES_OR_THAWS = "instance-freezes-or-thaws"
    STORE_GOES_OR_COMES = "store-goes-or-comes"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    LATE_WRITES_LAND = "late-writes-land"


class ClaimMachine(RuleBasedStateMachine):
    """Two instances, two engines and a store, all of which fail."""

    retry: type[RetryPolicy] | None = None

    def __init__(self) -> None:
        super().__init__()
        self.world = World(self.retry)
        self.serial = 0

    def new_request(self, key: str, body: str, repeatable: bool) -> Request:
        """Return the next call's request."""
        self.serial += 1
        name = f"r{self.serial}"
        make = keyed if repeatable else once
        deadline = self.world.clock.monotonic() + DEADLINE
        return make(name, key, body_digest=Digest(body), deadline=deadline)

    @rule(
        node=st.integers(0, 1),
        key=st.sampled_from(["a", "a", "b"]),
        body=st.sampled_from(["x", "x", "x", "y"]),
        offset=st.sampled_from([0, 0, 0, 3]),
        smooth=st.booleans(),
    )
    def call(self, node: int, key: str, body: str, offset: int, smooth: bool) -> None:
        """Send a call; key "a" must run once, key "b" may be repeated."""
        target = self.world.nodes[node]
        if target.frozen:
            return
        request = self.new_request(key, body, repeatable=key == "b")
        self.world.submit(target, replace(request, resume_offset=offset))
        if smooth:
            target.work()

    @rule(node=st.integers(0, 1))
    def write_claims(self, node: int) -> None:
        """Let a writer send a transaction."""
        if not self.world.nodes[node].frozen:
            self.world.nodes[node].write_claims()

    @rule(node=st.integers(0, 1), fate=FATES)
    def work(self, node: int, fate: Fate) -> None:
        """Let an instance do all that it has to, and its dispatches go out."""
        target = self.world.nodes[node]
        if target.frozen:
            return
        target.work()
        for dispatch in list(target.outbox):
            self.world.send(target, dispatch, fate)
        target.work()

    @rule(node=st.integers(0, 1), number=st.integers(0, 3))
    def deliver(self, node: int, number: int) -> None:
        """Let a kernel handle some of its mail."""
        target = self.world.nodes[node]
        for _ in range(number + 1):
            if target.inbox and not target.frozen:
                target.tell(target.inbox.popleft())

    @rule(node=st.integers(0, 1), number=st.integers(0, 5), fate=FATES)
    def send(self, node: int, number: int, fate: Fate) -> None:
        """Let a dispatch go out."""
        target = self.world.nodes[node]
        if target.outbox and not target.frozen:
            dispatch = target.outbox[number % len(target.outbox)]
            self.world.send(target, dispatch, fate)

    @rule(engine=st.sampled_from(ENGINES), number=st.integers(0, 5))
    def finish_stream(self, engine: str, number: int) -> None:
        """End a stream well."""
        streams = list(self.world.engines[engine].streams)
        if streams:
            self.world.finish(engine, streams[number % len(streams)])

    @rule(engine=st.sampled_from(ENGINES), number=st.integers(0, 5))
    def cut_stream(self, engine: str, number: int) -> None:
        """Break a stream's connections."""
        streams = list(self.world.engines[engine].streams)
        if streams:
            self.world.cut_readers(engine, streams[number % len(streams)])

    @rule(kind=st.sampled_from(list(Trouble)), number=st.integers(0, 5))
    def trouble(self, kind: Trouble, number: int) -> None:
        """Have something fail that many calls depend on.

        One rule for all of them: with a rule each, there would be more trouble than
        work, and few calls would come far enough for a late failure to matter.
        """
        world = self.world
        node = world.nodes[number % 2]
        match kind:
            case Trouble.ENGINE_CRASHES:
                world.crash(ENGINES[number % 2])
                if number > 1:
                    world.publish()
            case Trouble.INSTANCE_DIES:
                world.kill(node)
            case Trouble.INSTANCE_FREEZES_OR_THAWS:
                node.frozen = not node.frozen
            case Trouble.STORE_GOES_OR_COMES:
                world.table.down = not world.table.down
            case Trouble.STORE_LOSES_ANSWERS:
                fault = list(Fault)[number % len(Fault)]
                world.table.faults += [fault] * (1 + number // 2)
            case Trouble.LATE_WRITES_LAND:
                world.table.deliver()

    @rule(step=MOMENTS)
    def pass_time(self, step: timedelta) -> None:
        """Let time pass."""
        self.world.advance(step)

    @rule(number=st.integers(0, 20))
    def caller_leaves(self, number: int) -> None:
        """Have a caller hang up."""
        open_calls = [
            call
            for call in self.world.calls.values()
            if call.conclusion is None and call.node in self.world.running()
        ]
        if open_calls:
            call = open_calls[number % len(open_calls)]
            call.node.tell(CallerGone(call.request.request_id))

    @precondition(lambda self: self.world.calls)
    @invariant()
    def what_must_run_once_runs_once(self) -> None:
        """Check that no key of a non-idempotent request was started twice."""
        assert self.world.starts["a"] <= 1, self.world.starts

    @invariant()
    def not_run_is_true(self) -> None:
        """Check that no engine started a call that was refused as not run."""
        for call in self.world.calls.values():
            conclusion = call.conclusion
            if conclusion is not None and conclusion.outcome is Outcome.NOT_RUN:
                assert call.starts == 0, call

    @invariant()
    def answers_are_ones_own(self) -> None:
        """Check that completed calls have the answer to their own key and body."""
        for call in self.world.calls.values():
            if call.conclusion and call.conclusion.outcome is Outcome.COMPLETED:
                assert call.answered_by == (call.key, call.request.body_digest), call

    def teardown(self) -> None:
        """Heal all; each call ends, and resends get what they were promised."""
        self.world.settle()
        for call in list(self.world.calls.values()):
            if call.node in self.world.nodes:
                assert call.conclusion is not None, call
        self.what_must_run_once_runs_once()
        self.not_run_is_true()
        for call in list(self.world.calls.values()):
            conclusion = call.conclusion
            if conclusion is not None and conclusion.retention is Retention.KEPT:
                self.check_kept(call)
        if not self.world.killed and not self.world.starts["a"]:
            self.check_free()
        self.what_must_run_once_runs_once()

    def check_kept(self, call: Call) -> None:
        """Check that a resend of a kept answer gets it and runs nothing."""
        self.world.advance(STORE_OUTAGE_BACKOFF)
        before = self.world.starts[call.key]
        once_more = call.request.repeatability is Repeatability.IDEMPOTENT
        body = call.request.body_digest
        request = self.new_request(call.key, body, once_more)
        again = self.world.submit(self.world.nodes[0], request)
        self.world.settle()
        assert again.conclusion is not None
        assert again.conclusion.outcome is Outcome.COMPLETED, (call, again)
        assert again.answered_by == (call.key, call.request.body_digest)
        assert self.world.starts[call.key] == before

    def check_free(self) -> None:
        """Check that what was refused as not run may run when it is sent again."""
        calls = [call for call in self.world.calls.values() if call.key == "a"]
        outcomes = {call.conclusion.outcome for call in calls if call.conclusion}
        if outcomes != {Outcome.NOT_RUN}:
            return
        request = self.new_request("a", "x", repeatable=False)
        again = self.world.submit(self.world.nodes[0], request)
        self.world.settle()
        assert again.conclusion is not None
        assert again.conclusion.outcome is Outcome.COMPLETED, again


class CarelessMachine(ClaimMachine):
    """The same with a retry policy that repeats what it must not."""

    retry = CarelessRetry


MACHINES = (ClaimMachine, CarelessMachine)


def test_at_most_once_and_honest_outcomes_in_any_order() -> None:
    """Failures come twice, together, and between any two steps.

    Instances die and freeze, engines crash, connections break, the store is down or
    loses answers, writes land late, callers leave and come back.
    """
    explore(ClaimMachine, EXAMPLES, STEPS)


def test_at_most_once_with_a_retry_policy_that_repeats_everything() -> None:
    """A faulty retry policy alone must not make two drafts of one filing."""
    explore(CarelessMachine, EXAMPLES, STEPS)


load_tests = function_tests(__name__)

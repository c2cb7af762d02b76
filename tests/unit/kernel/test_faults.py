"""Exceptions in plug-ins affect only their own request and leave no caller waiting."""

from collections.abc import Sequence
from contextlib import AbstractContextManager
from datetime import timedelta
from functools import singledispatchmethod
from random import Random

from mimosafork.ids import AttemptNumber, RequestId
from mimosafork.kernel.context import Context
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    DispatchFaulted,
    Exposure,
    FirstToken,
)
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.dispatch import CancelAttempt
from mimosafork.kernel.messages.fleet import InstancesListed
from mimosafork.kernel.messages.outcomes import Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.plugins import (
    Finisher,
    Hold,
    NotApplicable,
    Placement,
    Placer,
    Plugin,
    Proceed,
    RetryDecision,
    RetryPolicy,
    ReviewDecision,
    Stage,
    Surplus,
)
from mimosafork.kernel.records import RequestRecord
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from tests.support.faults import expected_faults
from tests.support.functions import function_tests
from tests.support.kernels import (
    Bench,
    attempt_failure,
    engine_entry,
    model_request,
    running_kernel,
)

POISON = "poison"
LATE = timedelta(seconds=61)


class PluginBrokenError(Exception):
    """Raised by the plug-ins of these tests."""


class BrokenListener(Plugin):
    """Raises at each tick, first token and submission."""

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Raise at what is registered."""

    @handle.register
    def _(self, message: Tick | FirstToken | Submit, context: Context) -> None:
        raise PluginBrokenError


class CountingListener(Plugin):
    """Counts received ticks."""

    def __init__(self) -> None:
        self.ticks = 0

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Count."""

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        self.ticks += 1


class BrokenStage(Stage):
    """Raises for the request `POISON`."""

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Raise for `POISON`, otherwise proceed."""
        if record.request_id == POISON:
            raise PluginBrokenError
        return Proceed()


class HoldingStage(Stage):
    """Holds all requests."""

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Hold."""
        return Hold()


class BrokenPlacer(Placer):
    """Raises for the request `POISON` when armed, otherwise passes."""

    order = 1

    def __init__(self) -> None:
        self.armed = False

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Raise for `POISON`, otherwise pass."""
        if self.armed and record.request_id == POISON:
            raise PluginBrokenError
        return NotApplicable()


class BrokenDiscipline(FirstCome):
    """Raises for the request `POISON` when armed."""

    armed = False

    def rank(self, record: RequestRecord, now: timedelta) -> float:
        """Raise for `POISON`, otherwise rank."""
        if self.armed and record.request_id == POISON:
            raise PluginBrokenError
        return super().rank(record, now)


class BrokenOrder(FirstCome):
    """Raises whenever it is asked about several requests, or about a problem."""

    def arrange(
        self, ranked: list[RequestRecord], now: timedelta
    ) -> list[RequestRecord]:
        """Raise."""
        raise PluginBrokenError

    def surplus(
        self, waiting: list[RequestRecord], now: timedelta
    ) -> Sequence[Surplus]:
        """Raise."""
        raise PluginBrokenError

    def final_problem(self, problem: Problem, random: Random) -> Problem:
        """Raise."""
        raise PluginBrokenError


class BrokenFinisher(Finisher):
    """Raises whenever an answer is complete."""

    def finish(self, record: RequestRecord, context: Context) -> Proceed | Hold:
        """Raise."""
        raise PluginBrokenError


class BrokenRetry(RetryPolicy):
    """Raises at each failed attempt."""

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Raise."""
        raise PluginBrokenError


def kernel_with(*plugins: Plugin, engines: int = 1) -> AbstractContextManager[Bench]:
    """Return a kernel with the simplest plug-ins, preceded by the given ones."""
    found = list(plugins)
    usual = [KnownTarget(), LeastRequests(), FirstCome(), BoundedRetry()]
    roles = (RetryPolicy, FirstCome)
    for each in usual:
        taken = [role for role in roles if isinstance(each, role)]
        if not any(isinstance(plugin, role) for plugin in found for role in taken):
            found.append(each)
    return running_kernel(found, [engine_entry(f"e{n}") for n in range(engines)])


def check_ended(bench: Bench, name: str, outcome: Outcome) -> None:
    conclusion = bench.conclusion(name)
    assert conclusion is not None
    assert conclusion.outcome is outcome
    assert conclusion.problem is not None
    assert conclusion.problem.code is ProblemCode.INTERNAL
    assert RequestId(name) not in bench.kernel.state.requests


def test_requests_expire_although_a_plugin_raises_at_the_tick() -> None:
    """Effects decided before a plug-in raises must not be lost.

    A tick ended expired requests, then a plug-in raised at the same tick and the
    effects were discarded: callers never got an answer, and attempts were never
    cancelled.
    """
    counting = CountingListener()
    with kernel_with(BrokenListener(), counting) as bench, expected_faults() as faults:
        bench.submit(model_request("late"))
        bench.handle_after(LATE, Tick())
        assert bench.conclusion("late") is not None
        assert len(bench.emitted(CancelAttempt)) == 1
        assert counting.ticks == 1
        assert {type(fault) for fault in faults} == {PluginBrokenError}


def test_request_is_concluded_at_once_when_a_stage_raises() -> None:
    with kernel_with(BrokenStage()) as bench, expected_faults() as faults:
        bench.submit(model_request(POISON))
        bench.submit(model_request("sound"))
        check_ended(bench, POISON, Outcome.NOT_RUN)
        assert len(bench.dispatches("sound")) == 1
        assert len(faults) == 1


def test_request_that_breaks_the_placer_does_not_block_others() -> None:
    """A failing request must not block the queue of its target.

    A placer raised for a queued request at each tick, and the requests behind it were
    never tried again until their deadlines.
    """
    placer = BrokenPlacer()
    with kernel_with(placer, engines=0) as bench, expected_faults() as faults:
        bench.submit(model_request(POISON))
        bench.submit(model_request("sound"))
        placer.armed = True
        add_engine(bench)
        bench.handle(Tick())
        check_ended(bench, POISON, Outcome.NOT_RUN)
        assert len(bench.dispatches("sound")) == 1
        bench.handle(Tick())
        assert len(faults) == 1


def test_request_that_cannot_be_ranked_does_not_block_others() -> None:
    discipline = BrokenDiscipline()
    with kernel_with(discipline, engines=0) as bench, expected_faults() as faults:
        bench.submit(model_request(POISON))
        bench.submit(model_request("sound"))
        discipline.armed = True
        add_engine(bench)
        bench.handle(Tick())
        check_ended(bench, POISON, Outcome.NOT_RUN)
        assert len(bench.dispatches("sound")) == 1
        assert len(faults) == 1


def test_an_order_that_cannot_be_decided_blocks_no_call() -> None:
    """Calls wait until their deadline, as each pass over the queue raises.

    The order of several calls, the choice of those that are refused, and the problem
    that a call ends with are asked for apart from the ranks.
    """
    with (
        kernel_with(BrokenOrder(), engines=0) as bench,
        expected_faults() as faults,
    ):
        bench.submit(model_request("a"))
        bench.submit(model_request("b"))
        add_engine(bench)
        bench.handle(Tick())
        assert len(bench.dispatches("a")) == len(bench.dispatches("b")) == 1
        bench.submit(model_request("late", deadline=timedelta(0)))
        bench.handle_after(LATE, Tick())
        late = bench.conclusion("late")
        assert late is not None
        assert late.problem is not None
        assert late.problem.code is not ProblemCode.INTERNAL
        assert faults


def add_engine(bench: Bench) -> None:
    """Add an engine to the fleet."""
    bench.handle(InstancesListed((engine_entry("e9"),), ()))
    bench.report("e9")


def test_failed_retry_decision_reports_only_what_is_known() -> None:
    cases = (
        (Exposure.POSSIBLE, Outcome.FAILED),
        (Exposure.NEVER_SENT, Outcome.NOT_RUN),
    )
    for exposure, outcome in cases:
        with kernel_with(BrokenRetry()) as bench, expected_faults() as faults:
            bench.submit(model_request("r"))
            bench.handle(attempt_failure("r", exposure=exposure))
            check_ended(bench, "r", outcome)
            assert len(faults) == 1


def test_complete_answer_stays_completed_when_a_finisher_raises() -> None:
    with kernel_with(BrokenFinisher()) as bench, expected_faults() as faults:
        bench.submit(model_request("r"))
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.COMPLETED
        assert len(faults) == 1


def test_running_request_continues_when_a_listener_raises() -> None:
    with kernel_with(BrokenListener()) as bench, expected_faults() as faults:
        bench.submit(model_request("r"))
        bench.handle(FirstToken(RequestId("r"), AttemptNumber(1)))
        assert bench.conclusion("r") is None
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.COMPLETED
        assert len(faults) == 2


def test_held_request_is_ended_when_a_plugin_raises() -> None:
    """A held request must not wait until its deadline for a failed plug-in."""
    with (
        kernel_with(BrokenListener(), HoldingStage()) as bench,
        expected_faults() as faults,
    ):
        bench.submit(model_request("r"))
        check_ended(bench, "r", Outcome.NOT_RUN)
        assert len(faults) == 1


def test_attempt_that_cannot_be_built_is_not_retried() -> None:
    cases = (
        (Exposure.POSSIBLE, Outcome.FAILED),
        (Exposure.NEVER_SENT, Outcome.NOT_RUN),
    )
    for exposure, outcome in cases:
        with kernel_with() as bench:
            bench.submit(model_request("r"))
            bench.handle(DispatchFaulted(attempt_failure("r", exposure=exposure)))
            check_ended(bench, "r", outcome)
            assert len(bench.dispatches("r")) == 1


load_tests = function_tests(__name__)

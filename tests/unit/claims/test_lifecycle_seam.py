"""What claims need of a request's life, with the smallest plug-ins."""

from contextlib import AbstractContextManager
from datetime import timedelta

from mimosafork.ids import AttemptNumber, ClaimId, ClaimKey, RequestId
from mimosafork.kernel.context import Context
from mimosafork.kernel.messages.attempts import AttemptFinished
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.dispatch import CancelAttempt
from mimosafork.kernel.messages.outcomes import Conclude, Outcome, Retention
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.kernel.messages.requests import CallerGone
from mimosafork.kernel.plugins import (
    Answered,
    Bypass,
    CompletionCleared,
    Finisher,
    Hold,
    PlaceOn,
    Plugin,
    Proceed,
    ReviewDecision,
    Stage,
    StageCleared,
)
from mimosafork.kernel.records import HeldClaim, RequestRecord
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.priorities import FirstCome
from mimosafork.policies.retry import BoundedRetry
from tests.support.functions import function_tests
from tests.support.kernels import Bench, engine_entry, model_request, running_kernel

DEADLINE = timedelta(seconds=60)
WHOLE = AttemptFinished(RequestId("r"), AttemptNumber(1))


class HoldingStage(Stage):
    """Holds every request."""

    name = "holding"

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Hold."""
        return Hold()


class RefusingStage(Stage):
    """Refuses every request, after `HoldingStage`."""

    order = 60

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Refuse."""
        raise AssertionError("a bypassed stage was asked")


class HoldingFinisher(Finisher):
    """Holds the end of every answer."""

    def finish(self, record: RequestRecord, context: Context) -> Proceed | Hold:
        """Hold."""
        return Hold()


def bench_with(*extra: Plugin) -> AbstractContextManager[Bench]:
    """Give a kernel with one engine."""
    plugins = [KnownTarget(), LeastRequests(), BoundedRetry(), FirstCome(), *extra]
    return running_kernel(plugins, [engine_entry("e1")])


def only_conclusion(bench: Bench) -> Conclude:
    """Return the final answer of the request."""
    conclusion = bench.conclusion("r")
    assert conclusion is not None
    return conclusion


def claimed(bench: Bench) -> RequestRecord:
    """Submit a request and give it a claim."""
    bench.submit(model_request("r", deadline=DEADLINE))
    record = bench.kernel.state.requests[RequestId("r")]
    record.claim = HeldClaim(ClaimKey("k"), ClaimId("c"), confirmed=True)
    return record


def test_freeze_between_review_and_dispatch_sends_nothing() -> None:
    """A treasurer is told that the draft came too late, and it runs afterwards.

    The process is frozen while a stage waits. When it wakes, the stage's answer
    lies in the mailbox before the tick that would end the late request.
    """
    with bench_with(HoldingStage()) as bench:
        bench.submit(model_request("r", deadline=DEADLINE))
        late = StageCleared("r", "holding", Proceed())
        bench.handle_after(DEADLINE + timedelta(seconds=1), late)
        assert not bench.dispatches("r")
        conclusion = only_conclusion(bench)
        assert conclusion.outcome is Outcome.NOT_RUN
        assert conclusion.problem is not None
        assert conclusion.problem.code is ProblemCode.DEADLINE_PASSED


def test_claimed_run_goes_on_when_its_caller_hangs_up() -> None:
    """A clerk's connection breaks; coming back, the run has been thrown away.

    The caller can't tell a broken connection from a slow answer and returns with
    its key. The run must still be there, or a run that may not be repeated is lost.
    """
    with bench_with() as bench:
        record = claimed(bench)
        bench.handle(CallerGone(RequestId("r")))
        assert record.caller_gone
        assert not bench.emitted(CancelAttempt)
        bench.handle(WHOLE)
        assert only_conclusion(bench).outcome is Outcome.COMPLETED


def test_leaving_a_shared_run_neither_cancels_nor_denies_it() -> None:
    """Two calls wait for one run; one hangs up and the other's answer is cut.

    Its own attempts ran nothing, so without care it would also be told "not run".
    """
    with bench_with() as bench:
        bench.submit(model_request("r", deadline=DEADLINE))
        record = bench.kernel.state.requests[RequestId("r")]
        entry = engine_entry("e1")
        record.attached_run = PlaceOn(entry.endpoint, entry.incarnation, entry.address)
        bench.handle_after(DEADLINE, Tick())
        assert not bench.emitted(CancelAttempt)
        assert only_conclusion(bench).outcome is Outcome.UNKNOWN


def test_finisher_holds_the_end_until_it_clears_it() -> None:
    with bench_with(HoldingFinisher()) as bench:
        claimed(bench)
        bench.handle(WHOLE)
        assert bench.conclusion("r") is None
        bench.handle(CallerGone(RequestId("r")))
        assert bench.conclusion("r") is None
        bench.handle(CompletionCleared("r", Retention.KEPT))
        conclusion = only_conclusion(bench)
        assert conclusion.outcome is Outcome.COMPLETED
        assert conclusion.retention is Retention.KEPT


def test_deadline_ends_a_held_answer_as_whole_but_not_kept() -> None:
    """A caller has its whole answer and is told that the request failed.

    The store does not take the answer in time. Only the keeping has failed.
    """
    with bench_with(HoldingFinisher()) as bench:
        claimed(bench)
        bench.handle(WHOLE)
        bench.handle_after(DEADLINE, Tick())
        conclusion = only_conclusion(bench)
        assert conclusion.outcome is Outcome.COMPLETED
        assert conclusion.retention is Retention.NOT_KEPT
        assert not bench.emitted(CancelAttempt)


def test_bypass_skips_the_later_stages() -> None:
    with bench_with(HoldingStage(), RefusingStage()) as bench:
        bench.submit(model_request("r"))
        bench.handle(StageCleared("r", "holding", Bypass()))
        assert len(bench.dispatches("r")) == 1


def test_answered_by_a_stage_completes_without_a_run() -> None:
    with bench_with(HoldingStage()) as bench:
        bench.submit(model_request("r"))
        bench.handle(StageCleared("r", "holding", Answered()))
        assert not bench.dispatches("r")
        assert only_conclusion(bench).outcome is Outcome.COMPLETED


load_tests = function_tests(__name__)

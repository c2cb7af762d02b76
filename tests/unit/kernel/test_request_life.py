"""Steps of the request lifecycle."""

from contextlib import AbstractContextManager
from datetime import timedelta
from functools import singledispatchmethod

from mimosafork.ids import AttemptNumber, RequestId, StreamId
from mimosafork.kernel.context import Context
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    AttemptHedged,
    AttemptSent,
    ConnectionOpening,
    Exposure,
    FailureKind,
    FirstToken,
    HedgedAttemptResumed,
    RetryDue,
)
from mimosafork.kernel.messages.base import Message, Tick
from mimosafork.kernel.messages.dispatch import CancelAttempt, Dispatch
from mimosafork.kernel.messages.fleet import ProbeFailed
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from mimosafork.kernel.messages.requests import CallerGone, Repeatability
from mimosafork.kernel.messages.timers import WakeAt
from mimosafork.kernel.plugins import (
    GiveUp,
    Hold,
    Placed,
    Placement,
    PlacementFailed,
    PlacementPending,
    PlaceOn,
    Placer,
    Plugin,
    Proceed,
    Refuse,
    RetryDecision,
    RetryLater,
    RetryPolicy,
    ReviewDecision,
    Stage,
    StageCleared,
)
from mimosafork.kernel.records import RequestRecord
from mimosafork.policies.admission import KnownTarget
from mimosafork.policies.baselines import LeastRequests
from mimosafork.policies.priorities import FirstCome
from tests.support.functions import function_tests
from tests.support.kernels import (
    Bench,
    attempt_failure,
    engine_entry,
    model_request,
    running_kernel,
)

PAUSE = timedelta(milliseconds=100)
MOMENT = timedelta(milliseconds=50)


class ScriptedRetry(RetryPolicy):
    """Retries after a fixed pause, up to a number of attempts."""

    def __init__(self, attempts: int = 3, pause: timedelta = PAUSE) -> None:
        self.attempts = attempts
        self.pause = pause

    def decide(
        self, record: RequestRecord, failure: AttemptFailed, context: Context
    ) -> RetryDecision:
        """Return the fixed pause, or give up after the last attempt."""
        if len(record.attempts) < self.attempts:
            return RetryLater(self.pause)
        return GiveUp(Problem(ProblemCode.ENDPOINT_FAILED, failure.kind.value))


class HoldingStage(Stage):
    """Holds every request."""

    name = "holding"

    def review(self, record: RequestRecord, context: Context) -> ReviewDecision:
        """Hold."""
        return Hold()


class PendingPlacer(Placer):
    """Leaves every placement pending, before other placers."""

    order = 10

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Leave the placement pending."""
        return PlacementPending()


def plain_kernel(
    *extra: Plugin,
    retry: RetryPolicy | None = None,
    endpoints: tuple[str, ...] = ("e1", "e2"),
) -> AbstractContextManager[Bench]:
    """Return a kernel with the simplest plug-ins and two engines."""
    plugins = [
        KnownTarget(),
        LeastRequests(),
        retry or ScriptedRetry(),
        FirstCome(),
        *extra,
    ]
    return running_kernel(plugins, [engine_entry(name) for name in endpoints])


def place_on(endpoint: str) -> PlaceOn:
    """Return a placement on an endpoint of the test fleet."""
    entry = engine_entry(endpoint)
    return PlaceOn(entry.endpoint, entry.incarnation, entry.address)


def test_request_is_dispatched_and_completed() -> None:
    with plain_kernel() as bench:
        bench.submit(model_request("r"))
        (dispatch,) = bench.dispatches("r")
        assert dispatch.attempt == 1
        assert dispatch.offset == 0
        endpoint = bench.kernel.state.fleet.endpoints[dispatch.endpoint]
        assert list(endpoint.own_requests) == ["r"]
        bench.handle(FirstToken(RequestId("r"), AttemptNumber(1)))
        assert endpoint.own_requests[RequestId("r")].prefilled
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.COMPLETED
        assert conclusion.attempts == 1
        assert not endpoint.own_requests
        assert not bench.kernel.state.requests
        assert not bench.emitted(CancelAttempt)


def test_retry_avoids_the_failed_endpoint_and_resumes_at_the_offset() -> None:
    """A retry resumes the answer on another engine.

    The first engine's connection breaks after seven tokens. The second attempt goes
    to the other engine with offset seven.
    """
    with plain_kernel() as bench:
        bench.submit(model_request("r"))
        first = bench.dispatches("r")[0]
        bench.handle(attempt_failure("r", delivered_tokens=7))
        (wake,) = bench.emitted(WakeAt)
        assert wake.at == bench.clock.monotonic() + PAUSE
        assert len(bench.dispatches("r")) == 1
        bench.handle_after(PAUSE, wake.message)
        second = bench.dispatches("r")[1]
        assert second.endpoint != first.endpoint
        assert second.attempt == 2
        assert second.offset == 7
        assert second.stream_id != first.stream_id
        assert bench.conclusion("r") is None


def test_late_messages_of_an_older_attempt_change_nothing() -> None:
    """A truncated answer must not be reported as complete.

    The first attempt has failed and a second one runs when the end of the first one
    arrives late. Only the messages of the second one count.
    """
    with plain_kernel(retry=ScriptedRetry(pause=timedelta(0))) as bench:
        bench.submit(model_request("r"))
        bench.handle(attempt_failure("r"))
        assert len(bench.dispatches("r")) == 2
        bench.handle(FirstToken(RequestId("r"), AttemptNumber(1)))
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        bench.handle(attempt_failure("r", attempt=1))
        assert bench.conclusion("r") is None
        record = bench.kernel.state.requests[RequestId("r")]
        assert record.current is not None
        assert record.current.first_token_at is None
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(2)))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.COMPLETED


def test_messages_after_the_conclusion_change_nothing() -> None:
    with plain_kernel() as bench:
        bench.submit(model_request("r"))
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        bench.handle(attempt_failure("r"))
        bench.handle(RetryDue(RequestId("r")))
        bench.handle(CallerGone(RequestId("r")))
        bench.handle(Tick())
        assert len(bench.emitted(Conclude)) == 1
        assert len(bench.dispatches("r")) == 1


def test_not_run_is_said_only_when_no_attempt_can_have_run() -> None:
    """A wrong NOT_RUN makes the caller resend, and the request runs twice.

    After two failed attempts NOT_RUN may be reported only if neither can have run.
    """
    cases = [
        (Exposure.NEVER_SENT, Exposure.NEVER_SENT, Outcome.NOT_RUN),
        (Exposure.NEVER_SENT, Exposure.REFUSED, Outcome.NOT_RUN),
        (Exposure.REFUSED, Exposure.REFUSED, Outcome.NOT_RUN),
        (Exposure.POSSIBLE, Exposure.REFUSED, Outcome.FAILED),
        (Exposure.NEVER_SENT, Exposure.POSSIBLE, Outcome.FAILED),
    ]
    for first, second, expected in cases:
        with plain_kernel(retry=ScriptedRetry(2, timedelta(0))) as bench:
            bench.submit(model_request("r"))
            bench.handle(attempt_failure("r", 1, exposure=first))
            bench.handle(attempt_failure("r", 2, exposure=second))
            conclusion = bench.conclusion("r")
            assert conclusion is not None
            assert conclusion.outcome is expected, (first, second)
            assert conclusion.attempts == 2


def test_possible_run_of_a_non_idempotent_request_is_unknown() -> None:
    """A wrong FAILED makes the caller resend a non-idempotent request.

    The connection broke after the request was sent, so it may have run. The outcome
    must be UNKNOWN.
    """
    with plain_kernel(retry=ScriptedRetry(attempts=1)) as bench:
        request = model_request("r", repeatability=Repeatability.NON_IDEMPOTENT)
        bench.submit(request)
        bench.handle(attempt_failure("r", exposure=Exposure.POSSIBLE))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.UNKNOWN


def test_deadline_ends_a_running_request_at_once() -> None:
    with plain_kernel() as bench:
        bench.submit(model_request("r", deadline=timedelta(seconds=10)))
        bench.handle_after(timedelta(seconds=10) - MOMENT, Tick())
        assert bench.conclusion("r") is None
        bench.handle_after(MOMENT, Tick())
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.UNKNOWN
        assert conclusion.problem is not None
        assert conclusion.problem.code is ProblemCode.DEADLINE_PASSED
        (cancel,) = bench.emitted(CancelAttempt)
        assert cancel.stream_id == bench.dispatches("r")[0].stream_id


def test_deadline_ends_a_waiting_request_as_not_run() -> None:
    with plain_kernel(endpoints=()) as bench:
        bench.submit(model_request("r", deadline=timedelta(seconds=10)))
        bench.handle_after(timedelta(seconds=11), Tick())
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN
        assert not bench.emitted(CancelAttempt)
        assert len(bench.kernel.state.waiting) == 0


def test_deadline_ends_a_pause_between_attempts() -> None:
    with plain_kernel() as bench:
        bench.submit(model_request("r", deadline=PAUSE / 2))
        bench.handle(attempt_failure("r", exposure=Exposure.REFUSED))
        bench.handle_after(PAUSE, Tick())
        bench.handle(RetryDue(RequestId("r")))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN
        assert len(bench.dispatches("r")) == 1


def test_request_is_not_run_while_its_connection_is_opening() -> None:
    """A request that was never sent must be reported as NOT_RUN.

    The deadline passed while the first connection to the endpoint was being opened.
    The open attempt was counted as possibly run.
    """
    once = Repeatability.NON_IDEMPOTENT
    opening = ConnectionOpening(RequestId("r"), AttemptNumber(1))
    sent = AttemptSent(RequestId("r"), AttemptNumber(1))
    for messages, outcome in (
        ([], Outcome.UNKNOWN),
        ([opening], Outcome.NOT_RUN),
        ([opening, sent], Outcome.UNKNOWN),
    ):
        with plain_kernel() as bench:
            bench.submit(model_request("r", repeatability=once))
            for message in messages:
                bench.handle(message)
            bench.handle_after(timedelta(seconds=61), Tick())
            conclusion = bench.conclusion("r")
            assert conclusion is not None
            assert conclusion.outcome is outcome
            assert len(bench.emitted(CancelAttempt)) == 1


def test_caller_disconnect_cancels_the_attempt() -> None:
    with plain_kernel() as bench:
        bench.submit(model_request("r"))
        bench.handle(CallerGone(RequestId("r")))
        (cancel,) = bench.emitted(CancelAttempt)
        assert cancel.attempt == 1
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.problem is not None
        assert conclusion.problem.code is ProblemCode.CALLER_GONE


def test_held_request_goes_on_when_its_stage_clears_it() -> None:
    with plain_kernel(HoldingStage()) as bench:
        bench.submit(model_request("r"))
        assert not bench.dispatches("r")
        bench.handle(StageCleared("r", "another", Proceed()))
        assert not bench.dispatches("r")
        bench.handle(StageCleared("r", "holding", Proceed()))
        assert len(bench.dispatches("r")) == 1
        bench.handle(StageCleared("r", "holding", Proceed()))
        assert len(bench.dispatches("r")) == 1


def test_held_request_is_refused_by_its_stage() -> None:
    with plain_kernel(HoldingStage()) as bench:
        bench.submit(model_request("r"))
        refuse = Refuse(Problem(ProblemCode.KEY_REUSED, "another body"))
        bench.handle(StageCleared("r", "holding", refuse))
        conclusion = bench.conclusion("r")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN
        assert not bench.emitted(Dispatch)


def test_pending_placement_is_dispatched_when_placed() -> None:
    with plain_kernel(PendingPlacer()) as bench:
        bench.submit(model_request("r"))
        bench.handle(Tick())
        assert not bench.dispatches("r")
        bench.handle(Placed("r", place_on("e2")))
        (dispatch,) = bench.dispatches("r")
        assert dispatch.endpoint == "e2"
        bench.handle(Placed("r", place_on("e1")))
        assert len(bench.dispatches("r")) == 1


def test_failed_placement_refuses_or_goes_back_to_the_queue() -> None:
    with plain_kernel(PendingPlacer()) as bench:
        bench.submit(model_request("back"))
        bench.handle(PlacementFailed("back"))
        assert bench.kernel.state.waiting.waiting_for(model_request("x").target)
        refuse = Refuse(Problem(ProblemCode.PROMPT_TOO_LONG, "no room"))
        bench.submit(model_request("refused"))
        bench.handle(PlacementFailed("refused", refuse))
        conclusion = bench.conclusion("refused")
        assert conclusion is not None
        assert conclusion.outcome is Outcome.NOT_RUN


def test_waiting_request_is_dispatched_when_an_endpoint_recovers() -> None:
    with plain_kernel(endpoints=("e1",)) as bench:
        bench.handle(ProbeFailed(engine_entry("e1").endpoint))
        bench.submit(model_request("r"))
        assert not bench.dispatches("r")
        bench.report("e1")
        bench.handle(Tick())
        assert len(bench.dispatches("r")) == 1


def test_refusal_by_a_draining_endpoint_moves_the_request() -> None:
    with plain_kernel(retry=ScriptedRetry(pause=timedelta(0))) as bench:
        bench.submit(model_request("r"))
        first = bench.dispatches("r")[0]
        refusal = attempt_failure(
            "r", kind=FailureKind.REFUSED, exposure=Exposure.REFUSED
        )
        bench.handle(refusal)
        assert bench.dispatches("r")[1].endpoint != first.endpoint


def test_endpoint_that_refuses_connections_is_avoided_until_it_answers() -> None:
    """A crashed engine must not use up the retries of its callers.

    Each retry went to the crashed engine and was refused at once, until the attempts
    were used up before the next probe, because a refused connection was not recorded
    for other attempts.
    """
    with plain_kernel() as bench:
        bench.submit(model_request("first"))
        dead = bench.dispatches("first")[0].endpoint
        refused = attempt_failure(
            "first", 1, FailureKind.UNREACHED, Exposure.NEVER_SENT
        )
        bench.handle_after(MOMENT, refused)
        for number in range(20):
            name = f"other-{number}"
            bench.submit(model_request(name))
            assert bench.dispatches(name)[0].endpoint != dead
        bench.handle_after(timedelta(seconds=1), Tick())
        bench.report(dead)
        assert bench.kernel.state.fleet.endpoints[dead].unreachable_since is None


def test_stream_ids_name_the_attempt() -> None:
    with plain_kernel() as bench:
        bench.submit(model_request("r"))
        assert bench.dispatches("r")[0].stream_id == StreamId("r.1")


def test_plugin_inherits_message_handlers() -> None:
    """A derived plug-in must receive the messages that its base class handles.

    The kernel looked for handlers only in the class itself, and treated a derived
    class as one without handlers.
    """

    class Base(Plugin):
        """Records ticks."""

        def __init__(self) -> None:
            self.received: list[Message] = []

        @singledispatchmethod
        def handle(self, message: Message, context: Context) -> None:
            """Ignore other messages."""

        @handle.register
        def _(self, message: Tick, context: Context) -> None:
            self.received.append(message)

    class Derived(Base):
        """Adds nothing."""

    derived = Derived()
    with plain_kernel(derived) as bench:
        bench.handle(Tick())
        assert derived.received == [Tick()]


class SecondAttemptPendingPlacer(Placer):
    """Places the first attempt; leaves the placement of later ones pending."""

    order = 10

    def place(self, record: RequestRecord, context: Context) -> Placement:
        """Place the first attempt, leave later ones pending."""
        return PlacementPending() if record.attempts else place_on("e1")


def test_hedged_answer_that_finishes_during_a_pending_placement_counts() -> None:
    """A call with a complete answer was dispatched again and stayed open.

    Its silent attempt resumed and finished while another placement was pending.
    """
    with plain_kernel(SecondAttemptPendingPlacer()) as bench:
        bench.submit(model_request("r"))
        bench.handle(FirstToken(RequestId("r"), AttemptNumber(1)))
        silent = AttemptHedged(
            RequestId("r"), AttemptNumber(1), FailureKind.STALLED, Exposure.POSSIBLE
        )
        bench.handle(silent)
        bench.handle_after(PAUSE, RetryDue(RequestId("r")))
        bench.handle(HedgedAttemptResumed(RequestId("r"), AttemptNumber(1)))
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        bench.handle(Placed("r", place_on("e2")))
        end = bench.conclusion("r")
        assert end is not None
        assert end.outcome is Outcome.COMPLETED
        assert len(bench.dispatches("r")) == 1


load_tests = function_tests(__name__)

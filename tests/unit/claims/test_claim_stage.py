"""One run for each key, decided without any I/O."""

from datetime import timedelta

from msgspec.structs import replace

from mimosafork.ids import AttemptNumber, Digest, Incarnation, InstanceId, RequestId
from mimosafork.kernel.messages.attempts import (
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
    RetryDue,
)
from mimosafork.kernel.messages.base import Tick
from mimosafork.kernel.messages.claims import (
    AnswerKept,
    AnswerReplayed,
    ClaimState,
    EndClaim,
    FindStream,
    KeepAnswer,
    RecordStreamLocation,
    ReleaseClaim,
    ReplayAnswer,
    WriteClaim,
)
from mimosafork.kernel.messages.fleet import (
    EntryInstance,
    InstancesListed,
    LifecycleState,
)
from mimosafork.kernel.messages.outcomes import Conclude, Outcome, Retention
from mimosafork.kernel.messages.problems import ProblemCode
from mimosafork.policies.claims.stage import REQUIRED_CLAIM_TIMEOUT
from tests.support.claims import (
    CarelessRetry,
    claiming_kernel,
    found,
    keyed,
    lost,
    not_found,
    once,
    other_claim,
    overdue,
    unavailable,
    won,
    written,
)
from tests.support.functions import function_tests
from tests.support.kernels import ZONE, Bench, attempt_failure, engine_entry

LONG_GONE = timedelta(minutes=-1)


def ended(
    bench: Bench, name: str, outcome: Outcome, code: ProblemCode | None
) -> Conclude:
    """Check a request's final answer and return it."""
    conclusion = bench.conclusion(name)
    assert conclusion is not None
    assert conclusion.outcome is outcome, conclusion
    assert (conclusion.problem.code if conclusion.problem else None) is code
    return conclusion


def list_instances(bench: Bench, **incarnations: int) -> None:
    """Have the platform list this instance and others, and both engines."""
    instances = tuple(
        EntryInstance(
            InstanceId(name),
            "a:1",
            "a:2",
            ZONE,
            Incarnation(number),
            LifecycleState.LIVE,
        )
        for name, number in ({"i1": 1} | incarnations).items()
    )
    engines = (engine_entry("e1"), engine_entry("e2"))
    bench.handle(InstancesListed(engines, instances))


def test_nothing_is_sent_before_the_claim_holds() -> None:
    """A filing runs although the store never heard of it, and again on resend.

    The claim's answer takes its time. Only the store's yes lets the request out.
    """
    with claiming_kernel() as bench:
        bench.submit(once("r"))
        assert written(bench, "r").required
        assert not bench.dispatches("r")
        bench.handle(won(bench, "r"))
        (dispatch,) = bench.dispatches("r")
        assert dispatch.keep_answer


def test_store_down_refuses_what_must_run_once_and_lets_the_rest_go_on() -> None:
    """Lookups by phone stop, because drafts need a store that is down.

    Drafts are refused at once and may be sent again; lookups don't wait, the
    second one not even to find out that the store is still down.
    """
    with claiming_kernel() as bench:
        bench.submit(once("draft"))
        bench.handle(unavailable(bench, "draft"))
        code = ProblemCode.STORE_UNAVAILABLE
        conclusion = ended(bench, "draft", Outcome.NOT_RUN, code)
        assert conclusion.problem is not None
        assert conclusion.problem.retry_after is not None
        bench.submit(keyed("lookup", "other"))
        assert len(bench.dispatches("lookup")) == 1
        assert not bench.dispatches("draft")


def test_idempotent_request_waits_only_a_moment_for_a_silent_store() -> None:
    with claiming_kernel() as bench:
        bench.submit(keyed("r"))
        assert not bench.dispatches("r")
        bench.handle(overdue(bench, "r"))
        assert len(bench.dispatches("r")) == 1
        assert bench.conclusion("r") is None


def test_claim_of_unknown_fate_is_withdrawn_and_never_run() -> None:
    """A draft is refused as not run; then the store's late yes would run it.

    The answer to the claim comes after its request was given up.
    """
    with claiming_kernel() as bench:
        bench.submit(once("r"))
        late = won(bench, "r")
        bench.handle_after(REQUIRED_CLAIM_TIMEOUT, overdue(bench, "r"))
        ended(bench, "r", Outcome.NOT_RUN, ProblemCode.STORE_UNAVAILABLE)
        (release,) = bench.emitted(ReleaseClaim)
        assert release.claim_id == late.claim_id
        bench.handle(late)
        assert not bench.dispatches("r")


def test_key_with_another_body_is_refused_as_not_run() -> None:
    with claiming_kernel() as bench:
        bench.submit(once("r", body_digest=Digest("another")))
        bench.handle(lost(bench, "r", other_claim()))
        ended(bench, "r", Outcome.NOT_RUN, ProblemCode.KEY_REUSED)


def test_resend_attaches_to_the_run_of_the_first_call() -> None:
    """Two calls, one run, the same answer to both.

    Leaving again, the second one neither cancels the run nor touches the claim.
    """
    with claiming_kernel() as bench:
        bench.submit(once("r"))
        bench.handle(lost(bench, "r", other_claim()))
        (search,) = bench.emitted(FindStream)
        assert {each.endpoint for each in search.endpoints} == {"e1", "e2"}
        bench.handle(found("r", "e2", search.stream_ids[0]))
        (dispatch,) = bench.dispatches("r")
        assert dispatch.attach
        assert dispatch.endpoint == "e2"
        assert dispatch.stream_id == search.stream_ids[0]
        assert not dispatch.keep_answer
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        ended(bench, "r", Outcome.COMPLETED, None)
        assert not bench.emitted(ReleaseClaim)


def test_lost_shared_run_is_neither_denied_nor_repeated() -> None:
    """A resend hears "not run" about a draft that its first call has run.

    None of its own attempts ran anything: it still waits when its deadline
    passes, or the engine that it was to attach to has forgotten the stream.
    """
    with claiming_kernel() as bench:
        bench.submit(once("waits", deadline=timedelta(seconds=5)))
        bench.handle(lost(bench, "waits", other_claim()))
        bench.submit(once("r"))
        bench.handle(lost(bench, "r", other_claim()))
        bench.handle(found("r"))
        bench.handle(attempt_failure("r", 1, FailureKind.REFUSED, Exposure.REFUSED))
        bench.handle(RetryDue(RequestId("r")))
        ended(bench, "r", Outcome.UNKNOWN, ProblemCode.OUTCOME_UNKNOWN)
        bench.handle_after(timedelta(seconds=5), Tick())
        ended(bench, "waits", Outcome.UNKNOWN, ProblemCode.DEADLINE_PASSED)


def test_both_calls_derive_the_same_stream_id() -> None:
    with claiming_kernel() as first, claiming_kernel() as second:
        first.submit(once("r1"))
        first.handle(won(first, "r1"))
        second.submit(once("r2"))
        second.handle(lost(second, "r2", other_claim()))
        (search,) = second.emitted(FindStream)
        assert first.dispatches("r1")[0].stream_id in search.stream_ids


def test_resend_before_the_first_call_has_a_stream_is_told_to_come_back() -> None:
    with claiming_kernel() as bench:
        list_instances(bench, i2=1)
        bench.submit(once("r"))
        bench.handle(lost(bench, "r", other_claim()))
        bench.handle(not_found("r"))
        code = ProblemCode.KEY_IN_PROGRESS
        conclusion = ended(bench, "r", Outcome.UNKNOWN, code)
        assert conclusion.problem is not None
        assert conclusion.problem.retry_after is not None
        assert not bench.dispatches("r")


def test_run_of_an_instance_that_is_gone_is_never_repeated() -> None:
    """The instance that had the draft died; a resend must not make a second one.

    Gone means: listed no longer, listed with a later life, or past the deadline.
    In each case the answer is final, and nothing is sent.
    """
    cases = [
        ({}, other_claim()),
        ({"i2": 2}, other_claim()),
        ({"i2": 1}, other_claim(time_left=LONG_GONE)),
        ({}, other_claim("i1", incarnation=0)),
    ]
    for listed, existing in cases:
        with claiming_kernel() as bench:
            list_instances(bench, **listed)
            bench.submit(once("r"))
            bench.handle(lost(bench, "r", existing))
            bench.handle(not_found("r"))
            code = ProblemCode.OUTCOME_UNKNOWN
            conclusion = ended(bench, "r", Outcome.UNKNOWN, code)
            assert conclusion.problem is not None
            assert conclusion.problem.retry_after is None
            assert not bench.dispatches("r")


def test_idempotent_request_takes_over_from_an_instance_that_is_gone() -> None:
    with claiming_kernel() as bench:
        list_instances(bench)
        bench.submit(keyed("r"))
        first = written(bench, "r")
        bench.handle(lost(bench, "r", other_claim()))
        bench.handle(not_found("r"))
        second = written(bench, "r")
        assert second.replaces == other_claim().claim_id
        assert second.claim.generation == first.claim.generation + 1
        bench.handle(won(bench, "r"))
        (dispatch,) = bench.dispatches("r")
        assert dispatch.stream_id not in bench.emitted(FindStream)[0].stream_ids


def test_own_run_after_a_lost_shared_one_is_found_by_the_key_too() -> None:
    """A caller comes back for the second time, and the run is nowhere to be found.

    The run that its call was attached to was lost with its engine, and the call
    started one of its own under an id that only its instance knew.
    """
    with claiming_kernel() as bench, claiming_kernel() as other:
        bench.submit(keyed("r"))
        bench.handle(lost(bench, "r", other_claim()))
        bench.handle(found("r"))
        bench.handle(attempt_failure("r", 1, FailureKind.ENGINE_FAILED))
        bench.handle(RetryDue(RequestId("r")))
        own = bench.dispatches("r")[1]
        assert not own.attach
        other.submit(keyed("again", resume_offset=5))
        newer = replace(other_claim(), generation=1)
        other.handle(lost(other, "again", newer))
        (search,) = other.emitted(FindStream)
        assert own.stream_id in search.stream_ids


def test_resend_after_the_end_gets_the_kept_answer() -> None:
    """A resend of a finished draft would run again or be refused.

    The kept answer is delivered from the offset that the caller has; no run.
    """
    done = replace(
        other_claim(),
        state=ClaimState.DONE,
        outcome=Outcome.COMPLETED,
        answer_kept=True,
    )
    with claiming_kernel() as bench:
        bench.submit(once("r", resume_offset=4))
        bench.handle(lost(bench, "r", done))
        (replay,) = bench.emitted(ReplayAnswer)
        assert replay.offset == 4
        bench.handle(AnswerReplayed(RequestId("r"), delivered=True))
        ended(bench, "r", Outcome.COMPLETED, None)
        assert not bench.dispatches("r")


def test_kept_answer_that_cannot_be_read_is_not_called_not_run() -> None:
    """The caller of a finished draft hears "not run" and files anew.

    The object store is down when the resend comes, and the engine has forgotten.
    """
    done = replace(other_claim(), state=ClaimState.DONE, answer_kept=True)
    with claiming_kernel() as bench:
        bench.submit(once("r"))
        bench.handle(lost(bench, "r", done))
        bench.handle(AnswerReplayed(RequestId("r"), delivered=False))
        bench.handle(not_found("r"))
        conclusion = ended(bench, "r", Outcome.UNKNOWN, ProblemCode.STORE_UNAVAILABLE)
        assert conclusion.problem is not None
        assert conclusion.problem.retry_after is not None


def test_broken_stream_of_what_must_run_once_is_attached_again() -> None:
    """A draft's answer stops in the middle, and a retry would draft it twice.

    The stream runs on at its engine; attaching there runs nothing.
    """
    with claiming_kernel() as bench:
        bench.submit(once("r"))
        bench.handle(won(bench, "r"))
        first = bench.dispatches("r")[0]
        bench.handle(attempt_failure("r", delivered_tokens=7))
        bench.handle(RetryDue(RequestId("r")))
        second = bench.dispatches("r")[1]
        assert second.attach
        assert (second.endpoint, second.stream_id) == (first.endpoint, first.stream_id)
        assert second.offset == 7


def test_what_must_run_once_is_never_started_twice() -> None:
    """A retry policy with a fault in it makes two drafts of one filing.

    The engine has lost the stream, so that attaching is refused. Nothing is left
    but to say that the outcome is not known.
    """
    with claiming_kernel(retry=CarelessRetry()) as bench:
        bench.submit(once("r"))
        bench.handle(won(bench, "r"))
        bench.handle(attempt_failure("r", 1, FailureKind.BROKEN))
        bench.handle(attempt_failure("r", 2, FailureKind.REFUSED, Exposure.REFUSED))
        starts = [each for each in bench.dispatches("r") if not each.attach]
        assert len(starts) == 1
        ended(bench, "r", Outcome.UNKNOWN, ProblemCode.OUTCOME_UNKNOWN)
        (end,) = bench.emitted(EndClaim)
        assert end.outcome is Outcome.UNKNOWN


def test_claim_is_released_when_the_request_surely_never_ran() -> None:
    """A draft is refused as not run, and its resend is refused as perhaps run."""
    with claiming_kernel(endpoints=()) as bench:
        bench.submit(once("r", deadline=timedelta(seconds=5)))
        bench.handle(won(bench, "r"))
        bench.handle_after(timedelta(seconds=5), Tick())
        ended(bench, "r", Outcome.NOT_RUN, ProblemCode.DEADLINE_PASSED)
        (release,) = bench.emitted(ReleaseClaim)
        assert release.key == written(bench, "r").key


def test_answer_is_kept_before_its_end_goes_out() -> None:
    with claiming_kernel() as bench:
        bench.submit(once("r"))
        bench.handle(won(bench, "r"))
        bench.handle(FirstToken(RequestId("r"), AttemptNumber(1)))
        (note,) = bench.emitted(RecordStreamLocation)
        assert note.place.stream_id == bench.dispatches("r")[0].stream_id
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        assert len(bench.emitted(KeepAnswer)) == 1
        assert bench.conclusion("r") is None
        bench.handle(AnswerKept(RequestId("r"), kept=True))
        conclusion = ended(bench, "r", Outcome.COMPLETED, None)
        assert conclusion.retention is Retention.KEPT
        assert not bench.emitted(EndClaim)
        assert not bench.emitted(ReleaseClaim)


def test_answer_without_a_settled_claim_does_not_wait_to_be_kept() -> None:
    """Lookups end a second late while the store is down."""
    with claiming_kernel() as bench:
        bench.submit(keyed("r"))
        bench.handle(unavailable(bench, "r"))
        bench.handle(AttemptFinished(RequestId("r"), AttemptNumber(1)))
        conclusion = ended(bench, "r", Outcome.COMPLETED, None)
        assert conclusion.retention is Retention.NOT_KEPT


def test_caller_comes_back_with_its_offset_while_the_store_is_down() -> None:
    """An entry instance died in mid-answer, and the rest would be run again.

    The store is down too. The engines are asked for the stream that the key and
    body stand for, and the answer goes on where it stopped.
    """
    with claiming_kernel() as bench:
        bench.submit(keyed("r", resume_offset=9))
        bench.handle(unavailable(bench, "r"))
        (search,) = bench.emitted(FindStream)
        bench.handle(found("r", "e1", search.stream_ids[0]))
        (dispatch,) = bench.dispatches("r")
        assert dispatch.attach
        assert dispatch.offset == 9


def test_caller_that_comes_back_never_starts_what_must_run_once() -> None:
    """The rest of a draft is asked for, and the draft is made a second time.

    It was begun, says the offset. No row and no engine knows of it any more.
    """
    for store_down in (False, True):
        with claiming_kernel() as bench:
            bench.submit(once("r", resume_offset=9))
            said = unavailable(bench, "r") if store_down else won(bench, "r")
            bench.handle(said)
            bench.handle(not_found("r"))
            assert not bench.dispatches("r")
            conclusion = bench.conclusion("r")
            assert conclusion is not None
            assert conclusion.outcome is Outcome.UNKNOWN


def test_request_without_key_is_not_claimed_unless_it_must_run_once() -> None:
    with claiming_kernel() as bench:
        bench.submit(keyed("plain", idempotency_key=None))
        assert not bench.emitted(WriteClaim)
        assert len(bench.dispatches("plain")) == 1
        bench.submit(once("draft", key=None))
        first = written(bench, "draft")
        bench.submit(once("other", key=None))
        assert first.key != written(bench, "other").key


load_tests = function_tests(__name__)

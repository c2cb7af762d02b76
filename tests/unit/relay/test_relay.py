"""What the relay does with answers that go wrong, one request at a time."""

from datetime import timedelta
from queue import Empty

from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    Exposure,
    FailureKind,
    FirstToken,
)
from mimosafork.kernel.messages.dispatch import CancelAttempt
from mimosafork.kernel.messages.outcomes import Conclude, Outcome
from mimosafork.kernel.messages.problems import Problem, ProblemCode
from mimosafork.kernel.messages.requests import CallerGone
from mimosafork.relay.limits import RelayLimits
from mimosafork.relay.messages import OpenFailed
from mimosafork.relay.sequence import Judgement
from tests.support.functions import function_tests
from tests.support.relays import REQUEST, Engine, RelayBench, relay_bench

DONE = b"data: [DONE]"


def conclude(bench: RelayBench, outcome: Outcome, code: ProblemCode | None) -> None:
    """Have the kernel's final word reach the relay."""
    problem = Problem(code, "why") if code is not None else None
    bench.relay.send(Conclude(REQUEST, outcome, 1, problem))


def finish(engine: Engine, offset: int) -> None:
    """Send an engine's last event."""
    engine.event(offset, finish="length")


def failed(bench: RelayBench) -> AttemptFailed:
    """Return the failure that the kernel is told next, past first tokens."""
    message = bench.told()
    while isinstance(message, FirstToken):
        message = bench.told()
    assert isinstance(message, AttemptFailed), message
    return message


def test_a_whole_stream() -> None:
    with relay_bench() as bench:
        engine = bench.start()
        engine.event(0, "Dear ")
        assert isinstance(bench.told(), FirstToken)
        first = bench.read_until(b"Dear ")
        assert first.startswith(b"HTTP/1.1 200 OK\r\n")
        assert b"X-Attempts: 1" in first
        engine.event(1, "council")
        finish(engine, 2)
        assert isinstance(bench.told(), AttemptFinished)
        conclude(bench, Outcome.COMPLETED, None)
        rest = bench.read_all()
        assert DONE in rest and b"X-Outcome: completed" in rest
        assert rest.endswith(b"\r\n\r\n")


def test_crossed_late_and_repeated_chunks_do_not_reach_the_caller() -> None:
    """An engine mixes up connections and repeats itself.

    The caller would read another's words, those of a given-up attempt, or the
    same ones twice. Each such event is dropped and counted; the answer is whole.
    """
    with relay_bench() as bench:
        engine = bench.start()
        engine.event(0, "one ")
        engine.event(1, "CROSSED", stream_id="r2.1")
        engine.event(1, "LATE", attempt=7)
        engine.event(0, "REPEATED")
        engine.event(1, "two")
        finish(engine, 2)
        conclude_when_finished(bench)
        text = bench.read_all()
        assert b"one " in text and b"two" in text and DONE in text
        for word in (b"CROSSED", b"LATE", b"REPEATED"):
            assert word not in text
        dropped = bench.relay.ports.counters.dropped
        expected = (Judgement.CROSSED, Judgement.LATE, Judgement.REPEATED)
        assert [dropped[each] for each in expected] == [1, 1, 1]


def conclude_when_finished(bench: RelayBench) -> None:
    """Conclude once the relay has told of the end."""
    while not isinstance(bench.told(), AttemptFinished):
        pass
    conclude(bench, Outcome.COMPLETED, None)


def test_a_gap_breaks_the_attempt_and_the_next_goes_on_at_the_offset() -> None:
    """A chunk gets lost on the way, the ones behind it arrive.

    Passing them on would leave a hole that nobody sees. The attempt ends, the
    kernel is told how far the caller got, and the next attempt goes on there.
    """
    with relay_bench() as bench:
        engine = bench.start()
        engine.event(0, "one ")
        engine.event(2, "three")
        failure = failed(bench)
        assert failure.kind is FailureKind.BROKEN
        assert failure.delivered_tokens == 1
        second = bench.start(attempt=2, offset=1)
        second.event(1, "two ")
        second.event(2, "three")
        finish(second, 3)
        conclude_when_finished(bench)
        text = bench.read_all()
        assert text.count(b"three") == 1
        assert text.index(b"one ") < text.index(b"two ") < text.index(b"three")


def test_an_abandoned_attempt_is_cancelled_when_the_next_one_starts() -> None:
    """A connection breaks; the engine works on for nobody.

    It would hold its memory until the deadline. Attaching to the same stream
    must not cancel it, going elsewhere must.
    """
    with relay_bench() as bench:
        bench.start().sock.close()
        assert failed(bench).kind is FailureKind.BROKEN
        same = bench.start(attempt=2, stream_id="r1.1", attach=True)
        same.sock.close()
        assert failed(bench).exposure is Exposure.POSSIBLE
        assert bench.connector.cancelled.empty()
        bench.start(attempt=3)
        assert bench.connector.cancelled.get(timeout=5).stream_id == "r1.1"


def test_a_refusal_is_not_exposed() -> None:
    with relay_bench() as bench:
        bench.dispatch()
        bench.connect().refuse(503, "draining")
        failure = failed(bench)
        assert failure.kind is FailureKind.REFUSED
        assert failure.exposure is Exposure.REFUSED
        assert failure.refusal == "draining"
        conclude(bench, Outcome.NOT_RUN, ProblemCode.NO_ENDPOINT)
        answer = bench.read_all()
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b'"outcome":"not-run"' in answer


def test_an_error_that_is_no_refusal_may_have_run() -> None:
    """An engine answers 500: a proxy or a fault of its own.

    Only a body that says "refused" proves that nothing ran.
    """
    with relay_bench() as bench:
        bench.dispatch()
        engine = bench.connect()
        engine.sock.sendall(b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno")
        failure = failed(bench)
        assert failure.exposure is Exposure.POSSIBLE


def test_a_duplicate_is_attached_to() -> None:
    """The engine has this very stream already: an earlier send arrived after all.

    Starting another would run the request twice; the answer is read from the one
    that runs.
    """
    with relay_bench() as bench:
        bench.dispatch()
        bench.connect().refuse(409, "duplicate")
        engine = bench.connect()
        assert engine.dispatch.attach
        engine.head()
        engine.event(0, "once")
        finish(engine, 1)
        conclude_when_finished(bench)
        assert bench.read_all().count(b"once") == 1


def test_a_failure_in_mid_answer_is_told_in_the_stream() -> None:
    """The last attempt breaks after words have been delivered.

    The status line is long gone. The caller gets an error event, and the body
    stays without its last chunk, so that even a caller that does not know the
    event sees that its answer was cut.
    """
    with relay_bench() as bench:
        engine = bench.start()
        engine.event(0, "one ")
        bench.read_until(b"one ")
        engine.sock.close()
        failed(bench)
        conclude(bench, Outcome.FAILED, ProblemCode.ENDPOINT_FAILED)
        rest = bench.read_all()
        assert b"event: error" in rest and b'"outcome":"failed"' in rest
        assert DONE not in rest and not rest.endswith(b"0\r\n\r\n")


def test_a_silent_engine_is_noticed() -> None:
    """An engine freezes in mid-answer with its connection open.

    Nothing tells but the silence; without a limit the caller would wait for its
    whole deadline.
    """
    limits = RelayLimits(stall_timeout=timedelta(milliseconds=50))
    with relay_bench(limits=limits) as bench:
        bench.start().event(0, "one ")
        failure = failed(bench)
        assert failure.kind is FailureKind.STALLED
        assert failure.exposure is Exposure.POSSIBLE


def test_a_long_prefill_is_no_stall() -> None:
    """A long prompt's prefill takes longer than the limit for silence.

    Before the first token only the deadline ends the wait.
    """
    limits = RelayLimits(stall_timeout=timedelta(milliseconds=1))
    with relay_bench(limits=limits) as bench:
        engine = bench.start()
        try:
            message = bench.kernel.messages.get(timeout=0.6)
        except Empty:
            engine.event(0, "at last")
            assert isinstance(bench.told(), FirstToken)
            return
        raise AssertionError(message)


def test_a_waiting_caller_is_kept() -> None:
    """A long prompt's prefill takes minutes, and a balancer stands in between.

    It cuts connections on which nothing moves. Comments keep the caller's open;
    the answer's events come behind them, and a failure is told by an event.
    """
    limits = RelayLimits(keepalive_interval=timedelta(milliseconds=10))
    with relay_bench(limits=limits) as bench:
        engine = bench.start()
        waiting = bench.read_until(b": waiting\n\n")
        assert waiting.startswith(b"HTTP/1.1 200 OK\r\n")
        engine.event(0, "at last")
        assert b"HTTP/1.1" not in bench.read_until(b"at last")
        engine.sock.close()
        failed(bench)
        conclude(bench, Outcome.FAILED, ProblemCode.ENDPOINT_FAILED)
        assert b"event: error" in bench.read_all()


def test_a_whole_answer_is_not_begun_for_nothing() -> None:
    limits = RelayLimits(keepalive_interval=timedelta(milliseconds=10))
    with relay_bench(streamed=False, limits=limits) as bench:
        bench.dispatch()
        engine = bench.connect()
        bench.caller.settimeout(0.6)
        try:
            assert not bench.caller.recv(100)
        except TimeoutError:
            engine.refuse(503, "busy")
            assert failed(bench).refusal == "busy"
            return
        raise AssertionError("the connection ended")


def test_an_engine_that_never_answers_is_noticed() -> None:
    limits = RelayLimits(head_timeout=timedelta(milliseconds=50))
    with relay_bench(limits=limits) as bench:
        bench.dispatch()
        bench.connect()
        assert failed(bench).kind is FailureKind.STALLED


def test_a_caller_that_hangs_up_is_noticed() -> None:
    with relay_bench() as bench:
        engine = bench.start()
        engine.event(0, "one ")
        assert isinstance(bench.told(), FirstToken)
        bench.caller.close()
        assert isinstance(bench.told(), CallerGone)
        dispatch = engine.dispatch
        bench.relay.send(
            CancelAttempt(
                REQUEST,
                dispatch.attempt,
                dispatch.stream_id,
                dispatch.endpoint,
                dispatch.address,
            )
        )
        assert bench.connector.cancelled.get(timeout=5).stream_id == "r1.1"
        conclude(bench, Outcome.UNKNOWN, ProblemCode.CALLER_GONE)
        assert engine.sock.recv(1) == b"", "the engine's connection is closed"


def test_a_call_that_goes_out_after_its_cancellation_is_cancelled_again() -> None:
    """The caller hangs up while the call is still on its way to the engine.

    The cancellation overtakes the call, finds nothing to cancel, and the engine
    would run the request for nobody until its deadline.
    """
    with relay_bench() as bench:
        dispatch = bench.dispatch()
        bench.relay.send(
            CancelAttempt(
                REQUEST,
                dispatch.attempt,
                dispatch.stream_id,
                dispatch.endpoint,
                dispatch.address,
            )
        )
        bench.connector.cancelled.get(timeout=5)
        conclude(bench, Outcome.UNKNOWN, ProblemCode.DEADLINE_PASSED)
        bench.connect()
        assert bench.connector.cancelled.get(timeout=5).stream_id == "r1.1"


def test_a_slow_caller_holds_its_engine_back_and_loses_nothing() -> None:
    """A caller reads far more slowly than its engine writes.

    Keeping all that waits would let slow callers fill the memory; dropping would
    lose words. The engine is not read while too much waits.
    """
    limits = RelayLimits(high_water=20_000, low_water=5_000)
    with relay_bench(limits=limits) as bench:
        engine = bench.start()
        engine.sock.setblocking(False)
        sent = 0
        text = "x" * 2000
        try:
            while sent < 5000:
                engine.event(sent, text)
                sent += 1
        except BlockingIOError:
            pass
        assert 0 < sent < 5000, "the engine was held back"
        assert sent * len(text) < 4_000_000
        data = b""
        while data.count(text.encode()) < sent - 1:
            data += bench.caller.recv(1 << 20)


def test_no_message_waits_for_the_next_sweep() -> None:
    """Messages arrive while the relay is just waking up for an earlier one.

    A message whose wake-up was taken for the earlier one's lay in the mailbox
    until something else woke the task: answers and cancellations came up to a
    sweep late, now and then, under load.
    """
    limits = RelayLimits(sweep_interval=timedelta(seconds=60))
    with relay_bench(limits=limits) as bench:
        for attempt in range(1, 2000):
            bench.dispatch(attempt)
            bench.dispatch(attempt)
            bench.connector.opened.get(timeout=5)
            bench.connector.opened.get(timeout=5)


def test_a_fault_in_the_code_ends_one_request_alone() -> None:
    """Handling one engine's event raises, as a fault in the code would.

    The caller is told that the outcome is unknown and is not left waiting; the
    kernel hears of it, and the relay goes on.
    """
    with relay_bench() as bench:
        engine = bench.start()
        exchange = bench.relay.exchanges[REQUEST]
        exchange.answer.token = None  # type: ignore[assignment,method-assign]
        engine.event(0, "one ")
        answer = bench.read_all()
        assert answer.startswith(b"HTTP/1.1 500 ") and b'"outcome":"unknown"' in answer
        message = bench.told()
        while not isinstance(message, CallerGone):
            message = bench.told()
        conclude(bench, Outcome.UNKNOWN, ProblemCode.CALLER_GONE)
        bench.dispatch(attempt=9)
        assert isinstance(bench.told(), AttemptFailed), "the relay goes on"


def test_an_attempt_that_was_never_sent_is_told_so() -> None:
    with relay_bench(streamed=False) as bench:
        bench.dispatch()
        job = bench.connector.opened.get(timeout=5)
        bench.relay.send(
            OpenFailed(job, FailureKind.UNREACHED, Exposure.NEVER_SENT, "no route")
        )
        failure = failed(bench)
        assert failure.exposure is Exposure.NEVER_SENT
        assert failure.kind is FailureKind.UNREACHED


def test_a_whole_answer_over_two_attempts() -> None:
    with relay_bench(streamed=False) as bench:
        first = bench.start()
        first.event(0, "one ")
        first.sock.close()
        assert failed(bench).delivered_tokens == 1
        second = bench.start(attempt=2, offset=1)
        second.event(1, "two")
        finish(second, 2)
        conclude_when_finished(bench)
        answer = bench.read_all()
        assert b'"text":"one two"' in answer
        assert b'"completion_tokens":2' in answer


load_tests = function_tests(__name__)

"""What the relay does for answers that are kept or shared."""

from functools import partial
from queue import Empty, SimpleQueue

from mimosafork.claims.answers import AnswerCaptured, KeptTokens
from mimosafork.claims.replayer import AnswerToReplay
from mimosafork.kernel.messages.attempts import (
    AttemptFailed,
    AttemptFinished,
    FirstToken,
)
from mimosafork.kernel.messages.claims import AnswerReplayed
from mimosafork.kernel.messages.dispatch import CancelAttempt
from mimosafork.kernel.messages.outcomes import Conclude, Outcome, Retention
from mimosafork.kernel.messages.requests import CallerGone
from mimosafork.relay.exchange import Exchange
from mimosafork.relay.limits import RelayLimits
from tests.support.functions import function_tests
from tests.support.relays import REQUEST, RelayBench, relay_bench
from tests.support.waiting import eventually

WAIT_S = 5.0


def keeper_of(bench: RelayBench) -> SimpleQueue[AnswerCaptured]:
    """Take the place of the answer keeper."""
    captured: SimpleQueue[AnswerCaptured] = SimpleQueue()
    bench.relay.ports.keep_answer = captured.put
    return captured


def told_in_the_end(bench: RelayBench) -> object:
    """Return what the kernel is told next, past first tokens."""
    message = bench.told()
    while isinstance(message, FirstToken):
        message = bench.told()
    return message


def has_taken(exchange: Exchange, tokens: int) -> bool:
    """Return whether the relay has read all that was sent, or reads no more."""
    return exchange.paused or exchange.delivered == tokens


def test_whole_answer_over_two_attempts_is_captured_before_its_end_is_told() -> None:
    """A resend gets the half of an answer that its second attempt brought."""
    with relay_bench() as bench:
        captured = keeper_of(bench)
        first = bench.start(keep_answer=True)
        first.event(0, "Dear ")
        bench.read_until(b"Dear ")
        first.sock.close()
        assert isinstance(told_in_the_end(bench), AttemptFailed)
        second = bench.start(2, keep_answer=True, offset=1)
        second.event(1, "council")
        second.event(2, finish="length")
        assert isinstance(told_in_the_end(bench), AttemptFinished)
        answer = captured.get_nowait().answer
        assert isinstance(answer, KeptTokens)
        assert answer.texts == ("Dear ", "council")
        assert answer.finish == "length"


def test_run_goes_on_and_is_captured_when_a_slow_caller_hangs_up() -> None:
    """A caller that reads slowly hangs up, and its draft never comes to an end.

    The engine was paused for the caller. Nobody takes bytes any more, so that it
    would stay paused until the deadline, and there would be no answer to keep.
    """
    limits = RelayLimits(high_water=20_000, low_water=5_000)
    text = "x" * 2000
    with relay_bench(limits=limits) as bench:
        captured = keeper_of(bench)
        engine = bench.start(keep_answer=True)
        engine.event(0, text)
        bench.read_until(b"x")
        exchange = bench.relay.exchanges[REQUEST]
        sent = 1
        while not exchange.paused:
            # What was sent has been read by the relay before more is: else sending
            # would wait for a relay that has just paused.
            engine.event(sent, text)
            sent += 1
            eventually(partial(has_taken, exchange, sent))
        bench.caller.close()
        assert isinstance(told_in_the_end(bench), CallerGone)
        engine.event(sent, "end", finish="length")
        assert isinstance(told_in_the_end(bench), AttemptFinished)
        answer = captured.get(timeout=WAIT_S).answer
        assert isinstance(answer, KeptTokens)
        assert len(answer.texts) == sent + 1


def test_shared_stream_is_cancelled_by_the_kernel_alone() -> None:
    """One caller's broken connection cuts the answer of another under its key.

    A failed attempt is given up silently; only the kernel's word cancels.
    """
    with relay_bench() as bench:
        bench.start(shared=True).sock.close()
        assert isinstance(told_in_the_end(bench), AttemptFailed)
        engine = bench.start(2, shared=True)
        assert bench.connector.cancelled.empty()
        dispatch = engine.dispatch
        cancel = CancelAttempt(
            REQUEST,
            dispatch.attempt,
            dispatch.stream_id,
            dispatch.endpoint,
            dispatch.address,
        )
        bench.relay.send(cancel)
        try:
            cancelled = bench.connector.cancelled.get(timeout=WAIT_S)
        except Empty:
            raise AssertionError("the kernel's cancellation was passed over") from None
        assert cancelled.stream_id == dispatch.stream_id


def test_replayed_answer_ends_with_the_kernels_word() -> None:
    kept = KeptTokens(("Dear ", "council"), (1, 1), "length")
    with relay_bench() as bench:
        bench.relay.send(AnswerToReplay(REQUEST, kept, offset=0))
        assert bench.told() == AnswerReplayed(REQUEST, delivered=True)
        conclusion = Conclude(REQUEST, Outcome.COMPLETED, 0, retention=Retention.KEPT)
        bench.relay.send(conclusion)
        data = bench.read_all()
        assert b"Dear " in data and b"council" in data
        assert b"X-Answer-Kept: true" in data


def test_offset_within_an_event_is_not_replayed() -> None:
    kept = KeptTokens(("Dear council",), (2,), "length")
    with relay_bench() as bench:
        bench.relay.send(AnswerToReplay(REQUEST, kept, offset=1))
        assert bench.told() == AnswerReplayed(REQUEST, delivered=False)


load_tests = function_tests(__name__)

"""Tests of asking through broken connections and refusals."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.client.ask import Asked, Asker
from mimosafork.client.errors import BrokenAnswerError, UnreadableAnswerError
from mimosafork.client.events import (
    AnswerEvent,
    EndEvent,
    ErrorEvent,
    ProblemBody,
    TextEvent,
    read_events,
)
from mimosafork.client.transport import Question
from mimosafork.clock import ManualClock
from mimosafork.kernel.messages.outcomes import Outcome

from ...support.functions import function_tests

case = TestCase()

QUESTION = Question("reader", "Dear council", 9, "an-api-key-for-tests", "key-1")
Step = AnswerEvent | BrokenAnswerError
BROKEN = BrokenAnswerError("reset", sent=True)
UNREACHED = BrokenAnswerError("refused", sent=False)


@dataclass(frozen=True, slots=True)
class Sent:
    """One call as the transport saw it."""

    address: str
    offset: int
    time_left: timedelta


class ScriptedTransport:
    """Plays a list of steps for each call."""

    def __init__(self, *calls: list[Step]) -> None:
        self.calls = list(calls)
        self.sent: list[Sent] = []

    def send(
        self, address: str, question: Question, time_left: timedelta, offset: int
    ) -> Iterator[AnswerEvent]:
        """Play the next call's steps."""
        self.sent.append(Sent(address, offset, time_left))
        for step in self.calls.pop(0) if self.calls else [UNREACHED]:
            if isinstance(step, BrokenAnswerError):
                raise step
            yield step


def ask(transport: ScriptedTransport, *addresses: str) -> tuple[Asked, str]:
    clock = ManualClock()
    shown: list[str] = []
    asker = Asker(transport, clock, Random(1), clock.advance, shown.append)
    asked = asker.ask(QUESTION, addresses or ("a",), timedelta(seconds=20))
    return asked, "".join(shown)


def text(offset: int) -> TextEvent:
    return TextEvent(f"t{offset} ", offset, None)


def refused(outcome: str, retry_after: int | None = None) -> ErrorEvent:
    return ErrorEvent(ProblemBody("refused", outcome=outcome, retry_after=retry_after))


def test_an_answer_that_breaks_off_is_taken_up_at_its_offset() -> None:
    """The entry instance dies in mid-answer; the caller goes to another.

    Without the offset the clerk reads the beginning twice, or not at all.
    """
    transport = ScriptedTransport(
        [text(1), text(2), BROKEN], [text(2), text(3), EndEvent()]
    )
    asked, shown = ask(transport, "a", "b")
    case.assertEqual("t1 t2 t3 ", shown)
    case.assertEqual(
        (Outcome.COMPLETED, 3, 2), (asked.outcome, asked.tokens, asked.calls)
    )
    case.assertEqual(
        [("a", 0), ("b", 2)], [(each.address, each.offset) for each in transport.sent]
    )


def test_an_answer_without_its_end_is_not_whole() -> None:
    """The connection closes cleanly after some pieces, before the end event."""
    transport = ScriptedTransport([text(1)], [text(2), EndEvent()])
    asked, shown = ask(transport)
    case.assertEqual((Outcome.COMPLETED, "t1 t2 "), (asked.outcome, shown))
    case.assertEqual(2, asked.calls)


def test_a_refusal_with_a_time_to_come_back_is_followed() -> None:
    transport = ScriptedTransport([refused("not-run", 5)], [text(1), EndEvent()])
    asked, _ = ask(transport)
    case.assertIs(Outcome.COMPLETED, asked.outcome)
    case.assertEqual(timedelta(seconds=15), transport.sent[1].time_left)


def test_a_time_to_come_back_beyond_the_deadline_is_the_end() -> None:
    asked, _ = ask(ScriptedTransport([refused("not-run", 60)]))
    case.assertEqual((Outcome.NOT_RUN, 1), (asked.outcome, asked.calls))


def test_a_failure_is_final() -> None:
    asked, _ = ask(ScriptedTransport([text(1), refused("failed", 1)]))
    case.assertEqual((Outcome.FAILED, 1, 1), (asked.outcome, asked.tokens, asked.calls))


def test_not_run_is_not_said_of_a_question_that_may_have_run_before() -> None:
    """The first call breaks after it was sent, the second is refused not-run.

    The refusal is true of the second call. Told as the fate of the question it
    would have the caller send a filing again that was done.
    """
    asked, _ = ask(ScriptedTransport([BROKEN], [refused("not-run")]))
    case.assertIs(Outcome.UNKNOWN, asked.outcome)


def test_a_question_that_never_left_was_not_run() -> None:
    asked, _ = ask(ScriptedTransport())
    case.assertIs(Outcome.NOT_RUN, asked.outcome)
    case.assertGreater(asked.calls, 5)


def test_a_question_whose_answers_are_all_lost_is_unknown() -> None:
    asked, _ = ask(ScriptedTransport([BROKEN]))
    case.assertIs(Outcome.UNKNOWN, asked.outcome)


def test_events_are_cut_whatever_the_chunks() -> None:
    body = (
        b'id: 1\ndata: {"choices":[{"text":"a","finish_reason":null}]}\n\n'
        b": a comment\n\n"
        b'data: {"choices":[{"text":"","finish_reason":"length"}]}\n\n'
        b'event: error\ndata: {"error":{"title":"x","outcome":"failed"}}\n\n'
        b"data: [DONE]\n\nid: 2"
    )
    expected = [
        TextEvent("a", 1, None),
        TextEvent("", None, "length"),
        ErrorEvent(ProblemBody("x", outcome="failed")),
        EndEvent(),
    ]
    for size in (1, 7, len(body)):
        cuts = [body[at : at + size] for at in range(0, len(body), size)]
        case.assertEqual(expected, list(read_events(cuts)))
    with case.assertRaises(UnreadableAnswerError):
        list(read_events([b"data: {nonsense\n\n"]))


load_tests = function_tests(__name__)

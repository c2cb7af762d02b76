"""Asks until the answer is whole, its fate is known or the time is over."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from itertools import cycle
from random import Random

from ..clock import Clock
from ..kernel.messages.outcomes import Outcome
from .errors import BrokenAnswerError
from .events import AnswerEvent, EndEvent, ErrorEvent, ProblemBody, TextEvent
from .transport import Question, Transport

FIRST_PAUSE = timedelta(milliseconds=100)
LONGEST_PAUSE = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Asked:
    """What became of a question.

    Attributes
    ----------
    tokens : int
        Length of the answer as far as it came.
    calls : int
        How often it was sent, the first time included.
    """

    outcome: Outcome
    tokens: int
    calls: int
    finish: str | None = None
    problem: ProblemBody | None = None


@dataclass(slots=True)
class _Progress:
    """How far the answer has come."""

    tokens: int = 0
    calls: int = 0
    finish: str | None = None
    may_have_run: bool = False


class Asker:
    """Sends a question and comes back, with its key and offset, when it breaks.

    Parameters
    ----------
    transport : Transport
    clock : Clock
    random : random.Random
        Jitters the pauses.
    pause : Callable
        Waits for a `timedelta`.
    show : Callable
        Takes each new piece of the answer.
    """

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        random: Random,
        pause: Callable[[timedelta], None],
        show: Callable[[str], None],
    ) -> None:
        self.transport = transport
        self.clock = clock
        self.random = random
        self.pause = pause
        self.show = show

    def ask(
        self, question: Question, addresses: Sequence[str], time: timedelta
    ) -> Asked:
        """Return what became of a question.

        Parameters
        ----------
        addresses : sequence of str
            Entry instances, tried in turn.
        time : timedelta
            In which the whole answer must be here.

        Raises
        ------
        UnreadableAnswerError
        """
        deadline = self.clock.monotonic() + time
        progress = _Progress()
        problem = ProblemBody(title="no answer", detail="the time is over")
        wait = FIRST_PAUSE
        for address in cycle(addresses):
            left = deadline - self.clock.monotonic()
            if left <= timedelta(0):
                break
            progress.calls += 1
            before = progress.tokens
            try:
                ended = self._once(address, question, left, progress)
            except BrokenAnswerError as error:
                progress.may_have_run |= error.sent
                problem = ProblemBody(title="connection broken", detail=str(error))
                wait = FIRST_PAUSE if progress.tokens > before else wait
                self._wait(wait, deadline)
                wait = min(wait * 2, LONGEST_PAUSE)
                continue
            come_back = _come_back(ended)
            if come_back is None or self._too_late(come_back, deadline):
                return ended
            problem = ended.problem or problem
            self.pause(come_back)
        fate = Outcome.UNKNOWN if progress.may_have_run else Outcome.NOT_RUN
        return Asked(fate, progress.tokens, progress.calls, problem=problem)

    def _once(
        self, address: str, question: Question, left: timedelta, progress: _Progress
    ) -> Asked:
        events = self.transport.send(address, question, left, progress.tokens)
        for event in events:
            ended = self._take(event, progress)
            if ended is not None:
                return ended
        raise BrokenAnswerError("the answer ended before its end event", sent=True)

    def _take(self, event: AnswerEvent, progress: _Progress) -> Asked | None:
        if isinstance(event, EndEvent):
            return Asked(
                Outcome.COMPLETED, progress.tokens, progress.calls, progress.finish
            )
        if isinstance(event, ErrorEvent):
            ended = _ended_by(event.problem, progress)
            progress.may_have_run |= ended.outcome is not Outcome.NOT_RUN
            return ended
        self._show_new(event, progress)
        return None

    def _show_new(self, event: TextEvent, progress: _Progress) -> None:
        """Show a piece, unless it came before.

        An answer taken up again may repeat its last piece, if it was under way
        when the connection broke. Shown twice it would stand twice in the text.
        """
        progress.may_have_run = True
        progress.finish = event.finish or progress.finish
        if event.offset is None:
            self.show(event.text)
        elif event.offset > progress.tokens:
            progress.tokens = event.offset
            self.show(event.text)

    def _wait(self, longest: timedelta, deadline: timedelta) -> None:
        jittered = longest * (0.5 + 0.5 * self.random.random())
        left = deadline - self.clock.monotonic()
        self.pause(max(timedelta(0), min(jittered, left)))

    def _too_late(self, come_back: timedelta, deadline: timedelta) -> bool:
        return self.clock.monotonic() + come_back >= deadline


def _ended_by(problem: ProblemBody, progress: _Progress) -> Asked:
    """Return the fate that a problem states, seen over all calls.

    "Not run" is said of this call. If an earlier one may have run and its answer
    was lost, the question as a whole is not known to be not run.
    """
    known = {each.value: each for each in Outcome}
    outcome = known.get(problem.outcome, Outcome.UNKNOWN)
    if outcome is Outcome.NOT_RUN and progress.may_have_run:
        outcome = Outcome.UNKNOWN
    return Asked(outcome, progress.tokens, progress.calls, problem=problem)


def _come_back(ended: Asked) -> timedelta | None:
    """Return when to send the question again; None if that is no use."""
    problem = ended.problem
    if problem is None or problem.retry_after is None:
        return None
    if problem.outcome != Outcome.NOT_RUN.value:
        return None
    return timedelta(seconds=problem.retry_after)

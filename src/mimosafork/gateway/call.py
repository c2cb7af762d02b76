"""A caller's call while it is open: what has been sent to the caller of it."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from ..ids import AccountId, RequestId
from ..kernel.messages.requests import Request
from ..routing.table import Route
from .answer_reader import AnswerHead
from .dialect import CallMarks
from .event_stream import StreamEvent
from .heads import Header
from .request_reader import RequestMessage


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An endpoint's answer, read to its end."""

    head: AnswerHead
    body: bytes


class Responder(Protocol):
    """The caller's connection, as a call sees it."""

    def answer(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a whole answer."""

    def begin(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Send the head of an answer whose body comes in parts."""

    def part(self, data: bytes) -> None:
        """Send a part of a body that was begun."""

    def end(self) -> None:
        """End a body that was begun; it is whole."""

    def break_off(self) -> None:
        """Close the connection so that the answer can't look whole."""


@dataclass(slots=True)
class Call:
    """An open call.

    Attributes
    ----------
    request_id : RequestId
        This instance's own; the caller's stands in `marks`.
    arrived_at : timedelta
        Monotonic instant of the first byte.
    head_sent : bool
        The caller has got the head of its answer.
    last_event : int or None
        Number of the last event that the caller has: sent to it, or named by it.
    events : int
        Events sent to the caller.
    failure : WholeAnswer or None
        An endpoint's own answer that tells of a failure, for the caller if nothing
        better follows.
    first_sent_at : timedelta or None
        When the first event, or the answer, went out.
    """

    request_id: RequestId
    message: RequestMessage
    marks: CallMarks
    route: Route
    account: AccountId | None
    request: Request
    responder: Responder
    arrived_at: timedelta
    head_sent: bool = False
    last_event: int | None = None
    events: int = 0
    failure: WholeAnswer | None = None
    first_sent_at: timedelta | None = None
    status: int = 0
    concluded: bool = False

    @property
    def begun(self) -> bool:
        """Whether the caller has got a part of its answer."""
        return self.head_sent

    def begin_stream(self, head: AnswerHead, headers: list[Header]) -> None:
        """Send the head of a stream, unless an earlier attempt has.

        The caller keeps the head and the signature of the first endpoint when
        another one goes on with the stream.
        """
        if self.head_sent:
            return
        self.head_sent = True
        self.status = head.status
        self.responder.begin(head.status, head.reason, headers)

    def pass_event(self, event: StreamEvent, now: timedelta) -> None:
        """Send an event, unless the caller has it already.

        An endpoint that goes on with a stream may begin too early; an event that
        came twice would double its text.
        """
        if event.number is not None:
            if self.last_event is not None and event.number <= self.last_event:
                return
            self.last_event = event.number
        if self.first_sent_at is None:
            self.first_sent_at = now
        self.events += 1
        self.responder.part(event.data)

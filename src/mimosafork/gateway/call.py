"""A caller's call while it is open: what has been sent to the caller of it."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..ids import AccountId, AvailabilityZoneId, EndpointId, RequestId
from ..kernel.messages.dispatch import PrefillHelper
from ..kernel.messages.requests import Request
from ..routing.table import Route
from .attempt_diagnostics import AttemptDiagnostics
from .dialect import CallMetadata
from .event_stream import RawStreamEvent
from .heads import Header
from .instance_view import DecisionInputs
from .request_reader import RequestMessage
from .response_reader import ResponseHead


class CompleteResponse(msgspec.Struct, frozen=True):
    """An endpoint's answer, read to its end."""

    head: ResponseHead
    body: bytes


class Responder(Protocol):
    """The caller's connection, as a call sees it."""

    def send_response(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a whole answer."""

    def begin_response(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Send the head of an answer whose body comes in parts."""

    def send_body(self, data: bytes) -> None:
        """Send a part of a body that was begun."""

    def end_response(self) -> None:
        """End a body that was begun; it is whole."""

    def abort_response(self) -> None:
        """Close the connection so that the answer can't look whole."""


class Call(msgspec.Struct):
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
    endpoint_failure : CompleteResponse or None
        An endpoint's own answer that tells of a failure, for the caller if nothing
        better follows.
    first_sent_at, last_sent_at : timedelta or None
        When the first event, or the answer, and the latest event went out.
    cut : bool
        The connection was closed in the middle of the answer, which had begun.
    longest_pause : timedelta or None
        Between two events in turn; None before the second.
    version : int or None
        Of the configuration by which it was taken.
    endpoints : list of EndpointId
        To which it was sent, in order.
    helpers : tuple of PrefillHelper
        Of the latest attempt.
    placed_at : timedelta or None
        When it was first given a place.
    inputs : Inputs or None
        By which it was last given one.
    behind : bool
        The caller doesn't keep up: nothing more should be read for it.
    diagnostics : AttemptDiagnostics
        Of the latest attempt.
    zones : list of AvailabilityZoneId or None
        Of `endpoints`, in their order.
    first_token_at : timedelta or None
        Monotonic instant at which placement expected the first event, by the attempt
        that was to bring it.
    """

    request_id: RequestId
    message: RequestMessage
    metadata: CallMetadata
    route: Route
    account: AccountId | None
    request: Request
    responder: Responder
    arrived_at: timedelta
    head_sent: bool = False
    last_event_id: int | None = None
    events_sent: int = 0
    endpoint_failure: CompleteResponse | None = None
    first_sent_at: timedelta | None = None
    status: int = 0
    concluded: bool = False
    cut: bool = False
    last_sent_at: timedelta | None = None
    longest_pause: timedelta | None = None
    table_version: int | None = None
    endpoints: list[EndpointId] = msgspec.field(default_factory=list)
    helpers: tuple[PrefillHelper, ...] = ()
    placed_at: timedelta | None = None
    inputs: DecisionInputs | None = None
    caller_stalled: bool = False
    diagnostics: AttemptDiagnostics = msgspec.field(default_factory=AttemptDiagnostics)
    zones: list[AvailabilityZoneId | None] = msgspec.field(default_factory=list)
    first_token_at: timedelta | None = None

    @property
    def begun(self) -> bool:
        """Whether the caller has got a part of its answer."""
        return self.head_sent

    def begin_stream(self, head: ResponseHead, headers: list[Header]) -> None:
        """Send the head of a stream, unless an earlier attempt has.

        The caller keeps the head and the signature of the first endpoint when
        another one goes on with the stream.
        """
        if self.head_sent:
            return
        self.head_sent = True
        self.status = head.status
        self.responder.begin_response(head.status, head.reason, headers)

    def forward_event(self, event: RawStreamEvent, now: timedelta) -> None:
        """Send an event, unless the caller has it already.

        An endpoint that goes on with a stream may begin too early; an event that
        came twice would double its text.
        """
        if event.number is not None:
            if self.last_event_id is not None and event.number <= self.last_event_id:
                return
            self.last_event_id = event.number
        self._note_pause(now)
        self.events_sent += 1
        self.responder.send_body(event.data)

    def _note_pause(self, now: timedelta) -> None:
        if self.first_sent_at is None:
            self.first_sent_at = now
        if self.last_sent_at is not None:
            pause = now - self.last_sent_at
            if self.longest_pause is None or pause > self.longest_pause:
                self.longest_pause = pause
        self.last_sent_at = now

"""State of an open call and of its response to the caller."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..ids import AccountId, AvailabilityZoneId, EndpointId, RequestId
from ..kernel.messages.dispatch import PrefillHelper
from ..kernel.messages.requests import Request
from ..routing.table import Route
from .attempt_diagnostics import AttemptDiagnostics
from .dialect import CallMetadata
from .event_id import EventId
from .event_stream import RawStreamEvent
from .heads import Header
from .instance_view import DecisionInputs
from .intake import AdmittedCall
from .request_reader import RequestMessage
from .response_reader import ResponseHead


class CompleteResponse(msgspec.Struct, frozen=True):
    """A response of an endpoint with its complete body."""

    head: ResponseHead
    body: bytes


class Responder(Protocol):
    """Interface of a call to the caller's connection."""

    def send_response(
        self, status: int, reason: bytes, headers: list[Header], body: bytes
    ) -> None:
        """Send a complete response."""

    def begin_response(self, status: int, reason: bytes, headers: list[Header]) -> None:
        """Send the head of a response whose body follows in parts."""

    def send_body(self, data: bytes) -> None:
        """Send a part of the body."""

    def end_response(self) -> None:
        """Complete the body."""

    def abort_response(self) -> None:
        """Abort the connection so that the response can't look complete."""


class Call(msgspec.Struct):
    """An open call.

    Attributes
    ----------
    request_id : RequestId
        Id that this instance assigned; the caller's own id is in `metadata`.
    arrived_at : timedelta
        Monotonic time of the first byte.
    head_sent : bool
        Whether the response head was sent to the caller.
    last_event_id : EventId or None
        Last event that the caller has: sent to it, or named in its request.
    position_certain : bool
        Whether `last_event_id` is known to be the last event that the caller has; a
        stream is resumed only behind a certain one.
    events_sent : int
        Number of events sent to the caller.
    events_dropped : int
        Number of events that were received but not sent, as the caller has them.
    endpoint_failure : CompleteResponse or None
        Error response of an endpoint; sent to the caller if no later attempt
        succeeds.
    first_sent_at, last_sent_at : timedelta or None
        When the first event or the complete response, and the latest event, were sent.
    cut : bool
        Whether the connection was closed in the middle of the response.
    longest_pause : timedelta or None
        Longest time between consecutive events; None before the second event.
    table_version : int or None
        Version of the routing table that admitted the call.
    endpoints : list of EndpointId
        Endpoints of all attempts, in order.
    helpers : tuple of PrefillHelper
        Helpers of the latest attempt.
    placed_at : timedelta or None
        When the call was first placed.
    inputs : DecisionInputs or None
        Inputs of the latest placement.
    caller_stalled : bool
        Whether the caller reads too slowly, so that reading for it is paused.
    diagnostics : AttemptDiagnostics
        Diagnostics of the latest attempt.
    zones : list of AvailabilityZoneId or None
        Zones of `endpoints`, in their order.
    first_token_at : timedelta or None
        Monotonic time of the first event as predicted at the latest placement before
        the first event.
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
    last_event_id: EventId | None = None
    position_certain: bool = True
    events_sent: int = 0
    events_dropped: int = 0
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
        """Whether part of the response was sent to the caller."""
        return self.head_sent

    @property
    def last_event_number(self) -> int | None:
        """Number of the last event that the caller has, if it is known."""
        return None if self.last_event_id is None else self.last_event_id.number

    def begin_stream(self, head: ResponseHead, headers: list[Header]) -> None:
        """Send the head of a stream, unless an earlier attempt has sent it.

        When another endpoint resumes the stream, the head and the signature of the
        first one remain valid for the caller.
        """
        if self.head_sent:
            return
        self.head_sent = True
        self.status = head.status
        self.responder.begin_response(head.status, head.reason, headers)

    def has_event(self, event: RawStreamEvent) -> bool:
        """Return whether the caller has an event, by its id."""
        latest = self.last_event_number
        if event.number is None or latest is None:
            return False
        return event.number <= latest

    def forward_event(self, event: RawStreamEvent, now: timedelta) -> None:
        """Send an event."""
        if event.id is not None:
            self.last_event_id = event.id
            self.position_certain = True
        elif event.is_unplaced:
            self.position_certain = False
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


def new_call(
    message: RequestMessage,
    metadata: CallMetadata,
    admission: AdmittedCall,
    responder: Responder,
    arrived_at: timedelta,
) -> Call:
    """Return the state of a call that was admitted."""
    return Call(
        admission.request.request_id,
        message,
        metadata,
        admission.route,
        admission.account,
        admission.request,
        responder,
        arrived_at,
        last_event_id=metadata.last_event_id,
        table_version=admission.version,
    )

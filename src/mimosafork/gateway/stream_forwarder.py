"""Forwards the events of one attempt, each of them once."""

from collections.abc import Iterator
from datetime import timedelta

from .call import Call
from .errors import BadResponseError, EventOrderError
from .event_stream import EventReader, RawStreamEvent


class StreamForwarder:
    """Passes the events of an attempt on to the caller.

    An endpoint that resumes a stream may start too early, so events up to the caller's
    position are dropped. Such a run has to contain the position itself: otherwise an id
    is wrong, and events that the caller lacks could be dropped, or sent twice.

    Attributes
    ----------
    dropped_id : int or None
        Id of the latest event that was dropped.
    resumes : bool
        Whether the attempt continues a stream.
    forwarded : bool
        Whether a part of the answer was sent to the caller.
    """

    def __init__(self, call: Call) -> None:
        self.call = call
        self.reader = EventReader()
        self.dropped_id: int | None = None
        self.resumes = call.last_event_id is not None
        self.forwarded = False

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self.reader.splitter.remainder

    def read(self, data: bytes) -> Iterator[RawStreamEvent]:
        """Yield the events that received bytes complete.

        Raises
        ------
        BadResponseError
            If they are no events of a stream, or out of order.
        """
        return self.reader.feed(data)

    def forward(self, event: RawStreamEvent, now: timedelta) -> None:
        """Send an event, unless the caller already has it.

        Raises
        ------
        EventOrderError
            If the events that were dropped do not lead to this one, or it is unknown
            whether the caller has it.
        """
        if self.call.has_event(event):
            self.call.events_dropped += 1
            self.dropped_id = event.number
            return
        unknown = event.is_unplaced and self.resumes and not self.forwarded
        if unknown or self.misses_position:
            raise EventOrderError(event.data)
        self.dropped_id = None
        self.forwarded = self.forwarded or event.id is not None or event.is_unplaced
        self.call.forward_event(event, now)

    @property
    def misses_position(self) -> bool:
        """Whether events were dropped, and the caller's latest is not the last one."""
        dropped = self.dropped_id
        return dropped is not None and dropped != self.call.last_event_number

    def note_failure(self, error: BadResponseError) -> None:
        """Record whether the caller's position is still certain after an error.

        Of ids that are out of order, any may be the wrong one.
        """
        if not isinstance(error, EventOrderError) or not self.forwarded:
            return
        call = self.call
        call.position_certain = False
        # The instance that has forwarded the call here would resume it, unless it
        # receives what shows that an id is wrong.
        if call.request.forwarded_by is not None:
            call.responder.send_body(error.event)

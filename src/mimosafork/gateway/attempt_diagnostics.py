"""Diagnostics of an attempt for the log: zones, connection and prediction."""

from datetime import timedelta

import msgspec

from ..ids import AvailabilityZoneId
from .dialect import ResponseMetadata
from .response_reader import ResponseHead
from .upstream import ConnectionLoss, EndpointConnection

UNKNOWN_NAME = "?"
"""Placeholder in a list of zones for an endpoint that is no longer known."""


class NameList(msgspec.Struct, frozen=True):
    """Names that are joined lazily, when the log line is formatted."""

    names: tuple[str | None, ...]

    def __str__(self) -> str:
        """Return the names joined by commas."""
        return ",".join(name or UNKNOWN_NAME for name in self.names)


class AttemptPlacement(msgspec.Struct, frozen=True):
    """Zones of an attempt and its predicted first token.

    Attributes
    ----------
    zone : AvailabilityZoneId or None
        Zone of the endpoint; None if unknown.
    helper_zones : tuple of AvailabilityZoneId or None
        Zones of the helpers, in the order of the helpers.
    first_token_at : timedelta or None
        Monotonic time of the predicted first token; None without a prediction.
    """

    zone: AvailabilityZoneId | None = None
    helper_zones: tuple[AvailabilityZoneId | None, ...] = ()
    first_token_at: timedelta | None = None


class ConnectionUse(msgspec.Struct, frozen=True):
    """The connection of an attempt, as it was when the request was sent.

    Attributes
    ----------
    number : int
        Number of the connection among those that the instance has opened.
    earlier_calls : int
        Number of calls that were sent on it before.
    same_call : bool
        Whether an earlier attempt of the same call was sent on it.
    """

    number: int
    earlier_calls: int
    same_call: bool


class ResponseStatement(msgspec.Struct, frozen=True):
    """What the head of a response states, written as words when a line is formatted."""

    status: int
    metadata: ResponseMetadata

    def __str__(self) -> str:
        """Return the status, and what the response says of the run and the call."""
        words = [str(self.status)]
        if self.metadata.signed:
            words.append("signed")
        if self.metadata.not_run:
            words.append("not-run")
        words.append("no-id" if self.metadata.call_id is None else "own-id")
        return " ".join(words)


class AttemptDiagnostics(msgspec.Struct):
    """Diagnostics of a call's latest attempt.

    Attributes
    ----------
    placement : AttemptPlacement
    connecting_since : timedelta or None
        Monotonic time at which a new connection was requested; None if a pooled one
        was used.
    connect_time : timedelta or None
        How long the connect took until it succeeded or failed.
    connection_loss : ConnectionLoss or None
        How the connection was lost; None if it wasn't.
    unframed : bool
        Whether the end of the connection ends the response.
    partial_event_bytes : int
        Bytes after the last complete event when a stream ended.
    connection : ConnectionUse or None
        None if nothing was sent.
    sent_at : timedelta or None
        Monotonic time at which the request was sent; None if it wasn't.
    response : ResponseStatement or None
        What the response states; None before its head.
    """

    placement: AttemptPlacement = AttemptPlacement()
    connecting_since: timedelta | None = None
    connect_time: timedelta | None = None
    connection_loss: ConnectionLoss | None = None
    unframed: bool = False
    partial_event_bytes: int = 0
    connection: ConnectionUse | None = None
    sent_at: timedelta | None = None
    response: ResponseStatement | None = None

    @property
    def unidentified(self) -> bool:
        """Whether the response did not state the id of its call."""
        return self.response is not None and self.response.metadata.call_id is None

    def note_sent(
        self, connection: EndpointConnection, call_id: str, now: timedelta
    ) -> None:
        """Record the connection on which the request is about to be sent."""
        self.sent_at = now
        self.connection = ConnectionUse(
            connection.number,
            connection.use_count,
            connection.matcher.has_carried(call_id),
        )

    def note_response(self, head: ResponseHead, metadata: ResponseMetadata) -> None:
        """Record the head of the response."""
        self.unframed = not head.framed
        self.response = ResponseStatement(head.status, metadata)

    def note_connected(self, now: timedelta) -> None:
        """Record that connecting has succeeded or failed."""
        if self.connecting_since is not None and self.connect_time is None:
            self.connect_time = now - self.connecting_since

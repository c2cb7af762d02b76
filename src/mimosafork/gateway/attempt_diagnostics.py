"""Diagnostics of an attempt for the log: zones, connection and prediction."""

from datetime import timedelta

import msgspec

from ..ids import AvailabilityZoneId
from .upstream import ConnectionLoss

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
    """

    placement: AttemptPlacement = AttemptPlacement()
    connecting_since: timedelta | None = None
    connect_time: timedelta | None = None
    connection_loss: ConnectionLoss | None = None
    unframed: bool = False
    partial_event_bytes: int = 0

    def note_connected(self, now: timedelta) -> None:
        """Record that connecting has succeeded or failed."""
        if self.connecting_since is not None and self.connect_time is None:
            self.connect_time = now - self.connecting_since

"""What the log tells of an attempt beside its outcome: zones, connection, forecast."""

from datetime import timedelta

import msgspec

from ..ids import AvailabilityZoneId
from .upstream import ConnectionLoss

UNNAMED = "?"
"""Stands in a list of zones for an endpoint that is no longer known."""


class NameList(msgspec.Struct, frozen=True):
    """Names that become one text where a line is written, and only there."""

    names: tuple[str | None, ...]

    def __str__(self) -> str:
        """Return them joined by commas."""
        return ",".join(name or UNNAMED for name in self.names)


class AttemptPlacement(msgspec.Struct, frozen=True):
    """Where an attempt goes, and what placement expects of it.

    Attributes
    ----------
    zone : AvailabilityZoneId or None
        Of the endpoint; None if it is not known.
    helper_zones : tuple of AvailabilityZoneId or None
        Of the helpers, in their order.
    first_token_at : timedelta or None
        Monotonic instant of the predicted first token; None without a forecast.
    """

    zone: AvailabilityZoneId | None = None
    helper_zones: tuple[AvailabilityZoneId | None, ...] = ()
    first_token_at: timedelta | None = None


class AttemptDiagnostics(msgspec.Struct):
    """What is noted of a call's latest attempt.

    Attributes
    ----------
    spread : Spread
    connecting_since : timedelta or None
        Monotonic instant at which a connection was wanted for it; None if a kept one
        was taken.
    connect_time : timedelta or None
        Until it was open, or could not be opened.
    ending : ConnectionLoss or None
        How its connection ended; None if it was not, or goes on.
    """

    placement: AttemptPlacement = AttemptPlacement()
    connecting_since: timedelta | None = None
    connect_time: timedelta | None = None
    connection_loss: ConnectionLoss | None = None

    def note_connected(self, now: timedelta) -> None:
        """Note that a connection that was wanted is open, or never will be."""
        if self.connecting_since is not None and self.connect_time is None:
            self.connect_time = now - self.connecting_since

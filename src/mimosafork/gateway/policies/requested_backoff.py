"""Backoff that an endpoint has requested from this instance."""

from datetime import timedelta

import msgspec

RAMP = timedelta(seconds=1)
"""Time after a backoff in which placements are spaced. Calls that waited for its end
would overload the endpoint again if all were sent at once."""

PLACEMENT_INTERVAL = timedelta(milliseconds=100)


class RequestedBackoff(msgspec.Struct):
    """Time in which an endpoint receives no request from this instance.

    Attributes
    ----------
    ends_at : timedelta
        Monotonic instant of the latest end that was requested; 0 if none was.
    next_placement_at : timedelta
        Monotonic instant of the next placement in the ramp after a backoff.
    """

    ends_at: timedelta = timedelta(0)
    next_placement_at: timedelta = timedelta(0)

    def active(self, now: timedelta) -> bool:
        """Return whether the endpoint may receive no request now."""
        return now < self.ends_at

    def delays_placement(self, now: timedelta) -> bool:
        """Return whether no call may be placed on the endpoint now."""
        return now < max(self.ends_at, self.next_placement_at)

    def extend(self, duration: timedelta, now: timedelta) -> None:
        """Apply a request; an earlier one stays in force until its own end."""
        self.ends_at = max(self.ends_at, now + duration)

    def note_placed(self, now: timedelta) -> None:
        """Space the next placement if the backoff has ended only recently."""
        if self.ends_at and self.ends_at <= now < self.ends_at + RAMP:
            self.next_placement_at = now + PLACEMENT_INTERVAL

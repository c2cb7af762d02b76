"""Silence of an endpoint during one attempt."""

from datetime import timedelta

from ..kernel.messages.dispatch import SilenceTimeouts

REPORT_INTERVAL_SHARE = 0.25
"""Share of the allowed silence after which a continuing silence is reported again."""


class SilenceTimer:
    """Measures how long an endpoint has sent nothing.

    Attributes
    ----------
    last_event_at : timedelta
        Monotonic instant of the latest event, or of the start.
    paused : bool
        Whether reading is paused for a slow caller; the endpoint isn't silent then.
    next_report_at : timedelta
        A silence is reported no earlier.
    """

    def __init__(self, timeouts: SilenceTimeouts | None, now: timedelta) -> None:
        self.timeouts = timeouts
        self.last_event_at = now
        self.paused = False
        self.next_report_at = now

    def exceeded(self, event_seen: bool, now: timedelta) -> timedelta | None:
        """Return the silence if it is too long and due to be reported.

        A continuing silence is reported repeatedly, at shorter intervals than the
        allowed silence, because its explanation may end long before the silence has
        doubled.
        """
        if self.paused:
            self.last_event_at = now
        if self.timeouts is None:
            return None
        allowed = (
            self.timeouts.between_events if event_seen else self.timeouts.first_event
        )
        silence = now - self.last_event_at
        if silence < allowed or now < self.next_report_at:
            return None
        self.next_report_at = now + allowed * REPORT_INTERVAL_SHARE
        return silence

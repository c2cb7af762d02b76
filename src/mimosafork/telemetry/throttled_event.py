"""An event that is logged at bounded intervals."""

from datetime import timedelta
from logging import Logger
from typing import Any

from .events import Event
from .logs import log_event


class ThrottledEvent:
    """Logs an event at most once per interval, with its number of occurrences.

    Parameters
    ----------
    event : Event
        Has a field `count`.
    """

    def __init__(self, logger: Logger, event: Event, interval: timedelta) -> None:
        self.logger = logger
        self.event = event
        self.interval = interval
        self.count = 0
        self.logged_at: timedelta | None = None

    def occurred(self, now: timedelta, **fields: Any) -> None:
        """Count an occurrence, and log it unless one was logged recently."""
        self.count += 1
        if self.logged_at is not None and now - self.logged_at < self.interval:
            return
        self.logged_at = now
        log_event(self.logger, self.event, count=self.count, **fields)

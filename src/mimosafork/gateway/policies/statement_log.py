"""Log lines about what endpoints announce in their responses."""

from datetime import timedelta
from logging import getLogger

from ...ids import EndpointId
from ...routing.listing import ListedEndpoint
from ...telemetry.catalogue.rate_limits import (
    BACKOFF_REQUESTED,
    BACKOFF_UNREADABLE,
    LEAVING_ANNOUNCED,
)
from ...telemetry.logs import log_event
from ...telemetry.throttled_event import ThrottledEvent

logger = getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
UNREADABLE_LOG_INTERVAL = timedelta(seconds=10)


class StatementLog:
    """Logs announcements, and unreadable ones at bounded intervals."""

    def __init__(self) -> None:
        self.unreadable_backoffs = ThrottledEvent(
            logger, BACKOFF_UNREADABLE, UNREADABLE_LOG_INTERVAL
        )

    def leaving(self, listed: ListedEndpoint) -> None:
        """Log that an endpoint has announced that it is about to exit."""
        log_event(
            logger,
            LEAVING_ANNOUNCED,
            endpoint=listed.endpoint,
            service=listed.service,
        )

    def backoff(self, listed: ListedEndpoint, duration: timedelta) -> None:
        """Log that an endpoint wants no request for some time."""
        log_event(
            logger,
            BACKOFF_REQUESTED,
            endpoint=listed.endpoint,
            service=listed.service,
            for_ms=duration // MILLISECOND,
        )

    def unreadable_backoff(self, endpoint: EndpointId, now: timedelta) -> None:
        """Log that a requested backoff is not a valid number."""
        self.unreadable_backoffs.occurred(now, endpoint=endpoint)

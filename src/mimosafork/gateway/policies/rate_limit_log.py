"""Log lines about rate limits that endpoints state."""

from datetime import timedelta
from logging import getLogger

from ...ids import EndpointId
from ...telemetry.catalogue.rate_limits import (
    RATE_LIMIT_CHANGED,
    RATE_LIMIT_ENDED,
    RATE_LIMIT_UNREADABLE,
)
from ...telemetry.logs import log_event
from ...telemetry.throttled_event import ThrottledEvent
from .limited_endpoint import LimitedEndpoint

logger = getLogger(__name__)

UNREADABLE_LOG_INTERVAL = timedelta(seconds=10)


class RateLimitLog:
    """Logs changes of limits, and unreadable ones at bounded intervals."""

    def __init__(self) -> None:
        self.unreadable_limits = ThrottledEvent(
            logger, RATE_LIMIT_UNREADABLE, UNREADABLE_LOG_INTERVAL
        )

    def changed(
        self,
        endpoint: EndpointId,
        before: float | None,
        limited: LimitedEndpoint,
    ) -> None:
        """Log that a limit has begun or changed."""
        log_event(
            logger,
            RATE_LIMIT_CHANGED,
            endpoint=endpoint,
            per_s=limited.per_s,
            before=before,
            taken=len(limited.free_at),
            portion=limited.portion,
            span_ms=int(limited.allowance.span / timedelta(milliseconds=1)),
        )

    def ended(self, endpoint: EndpointId, before: float | None) -> None:
        """Log that a limit has ended."""
        log_event(logger, RATE_LIMIT_ENDED, endpoint=endpoint, before=before)

    def unreadable(self, endpoint: EndpointId, now: timedelta) -> None:
        """Log that a limit is not a valid number."""
        self.unreadable_limits.occurred(now, endpoint=endpoint)

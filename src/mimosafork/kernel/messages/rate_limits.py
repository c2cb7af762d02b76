"""Rate limits that endpoints state in their responses."""

from datetime import timedelta

import msgspec
from msgspec.structs import replace

from ...ids import EndpointId, RequestId
from .base import Effect, Message


class LimitStatement(msgspec.Struct, frozen=True):
    """What the response to one request states about an endpoint's rate limit.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all instances together; None without a limit.
    requested_at, received_at : timedelta
        Monotonic instants between which the endpoint stated it.
    """

    per_s: float | None
    requested_at: timedelta
    received_at: timedelta

    def supersedes(self, other: "LimitStatement") -> bool:
        """Return whether this statement replaces another one.

        Responses may overtake each other. Where the order of two statements is unknown,
        the stricter one counts.
        """
        if self.requested_at > other.received_at:
            return True
        if self.received_at < other.requested_at:
            return False
        if self.per_s is None:
            return other.per_s is None
        return other.per_s is None or self.per_s <= other.per_s

    def merged_with(self, superseded: "LimitStatement") -> "LimitStatement":
        """Return this statement, known to hold as late as the one that it replaces."""
        if self.received_at >= superseded.received_at:
            return self
        return replace(self, received_at=superseded.received_at)


class RateLimitStated(Message, frozen=True):
    """An endpoint's response has stated a rate limit or, after a limit, none."""

    endpoint: EndpointId
    request_id: RequestId
    statement: LimitStatement


class PeerRateLimitStated(Message, frozen=True):
    """A peer has received a statement of an endpoint, in times of the own clock."""

    endpoint: EndpointId
    statement: LimitStatement


class PublishRateLimit(Effect, frozen=True):
    """Publish a statement of an endpoint to peers."""

    endpoint: EndpointId
    statement: LimitStatement


class RateLimitUnreadable(Message, frozen=True):
    """An endpoint's response has stated a rate limit that is not a valid number."""

    endpoint: EndpointId

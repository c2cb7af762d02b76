"""What endpoints state about themselves in their responses."""

from datetime import timedelta

from ...ids import EndpointId
from .base import Effect, Message


class LeavingAnnounced(Message, frozen=True):
    """An endpoint's response has announced that the endpoint is about to exit.

    Attributes
    ----------
    requested_at : timedelta
        Monotonic instant at which the request was sent.
    """

    endpoint: EndpointId
    requested_at: timedelta


class BackoffRequested(Message, frozen=True):
    """An endpoint has rejected a request and wants no further one for some time.

    Attributes
    ----------
    requested_at : timedelta
        Monotonic instant at which the rejected request was sent.
    duration : timedelta
        From the rejection on.
    """

    endpoint: EndpointId
    requested_at: timedelta
    duration: timedelta


class BackoffUnreadable(Message, frozen=True):
    """An endpoint has requested a backoff that is not a valid number."""

    endpoint: EndpointId


class MarkDraining(Effect, frozen=True):
    """Have the directory list an endpoint as draining, and publish it to peers."""

    endpoint: EndpointId

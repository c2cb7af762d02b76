"""In-flight work that is published to peers."""

from ...ids import RequestId
from ...placement.load_tracker import InFlightRequest
from .base import Effect


class PublishWork(Effect, frozen=True):
    """Publish that own work was dispatched or has produced its first token."""

    work: InFlightRequest


class PublishWorkEnd(Effect, frozen=True):
    """Publish that own work has ended."""

    request_id: RequestId

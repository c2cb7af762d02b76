"""In-flight work and crash suspicions, published to and received from peers."""

from ...ids import Digest, EndpointId, RequestId
from ...placement.load_tracker import InFlightRequest
from .base import Effect, Message


class PublishWork(Effect, frozen=True):
    """Publish that own work was dispatched or has produced its first token."""

    work: InFlightRequest


class PublishWorkEnd(Effect, frozen=True):
    """Publish that own work has ended."""

    request_id: RequestId


class PublishCrashSuspicion(Effect, frozen=True):
    """Publish that an endpoint's connection broke while it ran a request."""

    digest: Digest
    endpoint: EndpointId


class PublishCrashClearance(Effect, frozen=True):
    """Publish that a suspected request has run to completion."""

    digest: Digest


class CrashSuspicionUpdated(Message, frozen=True):
    """The combined suspicion of all instances against a request has changed."""

    digest: Digest
    endpoints: frozenset[EndpointId]
    cleared: bool

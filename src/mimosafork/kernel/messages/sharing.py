"""What the kernel has peers told, and what it hears from them."""

from ...ids import Digest, EndpointId, RequestId
from ...placement.load_tracker import InFlightRequest
from .base import Effect, Message


class PublishWork(Effect, frozen=True):
    """Own work was sent, or has written its first token."""

    work: InFlightRequest


class PublishWorkEnd(Effect, frozen=True):
    """Own work has ended."""

    request_id: RequestId


class PublishCrashSuspicion(Effect, frozen=True):
    """An endpoint's connection broke under a request."""

    digest: Digest
    endpoint: EndpointId


class PublishCrashClearance(Effect, frozen=True):
    """A request that was suspected has run to its end."""

    digest: Digest


class CrashSuspicionUpdated(Message, frozen=True):
    """What all instances together know of a suspected request."""

    digest: Digest
    endpoints: frozenset[EndpointId]
    cleared: bool

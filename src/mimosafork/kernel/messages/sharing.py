"""What the kernel has peers told, and what it hears from them."""

from ...ids import Digest, EndpointId, RequestId
from ...placement.load_tracker import InFlightRequest
from .base import Effect, Message


class WorkBegun(Effect, frozen=True):
    """Own work was sent, or has written its first token."""

    work: InFlightRequest


class WorkEnded(Effect, frozen=True):
    """Own work has ended."""

    request_id: RequestId


class CrashSuspected(Effect, frozen=True):
    """An endpoint's connection broke under a request."""

    digest: Digest
    endpoint: EndpointId


class CrashCleared(Effect, frozen=True):
    """A request that was suspected has run to its end."""

    digest: Digest


class CrashTold(Message, frozen=True):
    """What all instances together know of a suspected request."""

    digest: Digest
    endpoints: frozenset[EndpointId]
    cleared: bool

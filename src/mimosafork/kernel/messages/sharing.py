"""What the kernel has peers told, and what it hears from them."""

from dataclasses import dataclass

from ...ids import Digest, EndpointId, RequestId
from ...placement.work import Work
from .base import Effect, Message


@dataclass(frozen=True, slots=True)
class WorkBegun(Effect):
    """Own work was sent, or has written its first token."""

    work: Work


@dataclass(frozen=True, slots=True)
class WorkEnded(Effect):
    """Own work has ended."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CrashSuspected(Effect):
    """An endpoint's connection broke under a request."""

    digest: Digest
    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class CrashCleared(Effect):
    """A request that was suspected has run to its end."""

    digest: Digest


@dataclass(frozen=True, slots=True)
class CrashTold(Message):
    """What all instances together know of a suspected request."""

    digest: Digest
    endpoints: frozenset[EndpointId]
    cleared: bool

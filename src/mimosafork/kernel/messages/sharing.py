"""What the kernel has peers told, and what it hears from them."""

from dataclasses import dataclass

from ...ids import Digest, EndpointId, RequestId, ServiceId
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
class SpendingGrown(Effect):
    """Counters of this life for a service: requests, and repeats of them."""

    service: ServiceId
    requests: int
    repeats: int


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


@dataclass(frozen=True, slots=True)
class FleetSpending:
    """What all instances have spent on a service in the window.

    Attributes
    ----------
    share : float
        Part of the fleet, 0 to 1, whose counters are in these sums.
    instances : int
        How many have their counters in these sums, this one included.
    """

    requests: int
    repeats: int
    share: float = 1.0
    instances: int = 1

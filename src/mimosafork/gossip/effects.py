"""What the exchange has found out and others should know."""

from dataclasses import dataclass
from datetime import timedelta

from ..directory.feed_word import FeedWord
from ..ids import EndpointId, InstanceId
from .kinds.configuration import Versions
from .kinds.doubt import Doubt
from .kinds.endpoints import EndpointWord
from .kinds.suspicion import Suspicion
from .members import Address, Identity


@dataclass(frozen=True, slots=True)
class PeerUp:
    """A peer is heard, for the first time or again."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class PeerDown:
    """A peer is silent, and its load is forgotten."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class PeerRestarted:
    """A peer has begun a new life."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class DatagramRefused:
    """A datagram was counted and passed over."""

    address: Address
    reason: str


@dataclass(frozen=True, slots=True)
class VersionsOffered:
    """A peer can hand over these versions."""

    identity: Identity
    versions: Versions


@dataclass(frozen=True, slots=True)
class EndpointSaid:
    """A peer has a word about an endpoint."""

    endpoint: EndpointId
    said: EndpointWord


@dataclass(frozen=True, slots=True)
class FeedTold:
    """A peer was told by the store that nothing changed.

    Parameters
    ----------
    born : timedelta
        Instant of its word on this instance's clock.
    """

    instance: InstanceId
    word: FeedWord
    born: timedelta


@dataclass(frozen=True, slots=True)
class SuspicionChanged:
    """A peer knows more of a request's digest; this is what all know together."""

    digest: bytes
    known: Suspicion


@dataclass(frozen=True, slots=True)
class DoubtChanged:
    """A peer has ejected an endpoint, or taken it back (None)."""

    instance: InstanceId
    endpoint: EndpointId
    doubt: Doubt | None


@dataclass(frozen=True, slots=True)
class LoadChanged:
    """Some of a peer's works have begun, changed or ended.

    Parameters
    ----------
    numbers : tuple of int
        Of these works.
    """

    instance: InstanceId
    numbers: tuple[int, ...]


Effect = (
    PeerUp
    | PeerDown
    | PeerRestarted
    | DatagramRefused
    | VersionsOffered
    | EndpointSaid
    | FeedTold
    | SuspicionChanged
    | DoubtChanged
    | LoadChanged
)

"""What the exchange has found out and others should know."""

from datetime import timedelta

import msgspec

from ..directory.feed_update import FeedUpdate
from ..directory.zone_state import ZoneState
from ..ids import AvailabilityZoneId, Digest, EndpointId, InstanceId
from .kinds.configuration import Versions
from .kinds.crashes import QuarantineNote, RunNote, SuccessNote
from .kinds.doubt import Doubt
from .kinds.endpoints import EndpointWord
from .kinds.limits import LimitNote
from .members import Address, Identity


class PeerUp(msgspec.Struct, frozen=True):
    """A peer is heard, for the first time or again."""

    identity: Identity


class PeerDown(msgspec.Struct, frozen=True):
    """A peer is silent, and its load is forgotten."""

    identity: Identity


class PeerRestarted(msgspec.Struct, frozen=True):
    """A peer has begun a new life."""

    identity: Identity


class DatagramRefused(msgspec.Struct, frozen=True):
    """A datagram was counted and passed over."""

    address: Address
    reason: str


class VersionsOffered(msgspec.Struct, frozen=True):
    """A peer can hand over these versions."""

    identity: Identity
    versions: Versions


class EndpointSaid(msgspec.Struct, frozen=True):
    """A peer has a word about an endpoint."""

    endpoint: EndpointId
    said: EndpointWord


class EvacuationTold(msgspec.Struct, frozen=True):
    """A peer knows whether a zone is evacuated.

    Attributes
    ----------
    born : timedelta
        Instant of its update on this instance's clock.
    """

    zone: AvailabilityZoneId
    state: ZoneState
    born: timedelta


class FeedTold(msgspec.Struct, frozen=True):
    """A peer was told by the store that nothing changed.

    Parameters
    ----------
    born : timedelta
        Instant of its word on this instance's clock.
    """

    instance: InstanceId
    word: FeedUpdate
    born: timedelta


class RunInterrupted(msgspec.Struct, frozen=True):
    """A run of a peer has ended with its endpoint.

    Attributes
    ----------
    born : timedelta
        Instant of the end on this instance's clock.
    """

    note: RunNote
    born: timedelta


class CrashRefuted(msgspec.Struct, frozen=True):
    """An endpoint has answered a peer after runs on it had ended.

    Attributes
    ----------
    sent_ms : int
        From the answered request to the note, whose instant is `born`.
    """

    endpoint: EndpointId
    sent_ms: int
    born: timedelta


class ContentSucceeded(msgspec.Struct, frozen=True):
    """A peer has run a content without a crash; `born` is the note's instant."""

    content: Digest
    note: SuccessNote
    born: timedelta


class ContentJudged(msgspec.Struct, frozen=True):
    """A peer has a decision on a content; `born` is the note's instant."""

    content: Digest
    note: QuarantineNote
    born: timedelta


class DoubtChanged(msgspec.Struct, frozen=True):
    """A peer has ejected an endpoint, or taken it back (None)."""

    instance: InstanceId
    endpoint: EndpointId
    doubt: Doubt | None


class LimitStated(msgspec.Struct, frozen=True):
    """A peer has received a statement of an endpoint's rate limit.

    Attributes
    ----------
    born : timedelta
        Instant of its receipt on this instance's clock.
    """

    endpoint: EndpointId
    note: LimitNote
    born: timedelta


class LoadChanged(msgspec.Struct, frozen=True):
    """Some of a peer's works have begun, changed or ended.

    Parameters
    ----------
    numbers : tuple of int
        Of these works.
    """

    instance: InstanceId
    numbers: tuple[int, ...]


class ConnectivityChanged(msgspec.Struct, frozen=True):
    """A peer has published its connectivity."""

    instance: InstanceId


Effect = (
    PeerUp
    | PeerDown
    | PeerRestarted
    | DatagramRefused
    | VersionsOffered
    | EndpointSaid
    | EvacuationTold
    | FeedTold
    | RunInterrupted
    | CrashRefuted
    | ContentSucceeded
    | ContentJudged
    | DoubtChanged
    | LimitStated
    | ConnectivityChanged
    | LoadChanged
)

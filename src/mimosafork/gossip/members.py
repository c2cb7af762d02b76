"""Who takes part: identities of instances, and what is known of each peer."""

from datetime import timedelta
from typing import NamedTuple

import msgspec

from ..ids import AvailabilityZoneId, InstanceId
from .ledger import Ledger

TAG_MASK = 0xFFFFFFFF


class Address(NamedTuple):
    """Where an instance listens, for datagrams and for pulls."""

    host: str
    port: int


class Identity(msgspec.Struct, frozen=True):
    """One life of an instance.

    Parameters
    ----------
    boot : int
        Random number of 64 bits, drawn at the start.
    started_ms : int
        Wall time of the start, in ms; orders the lives as long as clocks are sane.
    """

    instance: InstanceId
    zone: AvailabilityZoneId
    address: Address
    boot: int
    started_ms: int

    @property
    def tag(self) -> int:
        """Short name of this life in datagrams."""
        return self.boot & TAG_MASK


class Peer(msgspec.Struct, frozen=True):
    """A living peer.

    Parameters
    ----------
    age : timedelta
        Since it was last heard of.
    """

    instance: InstanceId
    zone: AvailabilityZoneId
    address: Address
    age: timedelta


class Member(msgspec.Struct):
    """What is known of a peer.

    Attributes
    ----------
    heard : timedelta
        Instant of its newest sign of life, or of the first word of it.
    alive : bool
        Heard and not silent since.
    """

    identity: Identity
    heard: timedelta
    alive: bool = False
    ledger: Ledger = msgspec.field(default_factory=Ledger)


def replaces(new: Identity, old: Identity, heard_while_silent: bool) -> bool:
    """Whether a life replaces another of the same instance.

    The start stamp is wall time, and that may step: an instance that restarts after
    a step back has the older stamp, and would be ignored for good. So a life that
    speaks itself while the other one is silent replaces it as well. Hearsay does not:
    it may be about a life that is over, and the present one, merely cut off, would be
    ignored after the cut.
    """
    if new.boot == old.boot:
        return False
    return new.started_ms > old.started_ms or heard_while_silent

"""Messages about the exchange between entry instances."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AvailabilityZoneId, Incarnation, InstanceId, Revision
from .base import Effect, Message
from .fleet import EntryInstance


class Scope(Enum):
    """Propagation scope of a published value."""

    ZONE = 1
    """Instances of the writer's availability zone."""
    FLEET = 2
    """All instances, over a few links between the availability zones."""


class PeerValue:
    """Base class of the values that instances exchange.

    A subclass is a frozen `msgspec.Struct`; its codec registers itself in
    `mimosafork.peers.kinds`.
    """

    __slots__ = ()


class Origin(msgspec.Struct, frozen=True):
    """Origin of a value received from peers.

    Attributes
    ----------
    instance, incarnation, availability_zone
        Entry instance that wrote the value, regardless of who forwarded it.
    age : timedelta
        Time since it was written, accumulated along its path.
    """

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId
    age: timedelta


class Publish(Effect, frozen=True):
    """Publish a value to the other instances.

    A new value replaces this instance's earlier value with the same key and scope.
    Values of other instances with the same key are kept separately.

    Attributes
    ----------
    urgent : bool
        Send at once instead of in the next round of exchanges.
    """

    key: str
    value: PeerValue
    scope: Scope = Scope.ZONE
    urgent: bool = False


class MemberState(Enum):
    """State of an entry instance as seen by its peers."""

    LIVE = "live"
    DRAINING = "draining"
    SUSPECT = "suspect"
    """No recent heartbeat. The instance may be dead, suspended or partitioned; these
    cannot be distinguished."""


class Member(msgspec.Struct, frozen=True):
    """An entry instance as seen by its peers.

    Attributes
    ----------
    revision : Revision
        Revision of its active configuration; 0 before the first.
    """

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId
    peer_address: str
    state: MemberState
    revision: Revision


class MembersChanged(Message, frozen=True):
    """The peers' view of the instances has changed.

    Attributes
    ----------
    members : tuple of Member
        Instances of the own availability zone, including this one.
    silent_zones : tuple of AvailabilityZoneId
        Other availability zones without recent messages.
    """

    members: tuple[Member, ...]
    silent_zones: tuple[AvailabilityZoneId, ...]


class AddPeerCandidates(Effect, frozen=True):
    """Add instances of the platform's list as exchange partners."""

    instances: tuple[EntryInstance, ...]


class AnnounceDrain(Effect, frozen=True):
    """Announce to the peers that this instance is draining."""

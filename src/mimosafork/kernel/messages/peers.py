"""Messages about what entry instances tell each other."""

from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AvailabilityZoneId, Incarnation, InstanceId, Revision
from .base import Effect, Message
from .fleet import EntryInstance


class Scope(Enum):
    """How far a value travels."""

    ZONE = 1
    """To the instances of its writer's availability zone."""
    FLEET = 2
    """To all instances, by a few links between the availability zones."""


class PeerValue:
    """Base of the values that instances tell each other.

    A subclass is a frozen slotted dataclass; its codec registers itself in
    `mimosafork.peers.kinds`.
    """

    __slots__ = ()


class Origin(msgspec.Struct, frozen=True):
    """Where a value heard from peers comes from.

    Attributes
    ----------
    instance, incarnation, availability_zone
        The entry instance that wrote it, whoever passed it on.
    age : timedelta
        Time since it was written, as added up on its way.
    """

    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId
    age: timedelta


class Publish(Effect, frozen=True):
    """Tell a value to the other instances.

    The newest value of each key replaces this instance's earlier one in the same
    scope; values of other instances under the same key stand beside it.

    Attributes
    ----------
    urgent : bool
        Do not wait for the next round of exchanges.
    """

    key: str
    value: PeerValue
    scope: Scope = Scope.ZONE
    urgent: bool = False


class MemberState(Enum):
    """What peers know of an entry instance."""

    LIVE = "live"
    DRAINING = "draining"
    SUSPECT = "suspect"
    """Not heard of for a while. It may be dead, frozen or cut off; silence does
    not tell which."""


class Member(msgspec.Struct, frozen=True):
    """An entry instance as its peers hear of it.

    Attributes
    ----------
    revision : Revision
        Configuration in force there; 0 before its first.
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
        Of this instance's own availability zone, itself included.
    silent_zones : tuple of AvailabilityZoneId
        Other availability zones of which nothing has been heard for a while.
    """

    members: tuple[Member, ...]
    silent_zones: tuple[AvailabilityZoneId, ...]


class AddPeerCandidates(Effect, frozen=True):
    """Exchange with these instances; from the platform's list."""

    instances: tuple[EntryInstance, ...]


class AnnounceDrain(Effect, frozen=True):
    """Tell the peers that this instance is stopping."""

"""What one exchange carries, as the rest of the program sees it."""

from dataclasses import dataclass
from typing import NewType

from ..ids import AvailabilityZoneId, Digest, Incarnation, InstanceId, Revision
from ..kernel.messages.peers import Scope

FeedId = NewType("FeedId", int)
"""Digest of a feed's owner, its incarnation and the scope, 64 bits."""


@dataclass(frozen=True, slots=True)
class Sender:
    """Who speaks.

    Attributes
    ----------
    fleet : str
        Name of the deployment; instances of another one are refused.
    revision : Revision
        Configuration in force there; 0 before its first.
    digest_start : int
        First 64 bits of that configuration's digest.
    """

    fleet: str
    instance: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId
    peer_address: str
    revision: Revision = Revision(0)
    digest_start: int = 0


Heads = dict[FeedId, int]
"""Newest known version of each feed."""


@dataclass(frozen=True, slots=True)
class EntryFrame:
    """One entry of a delta.

    Attributes
    ----------
    age_s : float
        Time since its owner wrote it.
    """

    kind: int
    key: str
    version: int
    age_s: float
    value: bytes


@dataclass(frozen=True, slots=True)
class FeedName:
    """Whose feed it is and how far it travels."""

    owner: InstanceId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId
    scope: Scope


@dataclass(frozen=True, slots=True)
class Delta:
    """All of a feed's entries that are newer than `base`, up to `newest`.

    Attributes
    ----------
    age_s : float
        Time since the owner's newest version.
    name : FeedName or None
        Given only when the receiver does not have the feed yet.
    """

    feed: FeedId
    base: int
    newest: int
    age_s: float
    entries: tuple[EntryFrame, ...]
    name: FeedName | None = None


@dataclass(frozen=True, slots=True)
class ConfigurationText:
    """An accepted configuration, whole.

    Attributes
    ----------
    text : bytes
        The canonical manifest, whose digest it is.
    """

    revision: Revision
    digest: Digest
    text: bytes


@dataclass(frozen=True, slots=True)
class ExchangeRequest:
    """What the caller of an exchange sends."""

    sender: Sender
    heads: Heads
    deltas: tuple[Delta, ...] = ()
    wanted_revision: Revision = Revision(0)
    push_only: bool = False


@dataclass(frozen=True, slots=True)
class ExchangeReply:
    """What the called instance answers.

    Attributes
    ----------
    behind : Heads
        Feeds of which the caller has newer versions, as the answering one has them.
    """

    sender: Sender
    deltas: tuple[Delta, ...] = ()
    behind: Heads | None = None
    configuration: ConfigurationText | None = None

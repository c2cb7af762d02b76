"""The format of datagrams: short lists, encoded as MessagePack."""

from enum import IntFlag
from socket import AF_INET, inet_ntop, inet_pton
from typing import Annotated, Any
from zlib import crc32

import msgspec

from ..ids import AvailabilityZoneId, InstanceId
from ..network.decoding import UNDECODABLE
from .errors import BadDatagramError
from .members import Address, Identity

FORMAT = 1
KIND_BITS = 4
KIND_MASK = (1 << KIND_BITS) - 1

Count = Annotated[int, msgspec.Meta(ge=0)]
StartedMs = Annotated[int, msgspec.Meta(ge=0, le=10**13)]
"""Unix milliseconds of some 250 years; a later time fits into no span of time."""
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
HostBytes = Annotated[bytes, msgspec.Meta(min_length=4, max_length=4)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Flag(IntFlag):
    """What else a datagram says."""

    PARTNER = 1
    """The receiver is among those whom the sender chose."""
    WANT_NAME = 2
    """The sender doesn't know the receiver's name."""
    WANT_NAMES = 4
    """The sender has heard of instances whose names it doesn't know."""
    WANT_ALL = 8
    """The sender has forgotten what it knew and needs everything."""
    ALL = 16
    """Everything is on its way, from this datagram on."""


class WireName(msgspec.Struct, array_like=True, frozen=True):
    """An identity as it travels."""

    instance: Name
    zone: Name
    host: HostBytes
    port: Port
    boot: Count
    started: StartedMs


class WireEntry(msgspec.Struct, array_like=True, frozen=True):
    """An entry: kind and index of its origin in one number, age in ms.

    The key's type, one of three, is checked by the reader: a decoder takes no union of
    text and bytes.
    """

    place: Count
    key: Any
    sequence: Count
    age: Count
    value: Any


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """A whole datagram.

    Attributes
    ----------
    fleet : int
        Checksum of the fleet's name.
    sender : int
        Tag of the sender's life.
    number : int
        Count of the sender's datagrams to this receiver; 0 is not counted.
    heard, missing : int
        Highest number that came from the receiver, and a bit for each of the 32
        before it that did not, the lowest bit for the one just before.
    name : WireName or None
        The sender's, until it is known to have come.
    names : list of WireName
        Some of the others'.
    origins : list of int
        Tags of those whose entries are passed on.
    ids : list of int or str
        Endpoint ids that entries refer to.
    additions : dict of int to object
        Additions to the values of entries, by the entry's index.
    """

    format: int
    fleet: int
    sender: int
    number: Count
    heard: Count
    missing: Count
    flags: Count
    name: WireName | None = None
    names: list[WireName] = []
    origins: list[int] = []
    ids: list[int | str] = []
    entries: list[WireEntry] = []
    additions: dict[int, Any] = {}


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Datagram)


def fleet_tag(fleet: str) -> int:
    """Return the short form of a fleet's name."""
    return crc32(fleet.encode())


def decode(data: bytes, fleet: int) -> Datagram:
    """Read a datagram.

    Raises
    ------
    BadDatagramError
        If it is cut, in another format or of another fleet.
    """
    try:
        datagram = DECODER.decode(data)
    except UNDECODABLE as error:
        raise BadDatagramError(f"can't be read: {error}") from error
    if datagram.format != FORMAT:
        raise BadDatagramError(f"format {datagram.format}")
    if datagram.fleet != fleet:
        raise BadDatagramError("another fleet")
    return datagram


def to_wire(identity: Identity) -> WireName:
    """Return an identity as it travels."""
    return WireName(
        identity.instance,
        identity.zone,
        inet_pton(AF_INET, identity.address.host),
        identity.address.port,
        identity.boot,
        identity.started_ms,
    )


def from_wire(name: WireName) -> Identity:
    """Return the identity that travelled."""
    return Identity(
        InstanceId(name.instance),
        AvailabilityZoneId(name.zone),
        Address(inet_ntop(AF_INET, name.host), name.port),
        name.boot,
        name.started,
    )

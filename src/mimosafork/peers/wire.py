"""Frames of an exchange to and from the generated protobuf messages.

The only module that knows the generated classes' fields.
"""

from typing import Any

from ..ids import AvailabilityZoneId, Digest, Incarnation, InstanceId, Revision
from .errors import InvalidPeerMessageError
from .frames import (
    ConfigurationText,
    Delta,
    EntryFrame,
    ExchangeReply,
    ExchangeRequest,
    FeedId,
    FeedName,
    Heads,
    Sender,
)
from .generated import exchange_pb2 as pb
from .kinds.base import Scope

PROTOCOL = 1
MS = 1000.0
MAX_AGE_MS = 0xFFFFFFFF


def request_to_wire(request: ExchangeRequest) -> Any:
    """Return the protobuf message of a request."""
    message = pb.ExchangeRequest(
        sender=_sender_to_wire(request.sender),
        deltas=[_delta_to_wire(delta) for delta in request.deltas],
        wanted_revision=request.wanted_revision,
        push_only=request.push_only,
    )
    _heads_to_wire(request.heads, message.heads)
    return message


def request_from_wire(message: Any) -> ExchangeRequest:
    """Return the request of a protobuf message.

    Raises
    ------
    InvalidPeerMessageError
        If it breaks the protocol.
    """
    return ExchangeRequest(
        sender=_sender_from_wire(message.sender),
        heads=_heads_from_wire(message.heads),
        deltas=tuple(_delta_from_wire(delta) for delta in message.deltas),
        wanted_revision=Revision(message.wanted_revision),
        push_only=message.push_only,
    )


def reply_to_wire(reply: ExchangeReply) -> Any:
    """Return the protobuf message of a reply."""
    message = pb.ExchangeReply(
        sender=_sender_to_wire(reply.sender),
        deltas=[_delta_to_wire(delta) for delta in reply.deltas],
    )
    _heads_to_wire(reply.behind or {}, message.behind)
    if reply.configuration is not None:
        held = reply.configuration
        message.configuration.revision = held.revision
        message.configuration.digest = bytes.fromhex(held.digest)
        message.configuration.text = held.text
    return message


def reply_from_wire(message: Any) -> ExchangeReply:
    """Return the reply of a protobuf message.

    Raises
    ------
    InvalidPeerMessageError
        If it breaks the protocol.
    """
    configuration = None
    if message.HasField("configuration"):
        configuration = ConfigurationText(
            Revision(message.configuration.revision),
            Digest(message.configuration.digest.hex()),
            message.configuration.text,
        )
    return ExchangeReply(
        sender=_sender_from_wire(message.sender),
        deltas=tuple(_delta_from_wire(delta) for delta in message.deltas),
        behind=_heads_from_wire(message.behind),
        configuration=configuration,
    )


def _sender_to_wire(sender: Sender) -> Any:
    return pb.Sender(
        protocol=PROTOCOL,
        fleet=sender.fleet,
        instance=sender.instance,
        incarnation=sender.incarnation,
        availability_zone=sender.availability_zone,
        peer_address=sender.peer_address,
        revision=sender.revision,
        digest_start=sender.digest_start,
    )


def _sender_from_wire(message: Any) -> Sender:
    if message.protocol != PROTOCOL:
        raise InvalidPeerMessageError(f"protocol {message.protocol}, not {PROTOCOL}")
    if not message.instance or not message.availability_zone:
        raise InvalidPeerMessageError("the sender does not say who it is")
    return Sender(
        fleet=message.fleet,
        instance=InstanceId(message.instance),
        incarnation=Incarnation(message.incarnation),
        availability_zone=AvailabilityZoneId(message.availability_zone),
        peer_address=message.peer_address,
        revision=Revision(message.revision),
        digest_start=message.digest_start,
    )


def _heads_to_wire(heads: Heads, message: Any) -> None:
    message.feeds.extend(heads.keys())
    message.versions.extend(heads.values())


def _heads_from_wire(message: Any) -> Heads:
    if len(message.feeds) != len(message.versions):
        raise InvalidPeerMessageError("the columns of the heads differ in length")
    return dict(zip(map(FeedId, message.feeds), message.versions, strict=True))


def _delta_to_wire(delta: Delta) -> Any:
    message = pb.Delta(
        feed=delta.feed,
        base=delta.base,
        newest=delta.newest,
        age_ms=_to_ms(delta.age_s),
        entries=[_entry_to_wire(entry, delta.newest) for entry in delta.entries],
    )
    if delta.name is not None:
        message.owner = delta.name.owner
        message.incarnation = delta.name.incarnation
        message.availability_zone = delta.name.availability_zone
        message.scope = delta.name.scope.value
    return message


def _delta_from_wire(message: Any) -> Delta:
    if message.base > message.newest:
        raise InvalidPeerMessageError("a delta ends before it begins")
    name = None
    if message.owner:
        name = FeedName(
            InstanceId(message.owner),
            Incarnation(message.incarnation),
            AvailabilityZoneId(message.availability_zone),
            _scope(message.scope),
        )
    return Delta(
        feed=FeedId(message.feed),
        base=message.base,
        newest=message.newest,
        age_s=message.age_ms / MS,
        entries=tuple(
            _entry_from_wire(entry, message.newest) for entry in message.entries
        ),
        name=name,
    )


def _entry_to_wire(entry: EntryFrame, newest: int) -> Any:
    return pb.Entry(
        kind=entry.kind,
        key=entry.key,
        behind=newest - entry.version,
        age_ms=_to_ms(entry.age_s),
        value=entry.value,
    )


def _entry_from_wire(message: Any, newest: int) -> EntryFrame:
    if message.behind > newest:
        raise InvalidPeerMessageError("an entry has no version")
    return EntryFrame(
        kind=message.kind,
        key=message.key,
        version=newest - message.behind,
        age_s=message.age_ms / MS,
        value=message.value,
    )


def _scope(number: int) -> Scope:
    try:
        return Scope(number)
    except ValueError as error:
        raise InvalidPeerMessageError(f"no scope has the number {number}") from error


def _to_ms(seconds: float) -> int:
    return min(MAX_AGE_MS, int(seconds * MS))

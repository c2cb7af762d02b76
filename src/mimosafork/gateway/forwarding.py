"""Requests that one entry instance sends to another on behalf of a caller."""

import re

import msgspec
from msgspec.structs import replace

from ..ids import InstanceId, RegionId
from .errors import ForwardingError
from .heads import Header
from .request_reader import RequestMessage

FORWARDED_BY = b"Mimosafork-Forwarded-By"
MAX_SENDER_BYTES = 200
SENDER = re.compile(rb"([\x21-\x3a\x3c-\x7e]{1,200})(?:;regions=([A-Za-z0-9._,-]*))?")
"""Name of an instance, and the home regions of a restricted call.

The regions are part of the value because earlier versions take all of it for the name:
a second header would reach the endpoint through them.
"""

REGIONS = b";regions="
REGION_NAME = re.compile(r"[A-Za-z0-9._-]+")

MAX_HEADER_BYTES = len(FORWARDED_BY) + len(b": \r\n") + MAX_SENDER_BYTES


class Sender(msgspec.Struct, frozen=True):
    """The instance that received a forwarded call from its caller.

    Attributes
    ----------
    home_regions : frozenset of RegionId or None
        Home regions of the call by its configuration; None for no restriction.
    """

    instance: InstanceId
    home_regions: frozenset[RegionId] | None = None

    def encode(self) -> bytes:
        """Return the value of the header.

        Regions that do not fit are left out, which makes the restriction stricter, and
        so are names that the settings of no instance can give to a zone.
        """
        value = self.instance.encode("latin-1")
        if self.home_regions is None:
            return value
        value += REGIONS
        separator = b""
        for region in sorted(filter(REGION_NAME.fullmatch, self.home_regions)):
            part = separator + region.encode("ascii")
            if len(value) + len(part) <= MAX_SENDER_BYTES:
                value += part
                separator = b","
        return value


def decode_sender(value: bytes) -> Sender:
    """Return the sender that a header names.

    Raises
    ------
    ForwardingError
        If it is no name of an instance, or its regions are unreadable.
    """
    match = SENDER.fullmatch(value)
    if match is None or len(value) > MAX_SENDER_BYTES:
        raise ForwardingError("the sender is no name of an instance")
    instance = InstanceId(match[1].decode("latin-1"))
    if match[2] is None:
        return Sender(instance)
    names = filter(None, match[2].decode("ascii").split(","))
    return Sender(instance, frozenset(map(RegionId, names)))


def with_sender(headers: list[Header], sender: Sender) -> list[Header]:
    """Return the headers of a forwarded request.

    The sender is the first header, so that a header of this name that the caller sent
    remains the caller's.
    """
    return [Header(FORWARDED_BY, sender.encode()), *headers]


class ForwardedRequest:
    """A request that a peer has forwarded.

    Attributes
    ----------
    sender : Sender
        The instance that received it from its caller.
    message : RequestMessage
        The caller's request.

    Raises
    ------
    ForwardingError
        If the request was not sent by an instance.
    """

    def __init__(self, received: RequestMessage) -> None:
        head = received.head
        first, *rest = head.headers or (Header(b"", b""),)
        if first.name.lower() != FORWARDED_BY.lower():
            raise ForwardingError("the request names no sender")
        self.sender = decode_sender(first.value)
        self.message = replace(received, head=replace(head, headers=tuple(rest)))

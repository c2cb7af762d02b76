"""Requests that one entry instance sends to another on behalf of a caller."""

import re

from msgspec.structs import replace

from ..ids import InstanceId
from .errors import ForwardingError
from .heads import Header
from .request_reader import RequestMessage

FORWARDED_BY = b"Mimosafork-Forwarded-By"
INSTANCE_NAME = re.compile(rb"[\x21-\x7e]{1,200}")

MAX_HEADER_BYTES = len(FORWARDED_BY) + len(b": \r\n") + 200


def with_sender(headers: list[Header], instance: InstanceId) -> list[Header]:
    """Return the headers of a forwarded request.

    The sender is the first header, so that a header of this name that the caller sent
    remains the caller's.
    """
    return [Header(FORWARDED_BY, instance.encode("latin-1")), *headers]


class ForwardedRequest:
    """A request that a peer has forwarded.

    Attributes
    ----------
    sender : InstanceId
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
        if INSTANCE_NAME.fullmatch(first.value) is None:
            raise ForwardingError("the sender is no name of an instance")
        self.sender = InstanceId(first.value.decode("latin-1"))
        self.message = replace(received, head=replace(head, headers=tuple(rest)))

"""What of a caller's bytes is left when this instance ends its connection."""

import socket
import sys
from datetime import timedelta
from enum import Enum
from fcntl import ioctl
from termios import FIONREAD

import msgspec

from .errors import BadRequestError
from .request_reader import RequestReader

INT_BYTES = 4


class CloseReason(Enum):
    """Why this instance ends a caller's connection."""

    IDLE = "idle"
    """Nothing came for its time."""
    LAST_RESPONSE = "last-answer"
    """An answer had said that it would be the last."""
    INTAKE_ENDED = "intake-ended"
    """The instance stops, and takes no further calls."""
    STOPPED = "stopped"
    """The process ends."""
    CALLER_NOT_READING = "not-taken"
    """The caller took no more of its answer."""


class UnansweredRequest(msgspec.Struct, frozen=True):
    """What a caller had sent, and got no answer to.

    Attributes
    ----------
    bytes_read, bytes_waiting : int
        Taken from its socket, and still in there.
    bytes_unsent : int
        Of its last answer.
    whole : bool or None
        Whether a whole request was read; None if what was read is not kept.
    idle : timedelta
        Since its last bytes were read, or its last answer ended.
    promised : timedelta
        How long it was told that its connection is kept when idle.
    """

    reason: CloseReason
    bytes_read: int
    bytes_waiting: int
    bytes_unsent: int
    whole: bool | None
    idle: timedelta
    advertised_idle_timeout: timedelta


def has_complete_request(reader: RequestReader) -> bool:
    """Return whether a whole request was read and not handed on."""
    if reader.head is not None:
        return False
    copy = RequestReader(reader.limits)
    copy.feed(bytes(reader.buffer))
    try:
        return copy.next_request() is not None
    except BadRequestError:
        return False


def unread_socket_bytes(sock: socket.socket | None) -> int:
    """Return how many bytes the system holds that were not read; 0 if it can't say."""
    if sock is None:
        return 0
    try:
        found = ioctl(sock.fileno(), FIONREAD, bytes(INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(found, sys.byteorder)

"""Unanswered requests on caller connections that this instance closes."""

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
    """Why this instance closes a caller's connection."""

    IDLE = "idle"
    """Nothing was received within the idle timeout."""
    LAST_RESPONSE = "last-answer"
    """The last response announced "Connection: close"."""
    INTAKE_ENDED = "intake-ended"
    """The instance is stopping and accepts no further calls."""
    STOPPED = "stopped"
    """The process exits."""
    CALLER_NOT_READING = "not-taken"
    """The caller stopped reading its response."""


class UnansweredRequest(msgspec.Struct, frozen=True):
    """Bytes of a caller that got no response before its connection was closed.

    Attributes
    ----------
    bytes_read, bytes_waiting : int
        Bytes read from the socket, and bytes still in its receive buffer.
    bytes_unsent : int
        Unsent bytes of the last response.
    whole : bool or None
        Whether a complete request was read; None if the bytes were discarded.
    idle : timedelta
        Time since the last read or the end of the last response.
    advertised_idle_timeout : timedelta
        Idle timeout that the caller was last given in a Keep-Alive header.
    """

    reason: CloseReason
    bytes_read: int
    bytes_waiting: int
    bytes_unsent: int
    whole: bool | None
    idle: timedelta
    advertised_idle_timeout: timedelta


def has_complete_request(reader: RequestReader) -> bool:
    """Return whether the reader holds a complete request that wasn't returned."""
    if reader.head is not None:
        return False
    copy = RequestReader(reader.limits)
    copy.feed(bytes(reader.buffer))
    try:
        return copy.next_request() is not None
    except BadRequestError:
        return False


def unread_socket_bytes(sock: socket.socket | None) -> int:
    """Return the number of bytes in the receive buffer; 0 if unknown."""
    if sock is None:
        return 0
    try:
        found = ioctl(sock.fileno(), FIONREAD, bytes(INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(found, sys.byteorder)

"""State of a socket's send queue."""

import socket
import sys
from fcntl import ioctl
from termios import TIOCOUTQ

INT_BYTES = 4


def has_unacknowledged_bytes(sock: socket.socket) -> bool:
    """Return whether the peer's host has not acknowledged all bytes that were sent."""
    queued = ioctl(sock.fileno(), TIOCOUTQ, bytes(INT_BYTES))
    return int.from_bytes(queued, sys.byteorder) > 0

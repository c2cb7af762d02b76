"""The sockets of the gossip: datagrams and pulls on one port number."""

import asyncio
from collections import deque
from collections.abc import Callable
from socket import AF_INET, SO_REUSEADDR, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket

import msgspec

from .members import Address

TRIES = 20
LONGEST = 1 << 16
"""No datagram is longer."""
AT_ONCE = 64
"""Datagrams that are read before others of the loop have their turn."""


class Sockets(msgspec.Struct, frozen=True):
    """Both sockets, bound to one address."""

    datagrams: socket
    pulls: socket
    address: Address


def open_sockets(address: Address) -> Sockets:
    """Bind both sockets; port 0 has the system pick a port that is free for both.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    if address.port:
        return bind(address)
    for _ in range(TRIES - 1):
        try:
            return bind(address)
        except OSError:
            # The port that was picked for pulls is another's for datagrams.
            continue
    return bind(address)


def bind(address: Address) -> Sockets:
    """Bind both sockets, or neither."""
    pulls = socket(AF_INET, SOCK_STREAM)
    datagrams = socket(AF_INET, SOCK_DGRAM)
    try:
        pulls.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        pulls.bind(address)
        bound = Address(*pulls.getsockname())
        datagrams.bind(bound)
    except OSError:
        pulls.close()
        datagrams.close()
        raise
    pulls.setblocking(False)
    datagrams.setblocking(False)
    return Sockets(datagrams, pulls, bound)


class DatagramPort:
    """Hands received datagrams over, and sends others.

    It reads the socket itself: asyncio's transport takes 256 KB of memory for each
    datagram, and goes round the loop for each. 1,600 datagrams that came alone took 54
    to 130 us of processor each by the transport and 39 to 75 us so, 16 that came
    together 16 to 18 and 8 to 9 us (three runs each in turns, on loopback, on a machine
    with other work).

    Parameters
    ----------
    received : callable
        Takes a datagram and where it came from.
    """

    def __init__(self, received: Callable[[bytes, Address], None]) -> None:
        self.received = received
        self.socket: socket | None = None
        self.buffer = memoryview(bytearray(LONGEST))
        self.waiting: deque[tuple[bytes, Address]] = deque()
        """What the system had no room for; it goes as soon as there is some."""

    @property
    def is_open(self) -> bool:
        """Whether datagrams come and go."""
        return self.socket is not None

    def open(self, bound: socket) -> None:
        """Begin to read a socket that doesn't block, in the running loop."""
        self.socket = bound
        asyncio.get_running_loop().add_reader(bound, self.read)

    def read(self) -> None:
        """Hand over what has come, up to a number for each turn of the loop."""
        for _ in range(AT_ONCE):
            if self.socket is None:
                return
            try:
                size, address = self.socket.recvfrom_into(self.buffer)
            except OSError:
                # Nothing is left, or a peer that is down refused a datagram; what came
                # behind that word is read in the next turn.
                return
            self.received(bytes(self.buffer[:size]), Address(*address))

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram, if the port is open."""
        if self.socket is None:
            return
        if self.waiting or not self.went(self.socket, data, address):
            if not self.waiting:
                loop = asyncio.get_running_loop()
                loop.add_writer(self.socket, self.send_waiting)
            self.waiting.append((data, address))

    def went(self, open_socket: socket, data: bytes, address: Address) -> bool:
        """Send a datagram; return False if the system has no room for it now."""
        try:
            open_socket.sendto(data, address)
        except BlockingIOError:
            return False
        except OSError:
            # A peer that is down refuses datagrams, and is called again.
            return True
        return True

    def send_waiting(self) -> None:
        """Send what waits, as far as there is room."""
        if self.socket is None:
            return
        while self.waiting and self.went(self.socket, *self.waiting[0]):
            self.waiting.popleft()
        if not self.waiting:
            asyncio.get_running_loop().remove_writer(self.socket)

    def close(self) -> None:
        """Close the port; what waits is not sent."""
        if self.socket is not None:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self.socket)
            loop.remove_writer(self.socket)
            self.socket.close()
            self.socket = None
            self.waiting.clear()

"""The sockets of the gossip: datagrams and pulls on one port number."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from socket import AF_INET, SO_REUSEADDR, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket
from typing import cast

from .members import Address

TRIES = 20


@dataclass(frozen=True, slots=True)
class Sockets:
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


class DatagramPort(asyncio.DatagramProtocol):
    """Hands received datagrams over.

    Parameters
    ----------
    received : callable
        Takes a datagram and where it came from.
    """

    def __init__(self, received: Callable[[bytes, Address], None]) -> None:
        self.received = received
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram over."""
        self.received(data, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Pass over it: a peer that is down refuses datagrams, and is called again."""

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram, if the port is open."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the port."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

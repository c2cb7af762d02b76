"""A port that stays a stand-in's own, also while it does not listen there."""

import socket
from typing import NamedTuple

from .errors import StandinError


class Address(NamedTuple):
    """Where a socket is bound."""

    host: str
    port: int


class HeldPort:
    """A port that is held from the first use to `close`.

    Guard: a port that is closed and bound anew, or left alone until the next life, is
    the system's to give away meanwhile: the next life finds it taken, or callers reach
    a stranger. So a socket beside the one that listens is bound there at all times. It
    does not listen, so that the system refuses connections while no other does; and
    while it stands, the system gives the port to nobody who asks for any.

    Parameters
    ----------
    address : Address
        Port 0 takes a free one.

    Raises
    ------
    StandinError
        If another listens there.
    """

    def __init__(self, address: Address) -> None:
        self.holder = bound(address)
        self.address = Address(*self.holder.getsockname())

    def take(self) -> socket.socket:
        """Return a socket of the port to listen on; another one goes on holding it."""
        # In this order: no second socket can be bound beside one that listens.
        taken, self.holder = self.holder, bound(self.address)
        return taken

    def close(self) -> None:
        """Leave the port to others; harmless when repeated."""
        self.holder.close()


def bound(address: Address) -> socket.socket:
    """Return a socket that is bound and does not wait.

    Raises
    ------
    StandinError
        If another listens there.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise StandinError(f"can't listen on {address}: {error}") from error
    return sock

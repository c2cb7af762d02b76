"""Watches a long request on its way: a slow reader is no peer that has vanished."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from struct import unpack_from
from typing import Protocol

LOOK_EVERY = timedelta(milliseconds=500)
REST_WITHIN = timedelta(seconds=10)
"""After its call's end a request's rest still goes out for so long."""

PROBES_OFFSET = 3
UNACKED_OFFSET = 24
LAST_ACK_OFFSET = 56
INFO_SIZE = 60
"""Of the fields of Linux's `tcp_info` that are read here."""

UNANSWERED_PROBES = 2


class Sender(Protocol):
    """A connection that sends a long request."""

    @property
    def send_pending(self) -> bool:
        """Whether a part of the request has not reached the peer's machine."""

    @property
    def awaiting_response(self) -> bool:
        """Whether a call still awaits its answer."""

    def abandon(self) -> None:
        """Give the connection up."""


class LongSend:
    """Looks at a socket until its request has reached the peer's machine.

    Guard: the system's own bound on unacknowledged bytes also ends a connection whose
    peer reads nothing for so long, though it answers each probe of its full buffers:
    a sound endpoint that is slow to read a long body lost its call. So that bound is
    lifted meanwhile, and what it is for, a peer without power or behind a partition,
    is told by its silence: bytes in flight or several probes without a word.

    Parameters
    ----------
    patience : timedelta
        How long a peer may leave bytes in flight unacknowledged.
    done : callable
        Called once, when all has arrived.
    """

    def __init__(
        self,
        sender: Sender,
        sock: socket.socket,
        patience: timedelta,
        done: Callable[[], None],
    ) -> None:
        self.sender = sender
        self.sock = sock
        self.patience = patience
        self.done = done
        self.rest_left = REST_WITHIN
        self.timer: asyncio.TimerHandle | None = None

    def look_later(self) -> None:
        """Look again after a while."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(LOOK_EVERY.total_seconds(), self._look)

    def stop(self) -> None:
        """Look no more: the connection has ended."""
        if self.timer is not None:
            self.timer.cancel()

    def _look(self) -> None:
        if not self.sender.send_pending:
            self.done()
            return
        if not self.sender.awaiting_response:
            self.rest_left -= LOOK_EVERY
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
        if self.rest_left <= timedelta(0) or silent(info, self.patience):
            self.sender.abandon()
            return
        self.look_later()


def silent(info: bytes, patience: timedelta) -> bool:
    """Return whether a peer owes a word for longer than a patience.

    Parameters
    ----------
    info : bytes
        The beginning of Linux's `tcp_info`.
    """
    probes = info[PROBES_OFFSET]
    (in_flight,) = unpack_from("=I", info, UNACKED_OFFSET)
    (quiet_ms,) = unpack_from("=I", info, LAST_ACK_OFFSET)
    owes = in_flight > 0 or probes >= UNANSWERED_PROBES
    return owes and timedelta(milliseconds=quiet_ms) >= patience

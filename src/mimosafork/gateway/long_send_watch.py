"""Monitors a long request in transit to distinguish slow peers from dead ones."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from struct import unpack_from
from typing import Protocol

CHECK_INTERVAL = timedelta(milliseconds=500)
DRAIN_TIMEOUT = timedelta(seconds=10)
"""How long the rest of a request is still sent after its call has ended."""

PROBES_OFFSET = 3
UNACKED_OFFSET = 24
LAST_ACK_OFFSET = 56
INFO_SIZE = 60
"""Size of the part of Linux's `tcp_info` that holds the fields read here."""

UNANSWERED_PROBES = 2


class Sender(Protocol):
    """Interface to a connection that sends a long request."""

    @property
    def send_pending(self) -> bool:
        """Whether part of the request is not yet acknowledged by the peer."""

    @property
    def awaiting_response(self) -> bool:
        """Whether a call still waits for the response."""

    def abandon(self) -> None:
        """Abort the connection because its peer is unresponsive."""


class LongSendWatch:
    """Polls a socket until its request is acknowledged by the peer's host.

    TCP_USER_TIMEOUT also ends a connection whose peer reads nothing for that long, even
    though it acknowledges the zero-window probes: a healthy endpoint that is slow to
    read a long body would lose its call. So the option is cleared for the duration, and
    a dead or partitioned peer is detected by unacknowledged bytes in flight or by
    several unanswered probes.

    Parameters
    ----------
    ack_timeout : timedelta
        How long the peer may leave bytes in flight or probes unacknowledged.
    done : callable
        Called once, when the request is fully acknowledged.
    """

    def __init__(
        self,
        sender: Sender,
        sock: socket.socket,
        ack_timeout: timedelta,
        done: Callable[[], None],
    ) -> None:
        self.sender = sender
        self.sock = sock
        self.ack_timeout = ack_timeout
        self.done = done
        self.drain_time_left = DRAIN_TIMEOUT
        self.timer: asyncio.TimerHandle | None = None

    def schedule_check(self) -> None:
        """Schedule the next check."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(CHECK_INTERVAL.total_seconds(), self._check)

    def stop(self) -> None:
        """Stop checking: the connection has ended."""
        if self.timer is not None:
            self.timer.cancel()

    def _check(self) -> None:
        if not self.sender.send_pending:
            self.done()
            return
        if not self.sender.awaiting_response:
            self.drain_time_left -= CHECK_INTERVAL
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_SIZE)
        if self.drain_time_left <= timedelta(0) or peer_unresponsive(
            info, self.ack_timeout
        ):
            self.sender.abandon()
            return
        self.schedule_check()


def peer_unresponsive(info: bytes, ack_timeout: timedelta) -> bool:
    """Return whether a peer has left bytes or probes unacknowledged for too long.

    Parameters
    ----------
    info : bytes
        The first `INFO_SIZE` bytes of Linux's `tcp_info`.
    """
    probes = info[PROBES_OFFSET]
    (in_flight,) = unpack_from("=I", info, UNACKED_OFFSET)
    (quiet_ms,) = unpack_from("=I", info, LAST_ACK_OFFSET)
    awaiting_ack = in_flight > 0 or probes >= UNANSWERED_PROBES
    return awaiting_ack and timedelta(milliseconds=quiet_ms) >= ack_timeout

"""TCP connections in memory, in an event loop with virtual time."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from mimosafork.clock import ManualClock

LATENCY = timedelta(milliseconds=1)
LEAST_STEP = timedelta(microseconds=2)
"""Exceeds the rounding error of the event loop's float times."""

ProtocolFactory = Callable[[], asyncio.Protocol]


class IdleSelector:
    """Advances a clock where a real selector would wait for sockets."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock

    def select(self, timeout: float | None) -> list[Any]:
        """Let the time pass until the next timer."""
        assert timeout is not None, "the loop has nothing to wait for"
        if timeout > 0:
            self.clock.advance(timedelta(seconds=timeout) + LEAST_STEP)
        return []

    def close(self) -> None:
        """Do nothing."""


class VirtualNetworkLoop(asyncio.BaseEventLoop):
    """An event loop whose connections are in memory.

    Attributes
    ----------
    listeners : dict of str to callable
        Protocol factory of each address that accepts connections.
    links : dict of str to Link
        Link to each address.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self._selector = IdleSelector(clock)
        self.listeners: dict[str, ProtocolFactory] = {}
        self.links: dict[str, Link] = {}

    def time(self) -> float:
        """Return the time of the clock."""
        return self.clock.monotonic().total_seconds()

    def _process_events(self, event_list: list[Any]) -> None:
        """There are no sockets."""

    def _write_to_self(self) -> None:
        """Nothing else runs, so that there is nothing to wake."""

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect to a listener.

        Raises
        ------
        ConnectionRefusedError
            If there is none.
        """
        address = f"{host}:{port}"
        link = self.links.setdefault(address, Link())
        await asyncio.sleep(LATENCY.total_seconds())
        await link.opened.wait()
        factory = self.listeners.get(address)
        if factory is None:
            raise ConnectionRefusedError(address)
        near, far = protocol_factory(), factory()
        transport = connect(self, near, far, link)
        return transport, near

    def advance(self, time: timedelta) -> None:
        """Run everything that is due within some time."""
        self.run_until_complete(asyncio.sleep(time.total_seconds()))


class Link:
    """Conditions on the way to an address and back.

    Attributes
    ----------
    opened : asyncio.Event
        New connections wait for it.
    held : set of bool
        Directions in which bytes are held back: True towards the address.
    transports : dict of MemoryTransport
        Both ends of each connection, in the order of opening.
    """

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.opened.set()
        self.held: set[bool] = set()
        self.transports: dict[MemoryTransport, None] = {}

    def hold(self, direction: bool) -> None:
        """Hold back the bytes of one direction."""
        self.held.add(direction)

    def heal(self) -> None:
        """Let new connections open, and deliver what was held back."""
        self.opened.set()
        self.held.clear()
        for transport in list(self.transports):
            transport.flush()

    def reset(self) -> None:
        """Reset all connections; what was held back is lost."""
        for transport in list(self.transports):
            transport.lose(ConnectionResetError("reset"))


class MemoryTransport(asyncio.Transport):
    """One end of a connection; bytes and ends arrive in order after the latency."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: asyncio.Protocol,
        link: Link,
        outwards: bool,
    ) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.link = link
        self.outwards = outwards
        self.peer: MemoryTransport
        self.in_flight: list[bytes | ConnectionError | None] = []
        self.unread: list[bytes | ConnectionError | None] = []
        self.paused = False
        self.closing = False
        self.lost = False

    def write(self, data: Any) -> None:
        """Send bytes."""
        if not self.closing:
            self._send(bytes(data))

    def write_eof(self) -> None:
        """Send the end of the bytes."""
        self._send(None)

    def can_write_eof(self) -> bool:
        """Return that the end can be sent."""
        return True

    def get_write_buffer_size(self) -> int:
        """Return 0: bytes leave at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closing

    def pause_reading(self) -> None:
        """Keep bytes until reading is resumed."""
        self.paused = True

    def resume_reading(self) -> None:
        """Deliver what was kept."""
        self.paused = False
        self.loop.call_soon(self._deliver)

    def close(self) -> None:
        """Close this end in an orderly way."""
        if not self.closing:
            self._send(None)
            self.lose(None)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.closing:
            self._send(ConnectionResetError("reset by peer"))
            self.lose(None)

    def lose(self, error: ConnectionError | None) -> None:
        """End this end, without a word to the other."""
        self.closing = True
        self.link.transports.pop(self, None)
        if not self.lost:
            self.lost = True
            self.loop.call_soon(self.protocol.connection_lost, error)

    def flush(self) -> None:
        """Deliver what is on its way and no longer held back."""
        if self.outwards not in self.link.held:
            arrived, self.in_flight = self.in_flight, []
            self.peer.unread += arrived
            self.peer._deliver()

    def _send(self, item: bytes | ConnectionError | None) -> None:
        self.in_flight.append(item)
        self.loop.call_later(LATENCY.total_seconds(), self.flush)

    def _deliver(self) -> None:
        while self.unread and not self.paused and not self.closing:
            item = self.unread.pop(0)
            if isinstance(item, bytes):
                self.protocol.data_received(item)
            elif item is None:
                if not self.protocol.eof_received():
                    self.close()
            else:
                self.lose(item)


def connect(
    loop: asyncio.AbstractEventLoop,
    near: asyncio.Protocol,
    far: asyncio.Protocol,
    link: Link,
) -> MemoryTransport:
    """Connect two protocols; return the transport of the near one."""
    ends = [
        MemoryTransport(loop, protocol, link, outwards)
        for protocol, outwards in ((near, True), (far, False))
    ]
    ends[0].peer, ends[1].peer = ends[1], ends[0]
    link.transports.update(dict.fromkeys(ends))
    far.connection_made(ends[1])
    near.connection_made(ends[0])
    return ends[0]

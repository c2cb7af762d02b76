"""TCP proxies before endpoints: they delay, cut one direction, and reset."""

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass, field

from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.endpoint import Endpoint
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.http import NO_LINGER

PIECE = 65_536
HOST = "127.0.0.1"


@dataclass
class Direction:
    """One direction through a proxy.

    Attributes
    ----------
    delay_s : float
        Added to each piece, in order.
    open : asyncio.Event
        While it is not set, bytes are held back.
    """

    delay_s: float = 0.0
    open: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Let bytes pass."""
        self.open.set()


class EndpointProxy:
    """Forwards bytes between instances and an endpoint that is listed at its address.

    What was sent before a close or a reset still arrives, as on a network.

    Parameters
    ----------
    platform : Deployment

    Attributes
    ----------
    requests, responses : Direction
    """

    def __init__(self, platform: Deployment) -> None:
        self.platform = platform
        self.thread = platform.thread
        self.endpoint: Endpoint
        self.requests = Direction()
        self.responses = Direction()
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self.server: asyncio.Server = self.thread.run(self._listen())
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def lead_to(self, endpoint: Endpoint) -> None:
        """Lead to an endpoint from now on, and list it at this address."""
        self.endpoint = endpoint
        endpoint.proxy_address = self.address
        if isinstance(endpoint, Engine):
            self.platform.neighbours[self.address] = endpoint
        self.platform.beat(endpoint)

    def delay(self, requests_s: float, responses_s: float) -> None:
        """Delay each direction from now on."""
        self.requests.delay_s, self.responses.delay_s = requests_s, responses_s

    def cut(self, requests: bool, responses: bool) -> None:
        """Hold back what comes in one or both directions until `heal`."""

        def close() -> None:
            for way, closed in ((self.requests, requests), (self.responses, responses)):
                if closed:
                    way.open.clear()

        self.thread.call(close)

    def heal(self) -> None:
        """Let all bytes pass without delay, first those that were held back."""

        def open_again() -> None:
            for way in (self.requests, self.responses):
                way.delay_s = 0.0
                way.open.set()

        self.thread.call(open_again)

    def reset_connections(self) -> None:
        """Reset all open connections on both sides."""

        def reset() -> None:
            for pair in list(self.pairs):
                for writer in pair:
                    reset_connection(writer)

        self.thread.call(reset)

    def close(self) -> None:
        """Accept no further connections, and reset the open ones."""
        self.thread.call(self.server.close)
        self.reset_connections()

    async def _listen(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, HOST, 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.endpoint.address.partition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset_connection(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                forward(reader, far_writer, self.requests),
                forward(far_reader, writer, self.responses),
            )
        finally:
            self.pairs.discard(pair)
            for each in pair:
                each.close()


async def forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Direction
) -> None:
    """Forward one direction until its sender closes or resets."""
    with suppress(OSError):
        while True:
            try:
                data = await reader.read(PIECE)
            except OSError:
                reset_connection(writer)
                return
            await asyncio.sleep(way.delay_s)
            await way.open.wait()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection at once."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()

"""Handing over a configuration or a list of endpoints, over TCP.

A question and its answer each are one frame: four bytes of length, then MessagePack.
One question a connection, all within a time-out, because a connection between
instances may fall silent for good.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from socket import socket

import msgspec

from ..network.decoding import UNDECODABLE
from .errors import PullError
from .kinds.configuration import Order
from .members import Address

LENGTH_BYTES = 4
LONGEST_QUESTION = 1024
LONGEST_ANSWER = 16 * 1024 * 1024
PULL_TIMEOUT = timedelta(seconds=1)


class Matter(Enum):
    """What can be pulled."""

    CONFIGURATION = "c"
    LISTING = "l"


class Held(msgspec.Struct, array_like=True, frozen=True):
    """What an instance has of a matter.

    Parameters
    ----------
    version : int
        Row version, by which the release before compares.
    payload : bytes
        The raw row, or rows, as the store gave them; opaque here.
    order : Order
        Tells whether it is newer than what another instance has.
    """

    version: int
    payload: bytes
    order: Order = ()


class Question(msgspec.Struct, array_like=True, frozen=True):
    """Asks for a matter within a fleet, by the fleet's tag."""

    fleet: int
    matter: Matter


Holdings = Callable[[Matter], Held | None]
"""Returns what this instance can hand over."""


async def read_frame(reader: asyncio.StreamReader, longest: int) -> bytes:
    """Read one frame.

    Raises
    ------
    PullError
        If it is longer than allowed.
    """
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if size > longest:
        raise PullError(f"a frame of {size} bytes is too long")
    return await reader.readexactly(size)


def frame(message: msgspec.Struct | None) -> bytes:
    """Return a message as a frame."""
    body = msgspec.msgpack.encode(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


async def pull(address: Address, fleet: int, matter: Matter) -> Held:
    """Ask a peer for a matter.

    Raises
    ------
    PullError
        If it hands nothing over in time.
    """
    try:
        async with asyncio.timeout(PULL_TIMEOUT.total_seconds()):
            return await ask(address, Question(fleet, matter))
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise PullError(f"{address.host}: {error!r}") from error
    except UNDECODABLE as error:
        raise PullError(f"{address.host}: can't be read: {error}") from error


async def ask(address: Address, question: Question) -> Held:
    """Connect, ask once and close."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        writer.write(frame(question))
        body = await read_frame(reader, LONGEST_ANSWER)
    finally:
        writer.close()
    held = msgspec.msgpack.decode(body, type=Held | None)
    if held is None:
        raise PullError(f"{address.host} has nothing to hand over")
    return held


class PullServer:
    """Answers peers' questions.

    Parameters
    ----------
    fleet : int
        Tag of the fleet; questions of others are not answered.
    holdings : Holdings
        What there is to hand over.
    """

    def __init__(self, fleet: int, holdings: Holdings) -> None:
        self.fleet = fleet
        self.holdings = holdings
        self.server: asyncio.Server | None = None

    async def start(self, bound: socket) -> None:
        """Listen on a socket that is bound."""
        self.server = await asyncio.start_server(self.serve, sock=bound)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one question; whoever asks badly or slowly gets none."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT.total_seconds()):
                body = await read_frame(reader, LONGEST_QUESTION)
                question = msgspec.msgpack.decode(body, type=Question)
                if question.fleet == self.fleet:
                    writer.write(frame(self.holdings(question.matter)))
                    await writer.drain()
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            *UNDECODABLE,
            PullError,
        ):
            writer.transport.abort()
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()

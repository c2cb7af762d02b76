"""Scripted store on loopback, for tests of the store client."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

Reply = bytes | None
"""Bytes to send; None sends no answer; empty bytes close the connection."""


@dataclass
class ScriptedStore:
    """Records calls and answers them by a function.

    Attributes
    ----------
    answer : Callable
        Maps the request line and body to the reply.
    connections : int
        Number of connections opened.
    calls : list of str
        Request lines in the order of arrival.
    """

    answer: Callable[[str, bytes], Reply]
    port: int = 0
    connections: int = 0
    calls: list[str] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    closing: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def address(self) -> str:
        """Address of the listener."""
        return f"127.0.0.1:{self.port}"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        self.connections += 1
        try:
            while await self.serve_call(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call; return whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = 0
        for line in head.lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        body = await reader.readexactly(length)
        self.calls.append(head.split("\r\n")[0])
        self.bodies.append(body)
        reply = self.answer(self.calls[-1], body)
        if reply is None:
            await self.closing.wait()
            return False
        writer.write(reply)
        await writer.drain()
        return reply != b""


def reply(status: int, body: bytes = b"{}", extra: str = "") -> bytes:
    """Return a complete HTTP response."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


@asynccontextmanager
async def scripted_store(
    answer: Callable[[str, bytes], Reply],
) -> AsyncIterator[ScriptedStore]:
    """Run a scripted store until the block ends."""
    store = ScriptedStore(answer)
    server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
    store.port = server.sockets[0].getsockname()[1]
    try:
        yield store
    finally:
        store.closing.set()
        server.close()
        await server.wait_closed()


def run(work: Awaitable[None]) -> None:
    """Run a test's coroutine to completion."""

    async def whole() -> None:
        await work

    asyncio.run(whole())

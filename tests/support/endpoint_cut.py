"""Cuts an instance off from all endpoints, inside its own process.

The store, its peers and its callers still reach it.
"""

import asyncio
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any

POLL_S = 0.02
ACK_TIMEOUT_S = 3.0
"""A silent connection breaks after this time, as nothing acknowledges its bytes."""

SITECUSTOMIZE = """\
from tests.support.endpoint_cut import EndpointCut

EndpointCut({path!r}, {addresses!r}).install()
"""


class CutMode(Enum):
    """What happens to connections to endpoints."""

    NONE = ""
    SILENT = "silent"
    """Open ones transfer nothing, and new ones hang."""
    RESET = "reset"
    """Open ones are reset, and new ones refused."""
    NEW_REFUSED = "new-refused"
    """Open ones live on, and new ones are refused."""


class EndpointCut:
    """Replaces the event loop's way to open connections.

    Parameters
    ----------
    path : str
        File that holds the mode.
    addresses : iterable of str
        Endpoints, each as ``IP:PORT``.
    """

    def __init__(self, path: str, addresses: Iterable[str]) -> None:
        self.path = Path(path)
        self.addresses = frozenset(addresses)
        self.open: set[asyncio.Transport] = set()
        self.connect = asyncio.BaseEventLoop.create_connection

    def install(self) -> None:
        """Take effect in this process."""
        cut = self

        async def create_connection(
            loop: asyncio.BaseEventLoop, factory: Any, host: Any, port: Any
        ) -> Any:
            if f"{host}:{port}" not in cut.addresses:
                return await cut.connect(loop, factory, host, port)
            return await cut.connect_to_endpoint(loop, factory, host, port)

        asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[assignment]

    @property
    def mode(self) -> CutMode:
        """The mode now."""
        return CutMode(self.path.read_text() if self.path.exists() else "")

    async def connect_to_endpoint(
        self, loop: asyncio.BaseEventLoop, factory: Any, host: str, port: int
    ) -> Any:
        """Open a connection, unless the cut prevents it."""
        mode = self.mode
        if mode is CutMode.SILENT:
            await asyncio.sleep(60)
        if mode is not CutMode.NONE:
            raise ConnectionRefusedError
        transport, protocol = await self.connect(loop, factory, host, port)
        watcher = loop.create_task(self.watch(transport))
        protocol.watcher = watcher  # keeps a reference, or the task may be collected
        return transport, protocol

    async def watch(self, transport: Any) -> None:
        """Apply the mode to an open connection."""
        while not transport.is_closing():
            mode = self.mode
            if mode is CutMode.RESET:
                transport.abort()
            elif mode is CutMode.SILENT:
                transport.pause_reading()
                transport.write = lambda data: None
                await asyncio.sleep(ACK_TIMEOUT_S)
                transport.abort()
            await asyncio.sleep(POLL_S)

"""Finding peers by the shared rows: one row an instance, under its name."""

from typing import Protocol

import msgspec

from ..directory.errors import ConflictError
from ..directory.rows import ABSENT, RowCondition, RowPut, Rows
from ..network.decoding import UNDECODABLE
from .members import Identity
from .wire import WireName, from_wire, to_wire

TABLE = "gossip-peers"


class PeerRows(Protocol):
    """Where instances write that they exist."""

    async def publish(self, me: Identity) -> bool:
        """Write the own row; return whether there was none of an earlier life."""
        ...

    async def republish(self, me: Identity) -> None:
        """Write the own row whether or not there is one."""
        ...

    async def read(self) -> list[Identity]:
        """Read all rows, those of instances that are gone as well."""
        ...


class SharedPeerRows:
    """Peers in the shared rows.

    No row is ever removed: an instance that comes again writes over its own, and a
    row of one that does not costs its readers one unanswered datagram now and then.
    """

    def __init__(self, rows: Rows) -> None:
        self.rows = rows

    async def publish(self, me: Identity) -> bool:
        """Write the own row; return whether there was none of an earlier life.

        A write whose answer was lost is taken for an earlier life's when it is made
        again. What follows is a share that begins a window later, and never too early.
        """
        try:
            absent = RowCondition(TABLE, "", me.instance, ABSENT)
            await self.rows.write([row_put(me)], conditions=[absent])
        except ConflictError:
            await self.republish(me)
            return False
        return True

    async def republish(self, me: Identity) -> None:
        """Write the own row whether or not there is one."""
        await self.rows.write([row_put(me)])

    async def read(self) -> list[Identity]:
        """Read all rows; one that can't be read is passed over."""
        found: list[Identity] = []
        start: str | None = None
        while True:
            page = await self.rows.read(TABLE, start=start)
            for row in page.rows:
                found += read_row(row.value)
            if not page.truncated or not page.rows:
                return found
            start = page.rows[-1].key + "\0"


def row_put(me: Identity) -> RowPut:
    """Return the row of an instance."""
    return RowPut(TABLE, "", me.instance, msgspec.msgpack.encode(to_wire(me)))


def read_row(value: bytes) -> list[Identity]:
    """Return the identity in a row, none if it is in another format."""
    try:
        return [from_wire(msgspec.msgpack.decode(value, type=WireName))]
    except UNDECODABLE:
        return []

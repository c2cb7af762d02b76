"""Gossip instances without sockets that discover each other by rows of the store."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
from random import Random
from typing import Any, cast

from mimosafork.clock import ManualClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.errors import ConflictError, StoreUnavailableError
from mimosafork.directory.row_version import RowVersion
from mimosafork.directory.rows import (
    ABSENT,
    Row,
    RowCondition,
    RowKey,
    RowPage,
    RowPut,
)
from mimosafork.gateway.fleet_shares import FleetShares
from mimosafork.gateway.gossip_adapter import GossipAdapter
from mimosafork.gateway.policies.fleet_view import FleetView
from mimosafork.gateway.subset_selector import SubsetSelector
from mimosafork.gossip.finding import Finder
from mimosafork.gossip.options import GossipOptions
from mimosafork.gossip.peer_rows import TABLE, SharedPeerRows
from mimosafork.gossip.service import Gossip
from mimosafork.gossip.sockets import Sockets

from .directories import ScriptedConfigurations, ScriptedEndpoints
from .gossip_network import identity
from .versions import version


class FakeRowStore:
    """Rows in memory, in pages of two; fails while `down` is set."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.down = False
        self.writes = 0

    async def read(
        self,
        table: str,
        part: str = "",
        start: str | None = None,
        end: str | None = None,
        limit: int | None = None,
    ) -> RowPage:
        self.check()
        keys = sorted(key for key in self.rows if start is None or key >= start)
        rows = tuple(
            Row(table, part, key, self.rows[key], version(1)) for key in keys[:2]
        )
        return RowPage(rows, version(1), len(keys) > 2)

    async def changes(self, table: str, after: RowVersion, wait: timedelta) -> RowPage:
        raise NotImplementedError

    async def write(
        self,
        puts: Sequence[RowPut] = (),
        removes: Sequence[RowKey] = (),
        conditions: Sequence[RowCondition] = (),
    ) -> RowVersion:
        self.check()
        assert [put.table for put in puts] == [TABLE]
        for each in conditions:
            assert each.version == ABSENT
            if each.key in self.rows:
                raise ConflictError("the row exists")
        self.writes += 1
        self.rows.update({put.key: put.value for put in puts})
        return version(1)

    def check(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")


class GossipInstance:
    """One incarnation of an instance: its gossip adapter, gossip and finder.

    Parameters
    ----------
    number : int
        In the instance's name.
    """

    def __init__(self, rows: FakeRowStore, clock: ManualClock, number: int) -> None:
        me = identity(number)
        directory = Directory(
            ScriptedConfigurations(), ScriptedEndpoints(), clock, Random(1)
        )
        self.sharing = GossipAdapter(
            directory,
            lambda message: None,
            lambda endpoint: None,
            clock,
            SubsetSelector(me.instance, FleetView()),
        )
        self.gossip = Gossip(
            GossipOptions(me.instance, me.zone, "blue"),
            Sockets(cast(Any, None), cast(Any, None), me.address),
            lambda matter: None,
            self.sharing.callbacks,
            SharedPeerRows(rows),
            clock,
            Random(number),
        )
        self.shares = FleetShares(clock)
        self.sharing.gossip = self.shares.gossip = self.gossip

    def discover_peers(self) -> bool:
        """Write the own row and read all rows; return whether to repeat soon."""
        finder = self.gossip.finder
        assert isinstance(finder, Finder)
        asyncio.run(finder.look())
        return finder.looks_again

    def slack_share(self, slack: float = 100.0) -> int:
        """Return this instance's share of a slack."""
        return self.shares.of_retries().portion_of(slack)

"""Writes the own row again after the store was restored from a copy."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..directory.errors import RowsError
from ..directory.restore_writes import write_delay
from ..telemetry.catalogue.gossip import GOSSIP_STORE_UNREACHED
from ..telemetry.logs import log_event
from .members import Identity
from .peer_rows import PeerRows

logger = logging.getLogger(__name__)

RETRY_DELAY = timedelta(seconds=1)


class RowKeeper:
    """Keeps the own row in a store that may lose it.

    Without it, an instance that starts on a copy would not find those whose rows the
    copy lacks.

    Parameters
    ----------
    members : callable
        Returns the number of instances that write their rows.
    """

    def __init__(
        self,
        me: Identity,
        rows: PeerRows,
        random: Random,
        members: Callable[[], int],
    ) -> None:
        self.me = me
        self.rows = rows
        self.random = random
        self.members = members
        self.restored = asyncio.Event()

    def receive_restore(self, era: int) -> None:
        """Have the own row written again soon."""
        self.restored.set()

    async def run(self) -> None:
        """Write the row after each restore, until cancelled."""
        while True:
            await self.restored.wait()
            self.restored.clear()
            delay = write_delay(self.members(), self.random)
            await asyncio.sleep(delay.total_seconds())
            while not await self.written():
                await asyncio.sleep(RETRY_DELAY.total_seconds())

    async def written(self) -> bool:
        """Write the row; return whether the store took it."""
        try:
            await self.rows.republish(self.me)
        except RowsError as error:
            log_event(logger, GOSSIP_STORE_UNREACHED, error=str(error))
            return False
        return True

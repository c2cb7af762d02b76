"""Finding peers by the store: write the own row once, read all now and then."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..directory.errors import RowsError
from ..telemetry.catalogue.gossip import GOSSIP_STORE_UNREACHED
from ..telemetry.logs import log_event
from .members import Identity
from .peer_rows import PeerRows

logger = logging.getLogger(__name__)

READ_EVERY = timedelta(seconds=60)
"""While peers are heard, which tell of all others: the rows then only join parts of a
fleet that have forgotten each other, after a minute of silence. Of two instances that
start together the later to write its row reads the other's. Each of n instances reads n
rows, and each call of the store has a price."""
READ_AGAIN = timedelta(seconds=3)
"""In a fleet that has just been started each looks once more so soon: the first look
finds those who wrote before, and behind a cut the others would count for nobody."""
ALONE_EVERY = timedelta(seconds=3)
"""While no peer is heard; each call of the store has a price."""
FIRST_RETRY = timedelta(milliseconds=500)
LAST_RETRY = timedelta(seconds=1)
"""An instance that starts while the store is lost is known to nobody until its row is
written: it hears of no endpoint that leaves, and is told no newer configuration."""


class Finder:
    """Writes and reads the rows of peers.

    Parameters
    ----------
    learn : callable
        Takes an identity that was read.
    alone : callable
        Whether no peer is heard.
    all_read : callable, optional
        Called each time that all rows have been read, with those of others and
        whether this instance had none of an earlier life. Returns whether they should
        be read again soon.
    """

    def __init__(
        self,
        me: Identity,
        rows: PeerRows,
        random: Random,
        learn: Callable[[Identity], None],
        alone: Callable[[], bool],
        all_read: Callable[[list[Identity], bool], bool] = lambda found, first: False,
    ) -> None:
        self.me = me
        self.rows = rows
        self.random = random
        self.learn = learn
        self.alone = alone
        self.all_read = all_read
        self.published = False
        self.is_first_life = False
        self.looks_again = False

    async def run(self) -> None:
        """Look for peers for good."""
        retry = FIRST_RETRY
        while True:
            done = await self.look()
            pause = ALONE_EVERY if self.alone() else READ_EVERY
            if self.looks_again:
                pause = READ_AGAIN
            if not done:
                pause, retry = retry, min(retry * 2, LAST_RETRY)
            else:
                retry = FIRST_RETRY
            await asyncio.sleep(self.jittered(pause).total_seconds())

    def jittered(self, pause: timedelta) -> timedelta:
        """Return a pause within a quarter of the one that is meant.

        All instances lose the store at the same instant; without it they would all
        come back to it at the same instant too, and be refused.
        """
        return pause * self.random.uniform(0.75, 1.25)

    async def look(self) -> bool:
        """Write the own row if it isn't there, read all; return whether it went."""
        try:
            if not self.published:
                self.is_first_life = await self.rows.publish(self.me)
                self.published = True
            found = await self.rows.read()
        except RowsError as error:
            log_event(logger, GOSSIP_STORE_UNREACHED, error=str(error))
            return False
        for identity in found:
            self.learn(identity)
        others = [each for each in found if each.instance != self.me.instance]
        self.looks_again = self.all_read(others, self.is_first_life)
        return True

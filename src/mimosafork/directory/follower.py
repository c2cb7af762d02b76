"""Following one table: read whole once, then change by change."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random
from typing import Protocol

from ..clock import Clock
from ..telemetry.catalogue.directory import (
    FEED_CUT,
    FOLLOWER_FAULT,
    STALE_READ,
    STORE_LOST,
    STORE_REGAINED,
    WHOLE_READ,
)
from ..telemetry.logs import log_event
from .errors import HistoryGoneError, RowsError
from .health import Horizon, StoreHealth
from .rows import RowPage
from .settings import FollowSettings
from .sources import RowSource

logger = logging.getLogger(__name__)

Sleep = Callable[[timedelta], Awaitable[None]]
MILLISECOND = timedelta(milliseconds=1)
LEAST_JITTER = 0.75
"""Smallest part of a retry's pause that is made."""


class Taker(Protocol):
    """Takes what a follower reads."""

    def contradicted_by(self, page: RowPage) -> bool:
        """Whether a whole read is older than what is known."""
        ...

    def take_whole(self, page: RowPage) -> None:
        """Take all rows; what is not among them is gone."""
        ...

    def take_changes(self, page: RowPage) -> None:
        """Take changed rows."""
        ...

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return how long the next call may wait for changes."""
        ...


class Follower:
    """Reads a table whole and follows its changes, through outages of the store.

    Parameters
    ----------
    name : str
        What the table holds, for logs.
    source : RowSource
        Where it is read.
    taker : Taker
        Who takes what was read.
    settings : FollowSettings
        Its times.
    clock : Clock
        Its monotonic scale is used.
    random : Random
        Spreads the retries of instances that failed together.
    health : StoreHealth
        Of this table alone: one feed that falls silent casts no doubt on another.
    horizon : Horizon
        Shared by all who hear of versions.

    Attributes
    ----------
    position : int or None
        Changes are followed from here; None if the table is to be read whole.
    answered_at : timedelta or None
        Monotonic instant of the last answer that was taken.
    """

    def __init__(
        self,
        name: str,
        source: RowSource,
        taker: Taker,
        settings: FollowSettings,
        clock: Clock,
        random: Random,
        health: StoreHealth,
        horizon: Horizon,
    ) -> None:
        self.name = name
        self.source = source
        self.taker = taker
        self.settings = settings
        self.clock = clock
        self.random = random
        self.health = health
        self.horizon = horizon
        self.position: int | None = None
        self.answered_at: timedelta | None = None
        self.troubles = 0

    @property
    def age(self) -> timedelta | None:
        """Time since the last answer that was taken."""
        if self.answered_at is None:
            return None
        return self.clock.monotonic() - self.answered_at

    async def run(self, sleep: Sleep) -> None:
        """Follow until cancelled.

        Parameters
        ----------
        sleep : Sleep
            Waits for a time.
        """
        while True:
            await sleep(await self.guarded_step())

    async def guarded_step(self) -> timedelta:
        """Do a step, and go on after a fault of this program.

        Guard: a fault while a page is taken would end the task; the instance would
        serve on by what it knew, for ever. The page may be half taken, so the
        table is read whole again.
        """
        try:
            return await self.step()
        except Exception as error:  # noqa: BLE001
            self.position = None
            log_event(
                logger, FOLLOWER_FAULT, table=self.name, why=repr(error), exc_info=error
            )
            return self.retry_pause()

    async def step(self) -> timedelta:
        """Make one call and take its answer.

        Returns
        -------
        timedelta
            Pause until the next call.
        """
        try:
            if self.position is None:
                return await self.read_whole()
            return await self.follow(self.position)
        except HistoryGoneError:
            self.note_answer()
            log_event(logger, FEED_CUT, table=self.name, version=self.position)
            self.position = None
        except RowsError as error:
            if self.health.failed():
                silence = self.health.silence
                log_event(
                    logger,
                    STORE_LOST,
                    table=self.name,
                    why=error,
                    age_ms=None if silence is None else silence // MILLISECOND,
                )
        return self.retry_pause()

    async def read_whole(self) -> timedelta:
        """Read the table whole, unless the answer is older than what is known.

        Guard: after a feed was cut, a read may be answered from an older state. An
        endpoint that left in the gap would be back, and one that came would be
        gone. A read as of an earlier version than was seen before it was sent, or
        with a row older than the one known, changes nothing. Versions seen while
        it was under way don't count: the feed of the other table raises them all
        the time, and a slow store could never be read.
        """
        known = self.horizon.version
        page = await self.source.whole()
        self.note_answer()
        if page.version < known or self.taker.contradicted_by(page):
            log_event(
                logger, STALE_READ, table=self.name, version=page.version, known=known
            )
            return self.retry_pause()
        log_event(
            logger,
            WHOLE_READ,
            table=self.name,
            version=page.version,
            count=len(page.rows),
        )
        self.taker.take_whole(page)
        return self.taken(page.version)

    async def follow(self, position: int) -> timedelta:
        """Wait for changes and take them."""
        wait = self.taker.longest_wait(self.settings.wait)
        page = await self.source.changes(position, wait)
        self.note_answer()
        self.taker.take_changes(page)
        return self.taken(max(position, page.version))

    def taken(self, version: int) -> timedelta:
        """Go on from a version; return the pause until the next call."""
        self.position = version
        self.horizon.see(version)
        self.answered_at = self.clock.monotonic()
        self.troubles = 0
        return self.settings.pause

    def note_answer(self) -> None:
        """Note that the store answers."""
        lasted = self.health.answered()
        if lasted is not None:
            log_event(
                logger,
                STORE_REGAINED,
                table=self.name,
                duration_ms=lasted // MILLISECOND,
            )

    def retry_pause(self) -> timedelta:
        """Return the pause before a call after a trouble; it doubles up to a bound."""
        pause = self.settings.first_retry
        for _ in range(self.troubles):
            pause = min(pause * 2, self.settings.last_retry)
            if pause == self.settings.last_retry:
                break
        self.troubles += 1
        return pause * self.random.uniform(LEAST_JITTER, 1.0)


async def sleep(pause: timedelta) -> None:
    """Wait on the running loop."""
    await asyncio.sleep(pause.total_seconds())

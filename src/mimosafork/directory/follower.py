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
from .call_failures import CallFailures
from .errors import HistoryExpiredError, RowsError
from .feed_update import FeedUpdate
from .health import StoreHealth, VersionWatermark
from .peer_feed import MAX_UPDATE_AGE, PeerFeed, ReceivedUpdate
from .rows import RowPage
from .settings import FollowSettings
from .sources import RowSource

logger = logging.getLogger(__name__)

Sleep = Callable[[timedelta], Awaitable[None]]
MILLISECOND = timedelta(milliseconds=1)
MIN_JITTER_FACTOR = 0.75
"""Smallest part of a pause that is made."""
PEER_FOLLOW_PAUSE = timedelta(milliseconds=600)
"""Until one who follows by peers' updates looks at them again. Several changes that
come within it cost one call; peers publish an endpoint's leaving at once all the
same."""


class PageConsumer(Protocol):
    """Takes what a follower reads."""

    def is_newer_than(self, page: RowPage) -> bool:
        """Whether a whole read is older than what is known."""
        ...

    def apply_snapshot(self, page: RowPage) -> None:
        """Take all rows; what is not among them is gone."""
        ...

    def apply_changes(self, page: RowPage) -> None:
        """Take changed rows."""
        ...

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return how long the next call may wait for changes."""
        ...

    def apply_no_change(self, version: int) -> None:
        """Take the update that nothing has changed up to a version."""
        ...

    @property
    def is_uncertain(self) -> bool:
        """Whether the store's own answers are awaited to judge what is known."""
        ...


class TableFollower:
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
    peer_feed : PeerFeed or None
        What peers tell of this table's feed, where they do.

    Attributes
    ----------
    position : int or None
        Changes are followed from here; None if the table is to be read whole.
    changed_at : int
        Version of the newest change that was told, or of the whole read.
    answered_at : timedelta or None
        Monotonic instant of the last answer that was taken, or as of which a peer's
        update stood for one.
    in_step : bool
        Peers are likely to have had an answer at the same instant as the last one.
    asked_at : timedelta
        Monotonic instant of the last call.
    failures : CallFailures
        Calls that failed since the last answer.
    """

    def __init__(
        self,
        name: str,
        source: RowSource,
        consumer: PageConsumer,
        settings: FollowSettings,
        clock: Clock,
        random: Random,
        health: StoreHealth,
        watermark: VersionWatermark,
        peer_feed: PeerFeed | None = None,
    ) -> None:
        self.name = name
        self.source = source
        self.consumer = consumer
        self.settings = settings
        self.clock = clock
        self.random = random
        self.health = health
        self.watermark = watermark
        self.peer_feed = peer_feed
        self.position: int | None = None
        self.last_change_version = 0
        self.answered_at: timedelta | None = None
        self.answered_with_peers = False
        self.called_at = clock.monotonic()
        self.failures = CallFailures()
        self.consecutive_failures = 0

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
            return self.retry_delay()

    async def step(self) -> timedelta:
        """Make one call and take its answer.

        Returns
        -------
        timedelta
            Pause until the next call.
        """
        self.called_at = self.clock.monotonic()
        try:
            if self.position is None:
                return await self.read_whole()
            return await self.follow(self.position)
        except HistoryExpiredError:
            self.record_answer()
            log_event(logger, FEED_CUT, table=self.name, version=self.position)
            self.position = None
        except RowsError as error:
            self.failures.add(str(error), self.clock.monotonic() - self.called_at)
            if self.health.record_failure():
                silence = self.health.time_since_answer
                log_event(
                    logger,
                    STORE_LOST,
                    table=self.name,
                    why=error,
                    age_ms=None if silence is None else silence // MILLISECOND,
                )
        return self.retry_delay()

    async def read_whole(self) -> timedelta:
        """Read the table whole, unless the answer is older than what is known.

        Guard: after a feed was cut, a read may be answered from an older state. An
        endpoint that left in the gap would be back, and one that came would be
        gone. A read as of an earlier version than was seen before it was sent, or
        with a row older than the one known, changes nothing. Versions seen while
        it was under way don't count: the feed of the other table raises them all
        the time, and a slow store could never be read.
        """
        known = self.watermark.version
        page = await self.source.whole()
        self.record_answer()
        if page.version < known or self.consumer.is_newer_than(page):
            log_event(
                logger, STALE_READ, table=self.name, version=page.version, known=known
            )
            return self.retry_delay()
        log_event(
            logger,
            WHOLE_READ,
            table=self.name,
            version=page.version,
            count=len(page.rows),
        )
        self.last_change_version = page.version
        self.answered_with_peers = True
        self.consumer.apply_snapshot(page)
        return self.advance(page.version)

    async def follow(self, position: int) -> timedelta:
        """Wait for changes and take them, unless peers say that there are none."""
        if self.peer_feed is None:
            await self.poll_changes(position, self.poll_wait())
            return self.settings.pause
        heard = self.covering_update(position, self.peer_feed)
        if heard is not None:
            left = heard.remaining_freshness(self.peer_feed.clock.monotonic())
            self.apply_peer_update(position, heard.update, MAX_UPDATE_AGE - left)
            usual = PEER_FOLLOW_PAUSE * self.random.uniform(MIN_JITTER_FACTOR, 1.0)
            return min(usual, left + MILLISECOND)
        asked_at = self.peer_feed.clock.monotonic()
        wait = self.peer_feed.reader_wait(self.poll_wait(), self.random)
        followed = await self.poll_changes(position, wait)
        if not self.consumer.is_uncertain:
            self.peer_feed.publish_answer(
                FeedUpdate(self.last_change_version, followed), asked_at, wait
            )
        return self.settings.pause

    def poll_wait(self) -> timedelta:
        """Return how long the next call may wait for changes.

        While the store is lost it doesn't: the answer tells that the store is back. A
        wait that is longer among peers relies on calls at all instants. One change, or
        one return of the store, has all of them ask at the same instant; the calls
        after it are spread over what they wait longer, or over an instance's own wait.
        """
        if self.health.lost_at is not None:
            return timedelta(0)
        alone = self.settings.wait
        among_peers = self.consumer.longest_wait(alone)
        if self.answered_with_peers and among_peers > alone:
            return max(among_peers - alone, alone) * self.random.random()
        return among_peers

    async def poll_changes(self, position: int, wait: timedelta) -> int:
        """Ask the store for changes and take them; return the new position."""
        page = await self.source.changes(position, wait)
        self.answered_with_peers = bool(page.rows) or self.health.lost_at is not None
        self.record_answer()
        self.last_change_version = max(
            [self.last_change_version, *(row.version for row in page.rows)]
        )
        self.consumer.apply_changes(page)
        followed = max(position, page.version)
        self.advance(followed)
        return followed

    def covering_update(
        self, position: int, peer_feed: PeerFeed
    ) -> ReceivedUpdate | None:
        """Return a peer's fresh update by which nothing has changed, if there is one.

        Guard: while something is in doubt the own answers judge it. An instance that
        has lost the store, or holds what vanished around an outage, asks on.
        """
        if self.health.lost_at is not None or self.consumer.is_uncertain:
            return None
        return peer_feed.newest_covering(position)

    def apply_peer_update(
        self, position: int, update: FeedUpdate, age: timedelta
    ) -> None:
        """Take a peer's update that nothing has changed for an empty answer.

        Guard: the position goes on with the update. One that stood still would fall out
        of the history that the store keeps, and the table be read whole.
        """
        told_at = self.clock.monotonic() - age
        self.health.record_peer_answer(told_at)
        self.consumer.apply_no_change(update.followed)
        self.position = max(position, update.followed)
        self.watermark.observe(self.position)
        self.answered_at = told_at

    def advance(self, version: int) -> timedelta:
        """Go on from a version; return the pause until the next call."""
        self.position = version
        self.watermark.observe(version)
        self.answered_at = self.clock.monotonic()
        self.consecutive_failures = 0
        return self.settings.pause

    def record_answer(self) -> None:
        """Note that the store answers."""
        lasted = self.health.record_answer()
        if lasted is not None:
            self.consecutive_failures = 0
        failures, self.failures = self.failures, CallFailures()
        if lasted is not None:
            log_event(
                logger,
                STORE_REGAINED,
                table=self.name,
                duration_ms=lasted // MILLISECOND,
                answered_in_ms=(self.clock.monotonic() - self.called_at) // MILLISECOND,
                failed_calls=failures.count,
                longest_ms=failures.longest // MILLISECOND,
                why=failures.last_reason,
            )

    def retry_delay(self) -> timedelta:
        """Return the pause before a call after a trouble.

        The time between two calls doubles up to a bound. One that was waited for takes
        its time from the pause: the longer a store keeps silent, the sooner its return
        is to be noticed.
        """
        pause = self.settings.initial_retry_delay
        for _ in range(self.consecutive_failures):
            pause = min(pause * 2, self.settings.max_retry_delay)
            if pause == self.settings.max_retry_delay:
                break
        self.consecutive_failures += 1
        waited = self.clock.monotonic() - self.called_at
        left = max(pause - waited, self.settings.initial_retry_delay)
        return left * self.random.uniform(MIN_JITTER_FACTOR, 1.0)


async def sleep(pause: timedelta) -> None:
    """Wait on the running loop."""
    await asyncio.sleep(pause.total_seconds())

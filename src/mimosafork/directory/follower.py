"""Follower of one table: a full read, then a feed of changes."""

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
from .era import StoreEra
from .errors import HistoryExpiredError, RowsError
from .feed_update import FeedUpdate
from .health import StoreHealth, VersionWatermark
from .peer_feed import MAX_UPDATE_AGE, PeerFeed, ReceivedUpdate
from .row_version import NO_VERSION, RowVersion
from .rows import RowPage
from .settings import FollowSettings
from .sources import RowSource

logger = logging.getLogger(__name__)

Sleep = Callable[[timedelta], Awaitable[None]]
MILLISECOND = timedelta(milliseconds=1)
MIN_JITTER_FACTOR = 0.75
"""Smallest factor that jitter applies to a delay."""
PEER_FOLLOW_PAUSE = timedelta(milliseconds=600)
"""Interval at which a follower that relies on peers' updates checks them. Several
changes within it cost one call; peers still publish a draining endpoint immediately."""


class PageConsumer(Protocol):
    """Applies the pages that a follower reads."""

    def is_newer_than(self, page: RowPage) -> bool:
        """Whether the known state is newer than a full read."""
        ...

    def apply_snapshot(self, page: RowPage) -> None:
        """Apply all rows; rows that are not among them have been removed."""
        ...

    def apply_changes(self, page: RowPage) -> None:
        """Apply changed rows."""
        ...

    def longest_wait(self, usual: timedelta) -> timedelta:
        """Return the longest timeout of the next long poll, given the usual one."""
        ...

    def apply_no_change(self, version: RowVersion) -> None:
        """Apply the update that nothing has changed up to a version."""
        ...

    @property
    def is_uncertain(self) -> bool:
        """Whether the known state can only be resolved by answers of the store."""
        ...


class TableFollower:
    """Reads a table in full and follows its changes, through outages of the store.

    Parameters
    ----------
    name : str
        Name of the table, for logs.
    source : RowSource
        Source of the rows.
    consumer : PageConsumer
        Applies the pages that were read.
    settings : FollowSettings
        Timeouts and intervals.
    clock : Clock
        Its monotonic scale is used.
    random : Random
        Jitters the retries of instances that failed together.
    health : StoreHealth
        Health of this table's feed only: one stalled feed does not make others
        uncertain.
    watermark : VersionWatermark
        Highest version seen; shared by all followers.
    peer_feed : PeerFeed or None
        Updates from peers about this table's feed; one without peers by default.
    era : StoreEra or None
        The store's era; shared by all followers. A new one by default.

    Attributes
    ----------
    position : RowVersion or None
        Version after which changes are followed; None if a full read is needed.
    last_change_version : RowVersion
        Version of the newest change that was received, or of the full read.
    answered_at : timedelta or None
        Monotonic instant of the last answer that was applied, or as of which a peer's
        update replaced one.
    answered_with_peers : bool
        Peers probably received an answer at the same instant as the last one.
    called_at : timedelta
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
        era: StoreEra | None = None,
    ) -> None:
        self.name = name
        self.source = source
        self.consumer = consumer
        self.settings = settings
        self.clock = clock
        self.random = random
        self.health = health
        self.watermark = watermark
        self.peer_feed = peer_feed or PeerFeed(clock)
        self.era = era or StoreEra()
        self.position: RowVersion | None = None
        self.last_change_version = NO_VERSION
        self.answered_at: timedelta | None = None
        self.answered_with_peers = False
        self.called_at = clock.monotonic()
        self.failures = CallFailures()
        self.consecutive_failures = 0

    @property
    def age(self) -> timedelta | None:
        """Time since the last answer that was applied."""
        if self.answered_at is None:
            return None
        return self.clock.monotonic() - self.answered_at

    async def run(self, sleep: Sleep) -> None:
        """Follow until cancelled.

        Parameters
        ----------
        sleep : Sleep
            Sleeps for a duration.
        """
        while True:
            await sleep(await self.guarded_step())

    async def guarded_step(self) -> timedelta:
        """Run a step and recover from unexpected exceptions.

        Guard: an exception while a page is applied would end the task, and the instance
        would serve with stale state forever. The page may be partly applied, so the
        table is read in full again.
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
        """Make one call and apply its answer.

        Returns
        -------
        timedelta
            Delay before the next call.
        """
        self.called_at = self.clock.monotonic()
        try:
            if self.position is None:
                return await self.read_whole()
            return await self.follow(self.position)
        except HistoryExpiredError:
            self.record_answer()
            self.log_cut()
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
        """Read the full table; ignore the answer if it is stale.

        Guard: after a feed was interrupted, a read may return an older state, which
        would restore endpoints that left meanwhile and drop new ones. A read as of a
        version older than the watermark at the time of the call, or with a row older
        than the known one, is ignored. Versions seen during the call don't count: the
        feed of the other table raises them continually, and a slow store could never
        be read.
        """
        known = self.watermark.version
        asked_at = self.peer_feed.clock.monotonic()
        page = await self.source.whole()
        self.record_answer()
        self.era.observe(page.version, known)
        if page.version < known or self.consumer.is_newer_than(page):
            log_event(
                logger,
                STALE_READ,
                table=self.name,
                version=page.version.number,
                era=page.version.era,
                known=known.number,
                known_era=known.era,
            )
            return self.retry_delay()
        log_event(
            logger,
            WHOLE_READ,
            table=self.name,
            version=page.version.number,
            era=page.version.era,
            count=len(page.rows),
        )
        before, self.last_change_version = self.last_change_version, page.version
        self.answered_with_peers = True
        self.consumer.apply_snapshot(page)
        self.advance(page.version)
        # Peers that rely on updates read a restored store themselves.
        if before != NO_VERSION and before.era < page.version.era:
            update = FeedUpdate(page.version, page.version)
            self.peer_feed.publish_answer(update, asked_at, timedelta(0))
        return self.settings.pause

    async def follow(self, position: RowVersion) -> timedelta:
        """Poll for changes, unless peers report that there are none."""
        received = self.covering_update(position)
        if received is not None:
            freshness_left = received.remaining_freshness(
                self.peer_feed.clock.monotonic()
            )
            self.apply_peer_update(
                position, received.update, MAX_UPDATE_AGE - freshness_left
            )
            usual = PEER_FOLLOW_PAUSE * self.random.uniform(MIN_JITTER_FACTOR, 1.0)
            return min(usual, freshness_left + MILLISECOND)
        asked_at = self.peer_feed.clock.monotonic()
        wait = self.peer_feed.reader_wait(self.poll_wait(), self.random)
        followed = await self.poll_changes(position, wait)
        if not self.consumer.is_uncertain:
            self.peer_feed.publish_answer(
                FeedUpdate(self.last_change_version, followed), asked_at, wait
            )
        return self.settings.pause

    def poll_wait(self) -> timedelta:
        """Return the timeout of the next long poll.

        It is zero while the store is unavailable, as any answer shows that it is back.
        Longer timeouts among peers rely on polls that are spread over time. After a
        change, or a return of the store, all instances poll at the same instant; their
        next timeouts are spread over the added time or over the timeout of an instance
        without peers, whichever is longer.
        """
        if self.health.lost_at is not None:
            return timedelta(0)
        alone = self.settings.wait
        among_peers = self.consumer.longest_wait(alone)
        if self.answered_with_peers and among_peers > alone:
            return max(among_peers - alone, alone) * self.random.random()
        return among_peers

    async def poll_changes(self, position: RowVersion, wait: timedelta) -> RowVersion:
        """Poll the store for changes and apply them; return the new position.

        Guard: an answer of another era than the position lacks the changes that the
        new era has made up to the position's number. They would never be applied.

        Raises
        ------
        HistoryExpiredError
            If the answer is of another era.
        """
        page = await self.source.changes(position, wait)
        if page.version.era != position.era:
            raise HistoryExpiredError(f"era {page.version.era}")
        self.answered_with_peers = bool(page.rows) or self.health.lost_at is not None
        self.record_answer()
        self.last_change_version = max(
            [self.last_change_version, *(row.version for row in page.rows)]
        )
        self.consumer.apply_changes(page)
        followed = max(position, page.version)
        self.advance(followed)
        return followed

    def covering_update(self, position: RowVersion) -> ReceivedUpdate | None:
        """Return a peer's fresh update that nothing has changed, or None.

        Guard: an uncertain state is resolved only by the store's own answers. An
        instance without the store, or with rows missing after an outage, keeps polling.
        """
        if self.health.lost_at is not None or self.consumer.is_uncertain:
            return None
        return self.peer_feed.newest_covering(position)

    def apply_peer_update(
        self, position: RowVersion, update: FeedUpdate, age: timedelta
    ) -> None:
        """Apply a peer's update that nothing has changed, like an empty answer.

        Guard: the position advances with the update. Otherwise it would fall behind the
        history that the store keeps, and a full read would be needed.
        """
        answered_at = self.clock.monotonic() - age
        self.health.record_peer_answer(answered_at)
        self.consumer.apply_no_change(update.followed)
        self.position = max(position, update.followed)
        self.watermark.observe(self.position)
        self.answered_at = answered_at

    def advance(self, version: RowVersion) -> timedelta:
        """Advance to a version; return the delay before the next call."""
        self.position = version
        self.watermark.observe(version)
        self.answered_at = self.clock.monotonic()
        self.consecutive_failures = 0
        return self.settings.pause

    def log_cut(self) -> None:
        """Log that changes can't be followed from the position."""
        if self.position is not None:
            log_event(
                logger,
                FEED_CUT,
                table=self.name,
                version=self.position.number,
                era=self.position.era,
            )

    def record_answer(self) -> None:
        """Record that the store answered."""
        outage_duration = self.health.record_answer()
        if outage_duration is not None:
            self.consecutive_failures = 0
        failures, self.failures = self.failures, CallFailures()
        if outage_duration is not None:
            log_event(
                logger,
                STORE_REGAINED,
                table=self.name,
                duration_ms=outage_duration // MILLISECOND,
                answered_in_ms=(self.clock.monotonic() - self.called_at) // MILLISECOND,
                failed_calls=failures.count,
                longest_ms=failures.longest // MILLISECOND,
                why=failures.last_reason,
            )

    def retry_delay(self) -> timedelta:
        """Return the delay before the call after a failure.

        The time between the starts of two calls doubles up to a maximum. The duration
        of the failed call is subtracted from the delay, so that the return of a store
        that does not answer is detected soon.
        """
        delay = self.settings.initial_retry_delay
        for _ in range(self.consecutive_failures):
            delay = min(delay * 2, self.settings.max_retry_delay)
            if delay == self.settings.max_retry_delay:
                break
        self.consecutive_failures += 1
        waited = self.clock.monotonic() - self.called_at
        left = max(delay - waited, self.settings.initial_retry_delay)
        return left * self.random.uniform(MIN_JITTER_FACTOR, 1.0)


async def sleep(pause: timedelta) -> None:
    """Sleep on the running loop."""
    await asyncio.sleep(pause.total_seconds())

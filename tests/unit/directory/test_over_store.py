"""Tests of the directory with the client of the store and a loopback deployment."""

import asyncio
from base64 import b64encode
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.clock import SystemClock
from mimosafork.directory.directory import Directory
from mimosafork.directory.messages import DirectoryChange, EndpointState
from mimosafork.directory.settings import DirectorySettings, FollowSettings
from mimosafork.ids import EndpointId
from mimosafork.platform.sources import ConfigurationRows, EndpointRows
from mimosafork.platform.store import PreparedStore, StoreTimeouts
from mimosafork.standins.prepared.deployment import Deployment
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.rows import Put, RowName, Transaction
from mimosafork.standins.prepared.store_faults import NO_FAULTS, Refusal, StoreFaults
from mimosafork.standins.prepared.words import TABLE_SERVERS

from ...support.functions import function_tests
from ...support.prepared import DESKS, USUAL_CONFIG, deployment

case = TestCase()

PATIENCE_S = 20.0
"""Maximum time for a change to be applied on a busy machine."""
QUICK = FollowSettings(
    pause=timedelta(milliseconds=5),
    wait=timedelta(milliseconds=100),
    initial_retry_delay=timedelta(milliseconds=5),
    max_retry_delay=timedelta(milliseconds=20),
)
SETTINGS = DirectorySettings(
    configuration=QUICK,
    endpoints=QUICK,
    return_grace=timedelta(seconds=1),
    min_outage=timedelta(0),
)
TIMEOUTS = StoreTimeouts(
    call=timedelta(milliseconds=300), resend_after=timedelta(milliseconds=200)
)


class Following:
    """A directory that follows a deployment, and waits for a state."""

    def __init__(self, address: str) -> None:
        self.store = PreparedStore(address, TIMEOUTS)
        self.directory = Directory(
            ConfigurationRows(self.store),
            EndpointRows(self.store),
            SystemClock(),
            Random(1),
            SETTINGS,
        )
        self.changed = asyncio.Event()
        self.directory.add_listener(self.wake)

    def wake(self, _: DirectoryChange) -> None:
        """Let waiting coroutines check again."""
        self.changed.set()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(PATIENCE_S):
            while not holds():
                self.changed.clear()
                await self.changed.wait()

    async def until_lost(self) -> None:
        """Wait until the directory detects an outage; no message reports it."""
        async with asyncio.timeout(PATIENCE_S):
            while self.directory.endpoint_follower.health.lost_at is None:
                await asyncio.sleep(0.001)

    async def until_both_feeds_told(self, running: Deployment) -> None:
        """Wait until each feed has delivered a change over its connection."""
        await self.until(lambda: self.directory.ready_to_serve)
        version = running.configure(USUAL_CONFIG)
        await self.until(lambda: self.version() == version)
        desk = running.add_desk(EndpointSettings(DESKS))
        await self.until(lambda: self.state(desk.id) is EndpointState.READY)

    def version(self) -> int:
        """Return the version of the active configuration."""
        table = self.directory.table
        return 0 if table is None else table.version

    def state(self, endpoint: str) -> EndpointState | None:
        """Return the state of an endpoint in the directory."""
        entry = self.directory.endpoints.get(EndpointId(endpoint))
        return None if entry is None else entry.state


@asynccontextmanager
async def following(running: Deployment) -> AsyncIterator[Following]:
    """Follow a deployment until the block ends."""
    own = Following(running.store.address)
    own.directory.start()
    try:
        yield own
    finally:
        await own.directory.stop()
        own.store.close()


def with_deployment(work: Callable[[Deployment], Awaitable[None]]) -> None:
    """Run a coroutine with a deployment."""

    async def whole(running: Deployment) -> None:
        await work(running)

    with deployment() as running:
        asyncio.run(whole(running))


def test_configurations_and_endpoints_are_followed() -> None:
    async def work(running: Deployment) -> None:
        desk = running.add_desk(EndpointSettings(DESKS))
        async with following(running) as own:
            await own.until(lambda: own.directory.ready_to_serve)
            await own.until(lambda: own.state(desk.id) is EndpointState.READY)
            version = running.configure(USUAL_CONFIG)
            await own.until(lambda: own.version() == version)
            running.drain(desk)
            await own.until(lambda: own.state(desk.id) is EndpointState.DRAINING)
            running.delist(desk)
            await own.until(lambda: own.state(desk.id) is None)

    with_deployment(work)


def test_an_overwritten_row_suspends_its_endpoint_until_it_reports() -> None:
    """A tool overwrites the row of one endpoint with a malformed document.

    The endpoint gets no new work, its neighbour does; its next report restores it.
    """

    async def work(running: Deployment) -> None:
        bad, good = (running.add_desk(EndpointSettings(DESKS)) for _ in range(2))
        async with following(running) as own:

            def used() -> set[str]:
                entries = own.directory.endpoints
                return {str(n) for n, each in entries.items() if each.takes_new_work}

            await own.until(lambda: used() == {bad.id, good.id})
            name = RowName(TABLE_SERVERS, "", bad.id)
            for value in (b"", b"\xff\xfe", b"[" * 5000, b'{"slots":-1}'):
                text = b64encode(value).decode()
                running.store.write(Transaction(puts=(Put(name, text),)))
                await own.until(lambda: used() == {good.id})
                running.beat(bad)
                await own.until(lambda: used() == {bad.id, good.id})

    with_deployment(work)


def test_silent_connections_are_detected_and_changes_received() -> None:
    """All open connections to the store fall silent for good, without a reset.

    New ones work. A new configuration and the draining report of an endpoint are in the
    store, and the long polls that should deliver them never end.
    """

    async def work(running: Deployment) -> None:
        desk = running.add_desk(EndpointSettings(DESKS))
        async with following(running) as own:
            await own.until_both_feeds_told(running)
            running.store.silence_connections()
            version = running.configure(USUAL_CONFIG)
            running.drain(desk)
            await own.until(lambda: own.version() == version)
            await own.until(lambda: own.state(desk.id) is EndpointState.DRAINING)

    with_deployment(work)


def test_history_dropped_after_a_silent_change_is_recovered() -> None:
    """An endpoint leaves while the feed is silent, and the history is dropped.

    The feed is interrupted, and reads are behind for a while. If a stale read were
    applied, the feed would resume from a state that still lists the endpoint.
    """

    async def work(running: Deployment) -> None:
        desk = running.add_desk(EndpointSettings(DESKS))
        other = running.add_desk(EndpointSettings(DESKS))
        async with following(running) as own:
            await own.until_both_feeds_told(running)
            running.store.set_faults(StoreFaults(stale_reads=True))
            running.delist(desk)
            running.store.drop_history()
            running.store.set_faults(NO_FAULTS)
            await own.until(lambda: own.state(desk.id) is None)
            case.assertIs(EndpointState.READY, own.state(other.id))

    with_deployment(work)


def test_an_outage_of_the_store_costs_no_endpoint() -> None:
    """Rows expire while the store is down, though their endpoints serve.

    One reports again after the recovery and stays in use all the while; the other has
    crashed and is removed some time after the recovery.
    """

    async def work(running: Deployment) -> None:
        alive = running.add_desk(EndpointSettings(DESKS))
        dead = running.add_desk(EndpointSettings(DESKS))
        async with following(running) as own:
            await own.until(lambda: own.state(dead.id) is EndpointState.READY)
            running.store.set_faults(StoreFaults(down=Refusal.UNAVAILABLE))
            await own.until_lost()
            running.delist(alive)
            running.delist(dead)
            seen: list[EndpointState | None] = []
            own.directory.add_listener(lambda _: seen.append(own.state(alive.id)))
            running.store.set_faults(NO_FAULTS)
            running.beat(alive)
            await own.until(lambda: own.state(dead.id) is None)
            case.assertEqual({EndpointState.READY}, set(seen))

    with_deployment(work)


def test_refusals_and_resets_leave_what_is_known_in_force() -> None:
    async def work(running: Deployment) -> None:
        desk = running.add_desk(EndpointSettings(DESKS))
        async with following(running) as own:
            await own.until(lambda: own.directory.ready_to_serve)
            await own.until(lambda: own.state(desk.id) is EndpointState.READY)
            for refusal in Refusal:
                running.store.set_faults(StoreFaults(down=refusal))
                await own.until_lost()
                case.assertTrue(own.directory.ready_to_serve)
                case.assertIs(EndpointState.READY, own.state(desk.id))
                running.store.set_faults(NO_FAULTS)
                changed = replace(USUAL_CONFIG)
                version = running.configure(changed)
                await own.until(lambda wanted=version: own.version() == wanted)  # type: ignore[misc]
                running.beat(desk)

    with_deployment(work)


load_tests = function_tests(__name__)

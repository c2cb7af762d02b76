"""Tests of how soon an instance follows the store again after a trouble."""

import asyncio
from datetime import timedelta
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.follower import sleep

from ...support.functions import function_tests
from ...support.virtual_store import (
    Trouble,
    VirtualStore,
    following_instance,
    run_followed,
)

case = TestCase()

LONG_OUTAGES_S = (2.7, 3.3, 4.1, 5.6, 7.4, 9.8)
SHORT_OUTAGES_S = (0.2, 0.6, 1.1, 1.9, 2.3)
LONGEST_RETURN_S = 1.5
"""From the store's return to the configuration in force, once the store is missed."""
LONGEST_UNNOTICED_S = 2.7
"""The same if its return comes before it is missed: what finds a silent connection."""
SLOW_STORE_S = 6.0
INSTANCES = 7


async def return_of(
    store: VirtualStore,
    clock: ManualClock,
    trouble: Trouble,
    outage_s: float,
    begins_s: float = 1.0,
) -> float:
    """Return the seconds from the end of a trouble to the newest configuration."""
    own = following_instance(store, clock, seed=1)
    store.configure(1)
    own.directory.start()
    await own.until(1, 5.0)
    await asyncio.sleep(begins_s)
    store.set_trouble(trouble)
    await asyncio.sleep(outage_s)
    store.set_trouble(Trouble.NONE)
    store.configure(2)
    took_s = await own.until(2, 20.0)
    await own.directory.stop()
    return took_s


def slowest_return(
    trouble: Trouble, outages_s: tuple[float, ...], begins_s: float = 1.0
) -> float:
    """Return the slowest of some outages' returns."""
    seen: list[float] = []

    for outage_s in outages_s:

        async def work(
            store: VirtualStore, clock: ManualClock, outage_s: float = outage_s
        ) -> None:
            seen.append(await return_of(store, clock, trouble, outage_s, begins_s))

        run_followed(work)
    return max(seen)


def test_return_of_a_silent_store_is_noticed_soon() -> None:
    """A call sent into the silence must not put off the next one by its time-out."""
    for trouble in (Trouble.SILENT, Trouble.UNREACHABLE):
        slowest = slowest_return(trouble, LONG_OUTAGES_S)
        case.assertLess(slowest, LONGEST_RETURN_S)


def test_return_of_a_refusing_store_is_noticed_soon() -> None:
    """Pauses between refused calls must not grow past the time to apply a change."""
    for trouble in (
        Trouble.BUSY,
        Trouble.TOO_MANY,
        Trouble.RESETTING,
        Trouble.CLOSED,
    ):
        slowest = slowest_return(trouble, LONG_OUTAGES_S[:3])
        case.assertLess(slowest, LONGEST_RETURN_S)


def test_silence_that_ends_before_it_is_noticed_is_bounded_too() -> None:
    """A call that a short silence swallowed must end within its own time-out."""
    for begins_s in (0.05, 0.3, 1.0):
        slowest = slowest_return(Trouble.SILENT, SHORT_OUTAGES_S, begins_s)
        case.assertLess(slowest, LONGEST_UNNOTICED_S)


def test_a_start_in_a_silence_ends_soon_after_it() -> None:
    """An instance that starts while the store is silent must not wait out a read."""
    seen: list[float] = []

    for outage_s in LONG_OUTAGES_S:

        async def work(
            store: VirtualStore, clock: ManualClock, outage_s: float = outage_s
        ) -> None:
            store.set_trouble(Trouble.SILENT)
            own = following_instance(store, clock, seed=1)
            own.directory.start()
            await asyncio.sleep(outage_s)
            store.set_trouble(Trouble.NONE)
            store.configure(1)
            seen.append(await own.until(1, 20.0))
            await own.directory.stop()

        run_followed(work)
    case.assertLess(max(seen), LONGEST_RETURN_S)


def test_history_lost_in_a_silence_is_read_whole_soon() -> None:
    """Refused history after a long silence must not cost another long pause."""
    seen: list[float] = []

    for outage_s in LONG_OUTAGES_S:

        async def work(
            store: VirtualStore, clock: ManualClock, outage_s: float = outage_s
        ) -> None:
            own = following_instance(store, clock, seed=1)
            store.configure(1)
            own.directory.start()
            await own.until(1, 5.0)
            store.set_trouble(Trouble.SILENT)
            await asyncio.sleep(outage_s)
            store.configure(2)
            store.forget()
            store.set_trouble(Trouble.NONE)
            seen.append(await own.until(2, 20.0))
            await own.directory.stop()

        run_followed(work)
    case.assertLess(max(seen), LONGEST_RETURN_S)


def test_reads_that_are_behind_after_a_silence_are_made_again_soon() -> None:
    """Whole reads from an older state must not be paced by the silence before."""
    seen: list[float] = []

    for outage_s in LONG_OUTAGES_S:

        async def work(
            store: VirtualStore, clock: ManualClock, outage_s: float = outage_s
        ) -> None:
            own = following_instance(store, clock, seed=1)
            store.configure(1)
            own.directory.start()
            await own.until(1, 5.0)
            store.set_trouble(Trouble.SILENT)
            await asyncio.sleep(outage_s)
            store.configure(2)
            store.forget()
            store.behind = 1
            store.set_trouble(Trouble.NONE)
            await asyncio.sleep(2.0)
            store.behind = 0
            seen.append(await own.until(2, 20.0))
            await own.directory.stop()

        run_followed(work)
    case.assertLess(max(seen), LONGEST_RETURN_S)


def test_a_store_slower_than_any_time_out_is_still_followed() -> None:
    """Calls sent again must not give up the answer that is on its way."""
    seen: list[float] = []

    async def work(store: VirtualStore, clock: ManualClock) -> None:
        own = following_instance(store, clock, seed=1)
        store.configure(1)
        own.directory.start()
        await own.until(1, 5.0)
        store.delay = timedelta(seconds=2)
        await asyncio.sleep(1.0)
        store.configure(2)
        seen.append(await own.until(2, 20.0))
        await own.directory.stop()

    run_followed(work)
    case.assertLess(seen[0], SLOW_STORE_S)


def test_a_short_silence_right_after_a_change_is_bounded_without_peers() -> None:
    """Calls that one change sent together must not all wait long in one silence."""
    took: list[float] = []

    async def work(store: VirtualStore, clock: ManualClock) -> None:
        fleet = [following_instance(store, clock, seed) for seed in range(INSTANCES)]
        store.configure(1)
        for own in fleet:
            own.directory.peers = lambda: INSTANCES - 1
            own.directory.start()
        await asyncio.sleep(5.0)
        store.configure(2)
        await asyncio.sleep(0.1)
        store.set_trouble(Trouble.DEAF)
        await asyncio.sleep(0.7)
        store.set_trouble(Trouble.NONE)
        store.configure(3)
        waits = (own.until(3, 20.0) for own in fleet)
        took.extend(await asyncio.gather(*waits))
        for own in fleet:
            await own.directory.stop()

    run_followed(work)
    case.assertLess(max(took), LONGEST_UNNOTICED_S)


def test_instances_that_a_change_woke_together_ask_apart() -> None:
    """Peers that wait at the same instants would find a silent connection together."""
    took: list[float] = []

    async def work(store: VirtualStore, clock: ManualClock) -> None:
        fleet = [following_instance(store, clock, seed) for seed in range(INSTANCES)]
        store.configure(1)
        following = []
        for own in fleet:
            own.directory.peers = lambda: INSTANCES - 1
            follower = own.directory.configuration_follower
            following.append(asyncio.ensure_future(follower.run(sleep)))
        await asyncio.sleep(3.0)
        store.configure(2)
        await asyncio.sleep(20.0)
        store.silence_connections()
        store.configure(3)
        waits = (own.until(3, 20.0) for own in fleet)
        took.extend(await asyncio.gather(*waits))
        for each in following:
            each.cancel()

    run_followed(work)
    case.assertLess(min(took), LONGEST_UNNOTICED_S)
    case.assertGreater(max(took) - min(took), 1.0)


load_tests = function_tests(__name__)

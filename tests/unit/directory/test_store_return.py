"""Tests of how soon an instance follows the store again after a failure."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.follower import sleep

from ...support.functions import function_tests
from ...support.virtual_store import (
    Follow,
    Trouble,
    VirtualStore,
    following_instance,
    run_followed,
)

case = TestCase()

Scenario = Callable[[VirtualStore, ManualClock, float], Awaitable[float]]
"""Runs an outage of some seconds; returns the time from its end to the last change."""

LONG_OUTAGES_S = (2.7, 3.3, 4.1, 5.6, 7.4, 9.8)
SHORT_OUTAGES_S = (0.2, 0.6, 1.1, 1.9, 2.3)
LONGEST_RETURN_S = 1.5
"""Bound from recovery to the active configuration, if the outage was detected."""
LONGEST_RESEND_S = 1.0
"""The same without pauses: reads are sent again every 0.8 s in a silence, and the first
answer takes two round trips and a pause at most."""
LONGEST_UNNOTICED_S = 2.7
"""The same for an undetected outage: the time to find a silent connection."""
SLOW_STORE_S = 6.0
GIVEN_UP_S = 20.0
INSTANCES = 7


def slowest_return(scenario: Scenario, outages_s: tuple[float, ...]) -> float:
    """Return the longest recovery time over several outages."""
    seen: list[float] = []

    async def work(outage_s: float, store: VirtualStore, clock: ManualClock) -> None:
        seen.append(await scenario(store, clock, outage_s))

    for outage_s in outages_s:
        run_followed(partial(work, outage_s))
    return max(seen)


async def followed_since(
    store: VirtualStore, clock: ManualClock, seconds: float
) -> Follow:
    """Return an instance that has followed a store for some seconds."""
    own = following_instance(store, clock, seed=1)
    store.configure(1)
    own.directory.start()
    await own.until(1, GIVEN_UP_S)
    await asyncio.sleep(seconds)
    return own


async def after(
    trouble: Trouble,
    store: VirtualStore,
    clock: ManualClock,
    outage_s: float,
    begins_s: float = 1.0,
) -> float:
    """Inject a failure, and write a change at its end."""
    own = await followed_since(store, clock, begins_s)
    store.set_trouble(trouble)
    await asyncio.sleep(outage_s)
    store.set_trouble(Trouble.NONE)
    store.configure(2)
    took_s = await own.until(2, GIVEN_UP_S)
    await own.directory.stop()
    return took_s


async def after_lost_history(
    store: VirtualStore, clock: ManualClock, outage_s: float, behind_s: float = 0.0
) -> float:
    """Run a silence in which a change is written and the history is dropped.

    Parameters
    ----------
    behind_s : float
        How long whole reads lack the change after the silence.
    """
    own = await followed_since(store, clock, 0.0)
    store.set_trouble(Trouble.SILENT)
    await asyncio.sleep(outage_s)
    store.configure(2)
    store.forget()
    store.behind = 1 if behind_s else 0
    store.set_trouble(Trouble.NONE)
    await asyncio.sleep(behind_s)
    store.behind = 0
    took_s = await own.until(2, GIVEN_UP_S)
    await own.directory.stop()
    return took_s


def test_return_of_a_silent_store_is_noticed_soon() -> None:
    """A call sent during the silence must not delay the next by its timeout."""
    for trouble in (Trouble.SILENT, Trouble.UNREACHABLE):
        slowest = slowest_return(partial(after, trouble), LONG_OUTAGES_S)
        case.assertLess(slowest, LONGEST_RETURN_S)


def test_return_of_a_refusing_store_is_noticed_soon() -> None:
    """Retry pauses must not grow past the time limit for applying a change."""
    for trouble in (
        Trouble.BUSY,
        Trouble.TOO_MANY,
        Trouble.RESETTING,
        Trouble.CLOSED,
    ):
        slowest = slowest_return(partial(after, trouble), LONG_OUTAGES_S[:3])
        case.assertLess(slowest, LONGEST_RETURN_S)


def test_silence_that_ends_before_it_is_noticed_is_bounded_too() -> None:
    """A call lost in a short silence must end within its own timeout."""
    for begins_s in (0.05, 0.3, 1.0):
        scenario = partial(after, Trouble.SILENT, begins_s=begins_s)
        slowest = slowest_return(scenario, SHORT_OUTAGES_S)
        case.assertLess(slowest, LONGEST_UNNOTICED_S)


async def start_in_silence(
    store: VirtualStore, clock: ManualClock, outage_s: float
) -> float:
    """Start an instance while the store is silent."""
    store.set_trouble(Trouble.SILENT)
    own = following_instance(store, clock, seed=1)
    own.directory.start()
    await asyncio.sleep(outage_s)
    store.set_trouble(Trouble.NONE)
    store.configure(1)
    took_s = await own.until(1, GIVEN_UP_S)
    await own.directory.stop()
    return took_s


def test_a_start_in_a_silence_ends_soon_after_it() -> None:
    """An instance started while the store is silent must not wait out a read."""
    case.assertLess(slowest_return(start_in_silence, LONG_OUTAGES_S), LONGEST_RETURN_S)


def test_the_reads_of_a_start_are_sent_again_until_their_time_out() -> None:
    """A read must not leave the last part of its time-out without a new send."""
    outages_s = tuple(tenths / 10 for tenths in range(8, 90, 3))
    case.assertLess(slowest_return(start_in_silence, outages_s), LONGEST_RESEND_S)


def test_history_lost_in_a_silence_is_read_whole_soon() -> None:
    """A history error after a long silence must not add another long pause."""
    slowest = slowest_return(after_lost_history, LONG_OUTAGES_S)
    case.assertLess(slowest, LONGEST_RETURN_S)


def test_reads_that_are_behind_after_a_silence_are_made_again_soon() -> None:
    """Retries of stale whole reads must not inherit the backoff of the silence."""
    scenario = partial(after_lost_history, behind_s=2.0)
    case.assertLess(slowest_return(scenario, LONG_OUTAGES_S), LONGEST_RETURN_S)


def test_a_store_slower_than_any_time_out_is_still_followed() -> None:
    """Repeated calls must not discard an answer that is in flight."""

    async def slowed_by(
        store: VirtualStore, clock: ManualClock, delay_s: float
    ) -> float:
        own = await followed_since(store, clock, 0.0)
        store.delay = timedelta(seconds=delay_s)
        await asyncio.sleep(1.0)
        store.configure(2)
        took_s = await own.until(2, GIVEN_UP_S)
        await own.directory.stop()
        return took_s

    case.assertLess(slowest_return(slowed_by, (2.0,)), SLOW_STORE_S)


def fleet_of(store: VirtualStore, clock: ManualClock) -> list[Follow]:
    """Return instances of a fleet that share no rows with each other."""
    fleet = [following_instance(store, clock, seed) for seed in range(INSTANCES)]
    for own in fleet:
        own.directory.peer_count = lambda: INSTANCES - 1
    store.configure(1)
    return fleet


async def all_until(fleet: list[Follow], number: int) -> list[float]:
    """Return the seconds until each instance applies a configuration."""
    return await asyncio.gather(*(own.until(number, GIVEN_UP_S) for own in fleet))


def test_a_short_silence_right_after_a_change_is_bounded_without_peers() -> None:
    """Polls synchronized by one change must not all wait out one silence."""
    took: list[float] = []

    async def work(store: VirtualStore, clock: ManualClock) -> None:
        fleet = fleet_of(store, clock)
        for own in fleet:
            own.directory.start()
        await asyncio.sleep(5.0)
        store.configure(2)
        await asyncio.sleep(0.1)
        store.set_trouble(Trouble.DEAF)
        await asyncio.sleep(0.7)
        store.set_trouble(Trouble.NONE)
        store.configure(3)
        took.extend(await all_until(fleet, 3))
        for own in fleet:
            await own.directory.stop()

    run_followed(work)
    case.assertLess(max(took), LONGEST_UNNOTICED_S)


def test_instances_that_a_change_woke_together_ask_apart() -> None:
    """Peers that poll in phase would all detect a silent connection together."""
    took: list[float] = []

    async def work(store: VirtualStore, clock: ManualClock) -> None:
        fleet = fleet_of(store, clock)
        followers = [own.directory.configuration_follower for own in fleet]
        following = [asyncio.ensure_future(each.run(sleep)) for each in followers]
        await asyncio.sleep(3.0)
        store.configure(2)
        await asyncio.sleep(20.0)
        store.silence_connections()
        store.configure(3)
        took.extend(await all_until(fleet, 3))
        for each in following:
            each.cancel()

    run_followed(work)
    case.assertLess(min(took), LONGEST_UNNOTICED_S)
    case.assertGreater(max(took) - min(took), 1.0)


load_tests = function_tests(__name__)

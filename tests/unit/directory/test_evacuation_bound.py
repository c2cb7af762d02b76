"""Tests of how soon an instance learns of an evacuation, in virtual time."""

import asyncio
from datetime import timedelta
from functools import partial
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.settings import DirectorySettings
from mimosafork.gateway.upstream import TCP_USER_TIMEOUT_MS
from mimosafork.ids import AvailabilityZoneId
from mimosafork.platform import names
from mimosafork.platform.store import StoreTimeouts

from ...support.functions import function_tests
from ...support.virtual_store import (
    Follow,
    VirtualStore,
    following_instance,
    run_followed,
)

case = TestCase()

ZONE = AvailabilityZoneId("zone-a")
KEY = f"{names.EVACUATION_PREFIX}{ZONE}"
PHASES_S = (0.0, 0.1, 0.21, 0.5, 0.9, 1.3, 1.55, 1.79)
"""Instants of a long poll and of the pause before it."""
EVACUATED_WITHIN = timedelta(milliseconds=5000)
STEP_S = 0.01
GIVEN_UP_S = 20.0
SOUND = timedelta(milliseconds=50)
"""Round trips to the store and steps of this test."""
FOLLOW = DirectorySettings().configuration


async def until_known(own: Follow, evacuated: bool) -> timedelta:
    """Return the time until an instance knows whether the zone is evacuated."""
    began = own.clock.monotonic()
    while own.directory.evacuations.is_evacuated(ZONE) is not evacuated:
        assert own.clock.monotonic() - began < timedelta(seconds=GIVEN_UP_S)
        await asyncio.sleep(STEP_S)
    return own.clock.monotonic() - began


def slowest(silenced: bool) -> timedelta:
    """Return the longest time until the row is known, over phases of a long poll."""
    seen: list[timedelta] = []

    async def work(phase_s: float, store: VirtualStore, clock: ManualClock) -> None:
        own = following_instance(store, clock, seed=1)
        store.configure(1)
        own.directory.start()
        await own.until(1, GIVEN_UP_S)
        await asyncio.sleep(2.0 + phase_s)
        if silenced:
            store.silence_connections()
        store.put(names.CONFIGURATION_TABLE, KEY, b"{}")
        seen.append(await until_known(own, evacuated=True))
        await own.directory.stop()

    for phase_s in PHASES_S:
        run_followed(partial(work, phase_s))
    return max(seen)


def test_a_row_is_known_within_a_pause_of_the_follower() -> None:
    case.assertLess(slowest(silenced=False), FOLLOW.pause + SOUND)


def test_a_row_behind_silent_connections_is_known_within_the_bound() -> None:
    """All connections went silent before; no peer is there to tell."""
    poll, noticed = FOLLOW.wait, StoreTimeouts().resend_after
    took = slowest(silenced=True)
    case.assertLess(took, poll + noticed + FOLLOW.initial_retry_delay + SOUND)
    on_its_way = timedelta(milliseconds=TCP_USER_TIMEOUT_MS)
    case.assertLess(took + on_its_way, EVACUATED_WITHIN)


load_tests = function_tests(__name__)

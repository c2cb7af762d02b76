"""Tests of how an instance becomes known to its peers by the store."""

import asyncio
from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.errors import StoreUnavailableError
from mimosafork.gossip.finding import Finder
from mimosafork.gossip.members import Identity

from ...support.functions import function_tests
from ...support.gossip_network import identity
from ...support.virtual_callers import VirtualLoop

case = TestCase()

LONGEST_UNKNOWN_S = 1.5


class LostRows:
    """Rows of peers that can't be reached until they can."""

    def __init__(self) -> None:
        self.lost = True
        self.written = asyncio.Event()

    async def publish(self, me: Identity) -> bool:
        """Write a row."""
        if self.lost:
            raise StoreUnavailableError("down")
        self.written.set()
        return True

    async def republish(self, me: Identity) -> None:
        """Write a row again."""
        await self.publish(me)

    async def read(self) -> list[Identity]:
        """Read no rows."""
        return []


def test_a_start_in_a_long_outage_is_made_known_soon_after_it() -> None:
    """Pauses that grow with the outage must not keep an instance unknown after it."""
    took: list[float] = []

    async def work(outage_s: float) -> None:
        rows = LostRows()
        finder = Finder(identity(1), rows, Random(1), lambda peer: None, lambda: True)
        running = asyncio.ensure_future(finder.run())
        await asyncio.sleep(outage_s)
        rows.lost = False
        loop = asyncio.get_running_loop()
        returned = loop.time()
        await rows.written.wait()
        took.append(loop.time() - returned)
        running.cancel()

    for outage_s in (3.0, 8.5, 17.0, 33.0):
        clock = ManualClock(timedelta(hours=1))
        with asyncio.Runner(loop_factory=lambda own=clock: VirtualLoop(own)) as runner:  # type: ignore[misc]
            runner.run(work(outage_s))
    case.assertLess(max(took), LONGEST_UNKNOWN_S)


load_tests = function_tests(__name__)

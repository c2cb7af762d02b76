"""Tests of timeouts under stalls of the event loop."""

import asyncio
import time
from datetime import timedelta
from unittest import TestCase

from mimosafork.network.timeouts import running_timeout
from tests.support.functions import function_tests

case = TestCase()

SPAN = timedelta(milliseconds=30)
STALL_S = 2 * SPAN.total_seconds()
TURNS = 5


def test_a_stall_does_not_use_up_a_timeout() -> None:
    """What is complete after a stall must not count as failed."""

    async def stall_within_block() -> None:
        async with running_timeout(SPAN):
            asyncio.get_running_loop().call_soon(time.sleep, STALL_S)
            for _ in range(TURNS):
                await asyncio.sleep(0)

    asyncio.run(stall_within_block())


def test_a_block_that_takes_too_long_is_ended() -> None:
    async def wait_within_block() -> None:
        async with running_timeout(SPAN):
            await asyncio.sleep(60)

    with case.assertRaises(TimeoutError):
        asyncio.run(wait_within_block())


def test_nothing_is_left_after_the_block() -> None:
    """A timer of a block that has ended must not cancel its task later."""

    async def outlive_block() -> None:
        async with running_timeout(SPAN):
            pass
        await asyncio.sleep(2 * SPAN.total_seconds())

    asyncio.run(outlive_block())


load_tests = function_tests(__name__)

"""Timeouts that do not count the time in which the event loop stands still."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

STEPS = 3
"""Timers in which a timeout is divided."""


@asynccontextmanager
async def running_timeout(span: timedelta) -> AsyncIterator[None]:
    """Limit the time of a block, as `asyncio.timeout` does, in several steps.

    After a stall of the event loop an overdue timer fires before the events that
    arrived meanwhile have been handled, and what is complete would count as failed.
    Here a stall of any length uses up one step only.

    Parameters
    ----------
    span : timedelta
        Time without stalls.

    Raises
    ------
    TimeoutError
        If the block takes longer.
    """
    loop = asyncio.get_running_loop()
    step_s = span.total_seconds() / STEPS
    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(step_s, lambda: advance(STEPS - 1))

        def advance(steps_left: int) -> None:
            nonlocal timer
            if steps_left > 0:
                timer = loop.call_later(step_s, advance, steps_left - 1)
            else:
                timeout.reschedule(loop.time())

        try:
            yield
        finally:
            timer.cancel()

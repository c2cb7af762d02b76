"""Draining of an instance that shuts down: intake ends first, then open calls."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from ..clock import Clock

GRACE_SHARE_FOR_CALLS = 0.9
"""Share of the grace period after which open calls are ended, so that the process exits
before it is killed."""

GRACE_SHARE_FOR_INTAKE = 0.5
"""Largest share of the grace period in which calls are accepted: the rest is left for
them to end. A caller that is not accepted can go to another instance at once."""

POLL_INTERVAL = timedelta(milliseconds=50)

Sleep = Callable[[timedelta], Awaitable[None]]


class Drainable(Protocol):
    """An instance that can be drained."""

    @property
    def open_calls(self) -> int:
        """Calls that have not ended."""

    @property
    def busy(self) -> bool:
        """Whether a call is open or a response not yet fully sent."""

    def end_intake(self) -> None:
        """Accept no further calls; open calls continue."""


async def drain(
    server: Drainable,
    balancer_lag: timedelta,
    grace: timedelta,
    clock: Clock,
    sleep: Sleep,
) -> int:
    """Serve new callers until the balancer stops sending them, then only open calls.

    A balancer with too few ready instances keeps sending callers to those that shut
    down. A call accepted late would be cut while its endpoint runs it, whereas a caller
    rejected before its request is read can go to another instance without loss.

    Parameters
    ----------
    balancer_lag : timedelta
        Time for which callers still arrive after the instance stops being ready.
    grace : timedelta
        Time after which the process is killed.
    sleep : callable
        Sleeps for a duration.

    Returns
    -------
    int
        Calls still open at the end.
    """
    requested_at = clock.monotonic()
    calls_end_at = requested_at + grace * GRACE_SHARE_FOR_CALLS
    intake_time = min(balancer_lag, grace * GRACE_SHARE_FOR_INTAKE)
    while clock.monotonic() < requested_at + intake_time:
        await sleep(POLL_INTERVAL)
    server.end_intake()
    while server.busy and clock.monotonic() < calls_end_at:
        await sleep(POLL_INTERVAL)
    return server.open_calls

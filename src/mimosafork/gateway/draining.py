"""How an instance that was asked to stop runs out: callers first, then their calls."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from ..clock import Clock

GRACE_SHARE_FOR_CALLS = 0.9
"""Share of the grace after which open calls are ended: the process must be gone
before it is killed."""

LOOK_AGAIN = timedelta(milliseconds=50)

Pause = Callable[[timedelta], Awaitable[None]]


class Stoppable(Protocol):
    """What runs out."""

    @property
    def open_calls(self) -> int:
        """Calls that have not ended."""

    @property
    def busy(self) -> bool:
        """Whether a call is open, or a caller has yet to take its answer's rest."""

    def end_intake(self) -> None:
        """Take no further calls; those that are open go on."""


async def drain(
    serving: Stoppable, lag: timedelta, grace: timedelta, clock: Clock, pause: Pause
) -> int:
    """Serve on while callers still come, then only what is open.

    Guard: where the balancer has too few instances left, it goes on sending callers
    to those that stop. A call that is taken late has no time to end and is cut while
    its endpoint works on it; a caller that is turned away before its request is read
    goes to another instance and loses nothing.

    Parameters
    ----------
    lag : timedelta
        Within which callers still come though it is not ready.
    grace : timedelta
        After which the process is killed.
    pause : callable
        Waits for a time.

    Returns
    -------
    int
        Calls that had not ended in time.
    """
    asked_at = clock.monotonic()
    last = asked_at + grace * GRACE_SHARE_FOR_CALLS
    while clock.monotonic() < min(asked_at + lag, last):
        await pause(LOOK_AGAIN)
    serving.end_intake()
    while serving.busy and clock.monotonic() < last:
        await pause(LOOK_AGAIN)
    return serving.open_calls

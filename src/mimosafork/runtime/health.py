"""Whether the tasks without which nothing works are alive and turning."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from threading import Thread

from ..clock import Clock

STUCK_AFTER = timedelta(seconds=2)
"""Both tasks come round several times a second, however little there is to do."""


@dataclass(frozen=True, slots=True)
class Watched:
    """One task.

    Attributes
    ----------
    turned_at : Callable
        Returns the monotonic instant at which the task last came round.
    """

    name: str
    thread: Thread
    turned_at: Callable[[], timedelta]


class Health:
    """Tells which tasks have died or hang.

    A thread that is alive may still do nothing: blocked, or in an endless loop. It
    shows as requests that are taken and never answered, while a check of the thread
    alone would keep the instance behind the balancer.
    """

    def __init__(self, clock: Clock, watched: tuple[Watched, ...]) -> None:
        self.clock = clock
        self.watched = watched

    def failed_tasks(self) -> list[str]:
        """Return the names of tasks that have died or hang."""
        now = self.clock.monotonic()
        return [
            each.name
            for each in self.watched
            if not each.thread.is_alive() or now - each.turned_at() > STUCK_AFTER
        ]

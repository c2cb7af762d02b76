"""The task that owns the kernel.

Adapters send it messages and register for the effects that they carry out. An
adapter's `Sink` runs in the kernel's thread: it must hand over to a task of its
own and return at once.
"""

import heapq
from collections.abc import Callable
from datetime import timedelta
from itertools import count
from typing import TypeVar

from ..clock import Clock
from ..kernel.core import TICK, Kernel
from ..kernel.messages.base import Effect, Message, Tick
from ..kernel.messages.timers import WakeAt
from .inspection import Inspection, Reader
from .task import Task

Sink = Callable[[Effect], None]

T = TypeVar("T")

INSPECTION_TIMEOUT = timedelta(seconds=2)


class KernelTask(Task[Message | Inspection]):
    """Feeds messages and ticks to the kernel and effects to the sinks.

    Parameters
    ----------
    kernel : Kernel
        Owned by this task from `start` on.
    clock : Clock

    Attributes
    ----------
    turned_at : timedelta
        Instant of the last look at the timers; other threads may read it.
    """

    def __init__(self, kernel: Kernel, clock: Clock) -> None:
        super().__init__("kernel")
        self.kernel = kernel
        self.clock = clock
        self.sinks: dict[type[Effect], list[Sink]] = {}
        self.timers: list[tuple[timedelta, int, Message]] = []
        self.tie_breaker = count()
        self.next_tick = clock.monotonic()
        self.turned_at = self.next_tick

    def register(self, effect: type[Effect], sink: Sink) -> None:
        """Have `sink` called with each effect of a type; before `start` only."""
        self.sinks.setdefault(effect, []).append(sink)

    def inspect(self, read: Reader[T]) -> T:
        """Return what `read` makes of the state, in the kernel's own thread.

        Parameters
        ----------
        read : Callable
            Takes the `KernelState` and copies what is wanted out of it.

        Raises
        ------
        TimeoutError
            If the kernel does not get to it.
        """
        inspection = Inspection(read)
        self.send(inspection)
        result: T = inspection.result.result(INSPECTION_TIMEOUT.total_seconds())
        return result

    def wait_time(self) -> timedelta:
        """Return the time until the next tick or timer."""
        due = self.next_tick
        if self.timers:
            due = min(due, self.timers[0][0])
        return due - self.clock.monotonic()

    def idle(self) -> None:
        """Fire the due timers and the tick."""
        now = self.clock.monotonic()
        self.turned_at = now
        while self.timers and self.timers[0][0] <= now:
            self._handle(heapq.heappop(self.timers)[2])
        if self.next_tick <= now:
            self.next_tick = now + TICK
            self._handle(Tick())

    def receive(self, message: Message | Inspection) -> None:
        """Handle a message, then whatever has come due meanwhile.

        Under load the mailbox is never empty, so that `idle` alone would never
        run: deadlines would pass unseen.
        """
        if isinstance(message, Inspection):
            message.run(self.kernel.state)
        else:
            self._handle(message)
        if self.wait_time() <= timedelta(0):
            self.idle()

    def _handle(self, message: Message) -> None:
        for effect in self.kernel.handle(message):
            if isinstance(effect, WakeAt):
                entry = (effect.at, next(self.tie_breaker), effect.message)
                heapq.heappush(self.timers, entry)
                continue
            # Each by itself: a sink that raises must not lose the effects behind.
            for sink in self.sinks.get(type(effect), ()):
                self._guarded(sink, effect)

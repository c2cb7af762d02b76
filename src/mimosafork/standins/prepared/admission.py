"""Slots, memory and the queue before them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Place:
    """A request's place, waiting or taken.

    Attributes
    ----------
    priority : int
        0 is admitted first.
    tokens : int
        Memory that it takes while it runs.
    """

    priority: int
    order: int
    tokens: int
    admitted: asyncio.Event = field(default_factory=asyncio.Event)


class Admission:
    """Admits by priority, then in the order of arrival.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    queue : int
        Requests that may wait.
    memory : int or None
        Tokens that fit; None for no bound.
    """

    def __init__(self, slots: int, queue: int, memory: int | None = None) -> None:
        self.slots = slots
        self.queue = queue
        self.memory = memory
        self.set_aside = 0
        self.held_back = False
        self.running: set[Place] = set()
        self.waiting: list[Place] = []
        self.offers = 0
        self.on_freed: Callable[[], None] = self.fill

    @property
    def used(self) -> int:
        """Tokens that are taken, by requests and by what is set aside."""
        return self.set_aside + sum(place.tokens for place in self.running)

    @property
    def free(self) -> int:
        """Tokens that are free; none where there is no memory."""
        return 0 if self.memory is None else max(0, self.memory - self.used)

    def offer(self, priority: int, tokens: int = 0) -> Place | None:
        """Return a place, or None if there is none to be had."""
        if self.memory is not None and tokens > self.memory:
            return None
        self.offers += 1
        place = Place(priority, self.offers, tokens)
        self.waiting.append(place)
        self.fill()
        if not place.admitted.is_set() and len(self.waiting) > self.queue:
            self.waiting.remove(place)
            return None
        return place

    def leave(self, place: Place) -> None:
        """Give a place back; harmless when repeated."""
        self.running.discard(place)
        if place in self.waiting:
            self.waiting.remove(place)
        self.on_freed()

    def fill(self) -> None:
        """Admit who is next; one that does not fit holds back those behind it."""
        self.waiting.sort(key=lambda place: (place.priority, place.order))
        while self.waiting and not self.held_back and self._fits(self.waiting[0]):
            place = self.waiting.pop(0)
            self.running.add(place)
            place.admitted.set()

    def _fits(self, place: Place) -> bool:
        if len(self.running) >= self.slots:
            return False
        return self.memory is None or place.tokens <= self.free

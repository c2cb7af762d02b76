"""The policies that are compared."""

from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mimosafork.placement.choice import (
    Choice,
    EngineView,
    Place,
    PlacementAsk,
    Shortage,
    WaitForRoom,
)
from mimosafork.placement.policy import choose
from mimosafork.placement.work import LoadBook, Part
from mimosafork.routing.engine import EngineFigures

from .entry import Policy


def alone(view: EngineView, ask: PlacementAsk, figures: EngineFigures) -> Place:
    """Return a place without helpers."""
    tokens = ask.prompt_tokens
    part = Part(view.endpoint, tokens, figures.read_ms(tokens, tokens))
    return Place(view.endpoint, view.address, parts=(part,))


@dataclass(slots=True)
class RoundRobin:
    """Sends each call to the next engine."""

    turn: int = 0

    def choose(
        self,
        ask: PlacementAsk,
        views: tuple[EngineView, ...],
        book: LoadBook,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> Choice:
        """Return the next engine."""
        self.turn += 1
        return alone(views[self.turn % len(views)], ask, figures)


class LeastRequests:
    """Sends each call to an engine with the fewest requests."""

    def choose(
        self,
        ask: PlacementAsk,
        views: tuple[EngineView, ...],
        book: LoadBook,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> Choice:
        """Return the engine with the fewest, by chance on ties."""
        best = min(
            views, key=lambda v: (book.load(v.endpoint, now).running, random.random())
        )
        return alone(best, ask, figures)


class LeastPrediction:
    """Sends each call where its first token is predicted soonest, without helpers.

    This is the rule of the routing that runs today, fed by the same book; calls wait
    while no engine has a free slot and enough memory.
    """

    def choose(
        self,
        ask: PlacementAsk,
        views: tuple[EngineView, ...],
        book: LoadBook,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> Choice:
        """Return the engine with the least promised reading, then the fewest."""
        needed = ask.prompt_tokens + ask.answer_tokens
        ranked = []
        for view in views:
            load = book.load(view.endpoint, now)
            free = figures.memory_tokens - load.promised_tokens
            if load.running < view.slots and free >= needed:
                rank = (load.reading_ms, load.running, random.random())
                ranked.append((rank, view))
        if not ranked:
            return WaitForRoom(Shortage.SLOTS)
        return alone(min(ranked, key=lambda each: each[0])[1], ask, figures)


class Own:
    """The product's placement."""

    def choose(
        self,
        ask: PlacementAsk,
        views: tuple[EngineView, ...],
        book: LoadBook,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> Choice:
        """Return the product's choice."""
        return choose(ask, views, book, figures, now, random)


POLICIES: dict[str, type[Policy]] = {
    "round-robin": RoundRobin,
    "least-requests": LeastRequests,
    "no-helpers": LeastPrediction,
    "mimosafork": Own,
}

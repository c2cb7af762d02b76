"""The policies that are compared."""

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from mimosafork.ids import RequestId
from mimosafork.placement.choice import (
    Assignment,
    EngineView,
    PlacementDecision,
    PlacementRequest,
    Shortage,
    WaitForCapacity,
)
from mimosafork.placement.load_tracker import LoadTracker, PrefillPart
from mimosafork.placement.policy import choose
from mimosafork.routing.engine import EngineFigures

from .entry import ASK_AGAIN_S, Policy

LEFT_AFTER = timedelta(seconds=3 * ASK_AGAIN_S)
"""A waiting call asks three times as often as that while its caller is there."""


def sound(views: tuple[EngineView, ...]) -> tuple[EngineView, ...]:
    """Return the usable engines that have not just failed; all, if there are none."""
    usable = tuple(view for view in views if view.usable and not view.suspect)
    return usable or views


def alone(
    view: EngineView, ask: PlacementRequest, figures: EngineFigures
) -> Assignment:
    """Return a place without helpers."""
    tokens = ask.prompt_tokens
    part = PrefillPart(view.endpoint, tokens, figures.prefill_ms(tokens, tokens))
    return Assignment(view.endpoint, view.address, parts=(part,))


@dataclass(slots=True)
class RoundRobin:
    """Sends each call to the next engine."""

    turn: int = 0

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return the next engine."""
        self.turn += 1
        able = sound(views)
        return alone(able[self.turn % len(able)], ask, figures)


class LeastRequests:
    """Sends each call to an engine with the fewest requests."""

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return the engine with the fewest, by chance on ties."""
        best = min(
            sound(views),
            key=lambda v: (book.load(v.endpoint, now).running, random.random()),
        )
        return alone(best, ask, figures)


class LeastPrediction:
    """Sends each call where its first token is predicted soonest, without helpers.

    This is the rule of the routing that runs today, fed by the same book; calls wait
    while no engine has a free slot and enough memory.
    """

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return the engine with the least promised reading, then the fewest."""
        needed = ask.prompt_tokens + ask.answer_tokens
        ranked = []
        for view in sound(views):
            load = book.load(view.endpoint, now)
            free = figures.memory_tokens - load.committed_tokens
            if load.running < view.slots and free >= needed:
                rank = (load.prefill_backlog_ms, load.running, random.random())
                ranked.append((rank, view))
        if not ranked:
            return WaitForCapacity(Shortage.SLOTS)
        return alone(min(ranked, key=lambda each: each[0])[1], ask, figures)


@dataclass(slots=True)
class FirstCome:
    """Serves calls in the order that they came, each where the fewest requests run.

    Attributes
    ----------
    queue : dict of RequestId to timedelta
        Those that wait, oldest first, with when they last asked; one that has not
        asked for a while has left.
    """

    queue: dict[RequestId, timedelta] = field(default_factory=dict)

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return the least busy engine with room, if it is the call's turn."""
        self.queue[ask.request] = now
        self.queue = {r: at for r, at in self.queue.items() if now - at < LEFT_AFTER}
        needed = ask.prompt_tokens + ask.answer_tokens
        loads = [(book.load(view.endpoint, now), view) for view in sound(views)]
        fitting = [
            (load.running, random.random(), view)
            for load, view in loads
            if load.running < view.slots
            and figures.memory_tokens - load.committed_tokens >= needed
        ]
        if next(iter(self.queue)) != ask.request or not fitting:
            return WaitForCapacity(Shortage.SLOTS)
        del self.queue[ask.request]
        return alone(min(fitting, key=lambda each: each[:2])[2], ask, figures)


class Own:
    """The product's placement."""

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return the product's choice."""
        return choose(ask, views, book, figures, now, random)


POLICIES: dict[str, type[Policy]] = {
    "round-robin": RoundRobin,
    "least-requests": LeastRequests,
    "first-come": FirstCome,
    "no-helpers": LeastPrediction,
    "mimosafork": Own,
}

"""Placement on endpoints that are no engines: the least busy one."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from .choice import (
    Assignment,
    EngineView,
    PlacementDecision,
    PlacementRequest,
    Shortage,
    WaitForCapacity,
)
from .forecast import slowdown_of
from .load_tracker import LoadTracker

SUSPECT_BUSY = 10.0
"""A suspect endpoint counts as if each of its slots were taken so many times."""


def choose_plain(
    ask: PlacementRequest,
    endpoints: Sequence[EngineView],
    book: LoadTracker,
    now: timedelta,
    random: Random,
) -> PlacementDecision:
    """Return the endpoint with the smallest share of its slots taken.

    Endpoints queue a few requests, so full ones are still offered work. On ties the
    asking instance's availability zone goes first, then chance decides.

    Parameters
    ----------
    now : timedelta
        Time of the book.
    random : Random
        Keeps instances that know the same from all taking the same endpoint.
    """
    usable = preferred(ask, endpoints)
    if not usable:
        return WaitForCapacity(Shortage.ENDPOINTS)

    def rank(view: EngineView) -> tuple[float, bool, float]:
        running = book.estimated_running(view.endpoint, now)
        busy = (running + 1) * slowdown_of(view) / max(1, view.slots)
        if view.suspect:
            busy += SUSPECT_BUSY
        return busy, view.zone != ask.zone, random.random()

    best = min(usable, key=rank)
    return Assignment(best.endpoint, best.address)


def preferred(
    ask: PlacementRequest, endpoints: Sequence[EngineView]
) -> list[EngineView]:
    """Return the usable endpoints, without those to avoid if others are left."""
    usable = [view for view in endpoints if view.usable]
    if not ask.avoid:
        return usable
    others = [view for view in usable if view.endpoint not in ask.avoid]
    return others or usable

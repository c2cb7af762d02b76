"""Placement on endpoints that are no engines: the least busy one."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

from .choice import Choice, EngineView, Place, PlacementAsk, Shortage, WaitForRoom
from .forecast import pace_of
from .work import LoadBook

SUSPECT_BUSY = 10.0
"""A suspect endpoint counts as if each of its slots were taken so many times."""


def choose_plain(
    ask: PlacementAsk,
    endpoints: Sequence[EngineView],
    book: LoadBook,
    now: timedelta,
    random: Random,
) -> Choice:
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
        return WaitForRoom(Shortage.ENDPOINTS)

    def rank(view: EngineView) -> tuple[float, bool, float]:
        running = book.believed_running(view.endpoint, now)
        busy = (running + 1) * pace_of(view) / max(1, view.slots)
        if view.suspect:
            busy += SUSPECT_BUSY
        return busy, view.zone != ask.zone, random.random()

    best = min(usable, key=rank)
    return Place(best.endpoint, best.address)


def preferred(ask: PlacementAsk, endpoints: Sequence[EngineView]) -> list[EngineView]:
    """Return the usable endpoints, without those to avoid if others are left."""
    usable = [view for view in endpoints if view.usable]
    if not ask.avoid:
        return usable
    others = [view for view in usable if view.endpoint not in ask.avoid]
    return others or usable

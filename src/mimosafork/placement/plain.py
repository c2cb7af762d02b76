"""Placement on plain services: the least busy endpoint."""

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
"""Added to the load of a suspect endpoint, as a multiple of its slots."""

UNPERMITTED_BUSY = 0.5
"""Added to the load of an endpoint without a free permit, in the same unit."""


def choose_plain(
    request: PlacementRequest,
    endpoints: Sequence[EngineView],
    tracker: LoadTracker,
    now: timedelta,
    random: Random,
) -> PlacementDecision:
    """Return the endpoint with the smallest share of its slots taken.

    Endpoints queue a few requests, so full ones still get requests. On ties this
    instance's availability zone is preferred, then the choice is random.

    Parameters
    ----------
    now : timedelta
        Time on the load tracker's clock.
    random : Random
        Keeps instances with the same information from all choosing the same endpoint.
    """
    usable = preferred(request, endpoints)
    if not usable:
        return WaitForCapacity(Shortage.ENDPOINTS)

    def rank(view: EngineView) -> tuple[float, bool, float]:
        running = tracker.estimated_running(view.endpoint, now)
        load = (running + 1) * slowdown_of(view) / max(1, view.slots)
        if view.suspect:
            load += SUSPECT_BUSY
        if not view.permitted:
            load += UNPERMITTED_BUSY
        return load, view.zone != request.zone, random.random()

    best = min(usable, key=rank)
    return Assignment(best.endpoint, best.address)


def preferred(
    request: PlacementRequest, endpoints: Sequence[EngineView]
) -> list[EngineView]:
    """Return the usable endpoints, without those to avoid if others are left."""
    usable = [view for view in endpoints if view.usable]
    if not request.avoid:
        return usable
    others = [view for view in usable if view.endpoint not in request.avoid]
    return others or usable

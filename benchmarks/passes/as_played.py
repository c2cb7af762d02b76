"""Places calls where a played day did, so that only the engines are modelled."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from mimosafork.placement.choice import (
    Assignment,
    EngineView,
    Helper,
    PlacementDecision,
    PlacementRequest,
    Reservation,
    Shortage,
    WaitForCapacity,
)
from mimosafork.placement.load_tracker import LoadTracker, PrefillPart
from mimosafork.placement.memory import needs_reservations, split_reservations
from mimosafork.placement.policy import engine_states
from mimosafork.routing.engine import EngineFigures


@dataclass(frozen=True, slots=True)
class SeenPlace:
    """Where a call was on the played day, by numbers of engines.

    Attributes
    ----------
    hosts : tuple of int
        In the order that they were tried; empty for a call without a place.
    helpers : tuple of int
        Of the last attempt; taken for the others too.
    """

    hosts: tuple[int, ...]
    helpers: tuple[int, ...] = ()


@dataclass(slots=True)
class AsPlayed:
    """The places of a played day, as a policy.

    Attributes
    ----------
    places : sequence of SeenPlace
        By the calls' numbers.
    """

    places: Sequence[SeenPlace]

    def choose(
        self,
        ask: PlacementRequest,
        views: tuple[EngineView, ...],
        book: LoadTracker,
        figures: EngineFigures,
        now: timedelta,
        random: Random,
    ) -> PlacementDecision:
        """Return the place that the call had; its last one for further attempts."""
        seen = self.places[int(ask.request.split("-")[0])]
        if not seen.hosts:
            return WaitForCapacity(Shortage.SLOTS)
        tried = [n for n in seen.hosts if views[n].endpoint in ask.avoid]
        host = seen.hosts[min(len(tried), len(seen.hosts) - 1)]
        gang = [host, *(number for number in seen.helpers if number != host)]
        return placed_on(ask, [views[n] for n in gang], book, figures, now)


def placed_on(
    ask: PlacementRequest,
    gang: Sequence[EngineView],
    book: LoadTracker,
    figures: EngineFigures,
    now: timedelta,
) -> Assignment:
    """Return the place with some host and helpers."""
    part = -(-ask.prompt_tokens // len(gang))
    read_ms = figures.prefill_ms(part, ask.prompt_tokens)
    reservations: tuple[Reservation, ...] = ()
    if needs_reservations(ask, figures):
        states = engine_states(gang, book, figures, now)
        reservations = split_reservations(ask, states, figures)
    return Assignment(
        host=gang[0].endpoint,
        address=gang[0].address,
        helpers=tuple(Helper(each.endpoint, each.address) for each in gang[1:]),
        reservations=reservations,
        parts=tuple(PrefillPart(each.endpoint, part, read_ms) for each in gang),
    )

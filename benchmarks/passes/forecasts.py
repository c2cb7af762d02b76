"""What placement's forecast says of the places of a played day.

The lines of calls don't tell it, so it is worked out anew: for each call the book of
all others that had a place then and had not ended, without any delay of news. So it
is the forecast at its best: what instances didn't know of each other is left out.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from mimosafork.ids import AvailabilityZoneId, EndpointId, RequestId
from mimosafork.placement.choice import EngineView
from mimosafork.placement.forecast import EngineState
from mimosafork.placement.load_tracker import InFlightRequest, LoadTracker, PrefillPart
from mimosafork.placement.policy import engine_states
from mimosafork.routing.engine import EngineFigures

from .played import SeenCall, engines_of

ZONE = AvailabilityZoneId("any")


@dataclass(frozen=True, slots=True)
class Forecast:
    """What was to be expected of one place.

    Attributes
    ----------
    first_ms : float
        From the placement to the first token.
    pause_ms : float
        Longest pass at the host with all reading that was promised.
    """

    first_ms: float
    pause_ms: float


def forecast_of(
    call: SeenCall, calls: Sequence[SeenCall], figures: EngineFigures
) -> Forecast | None:
    """Return the forecast for a call's place; None for one that was tried again."""
    if len(call.endpoints) != 1 or call.waited_ms is None:
        return None
    at_s = call.at_s + call.waited_ms / 1e3
    book = book_at(at_s, call, calls, figures)
    views = views_of(engines_of(calls), figures)
    states = engine_states(views, book, figures, timedelta(seconds=at_s))
    by_name = {str(state.view.endpoint): state for state in states}
    gang = [by_name[name] for name in call.engines]
    return expected(gang, call, figures)


def expected(
    gang: Sequence[EngineState], call: SeenCall, figures: EngineFigures
) -> Forecast:
    """Return the forecast for a host and its helpers."""
    part = -(-call.prompt_tokens // len(gang))
    read_ms = figures.prefill_ms(part, call.prompt_tokens)
    first_ms = max(state.prefill_start_ms + read_ms * state.slowdown for state in gang)
    return Forecast(first_ms, gang[0].busy_ms + read_ms * gang[0].slowdown)


def book_at(
    at_s: float, call: SeenCall, calls: Iterable[SeenCall], figures: EngineFigures
) -> LoadTracker:
    """Return the book of all other work that is on the engines at an instant."""
    book = LoadTracker()
    for number, other in enumerate(calls):
        if other is call or other.waited_ms is None or not other.endpoints:
            continue
        placed_s = other.at_s + other.waited_ms / 1e3
        if placed_s <= at_s < other.ended_s:
            book.record(work_of(other, f"{number}", placed_s, at_s, figures))
    return book


def work_of(
    call: SeenCall, name: str, placed_s: float, at_s: float, figures: EngineFigures
) -> InFlightRequest:
    """Return a call as the work that it is at an instant."""
    part = -(-call.prompt_tokens // len(call.engines))
    read_ms = figures.prefill_ms(part, call.prompt_tokens)
    first_at = None
    if call.first_ms is not None and call.at_s + call.first_ms / 1e3 <= at_s:
        first_at = timedelta(seconds=call.at_s + call.first_ms / 1e3)
    return InFlightRequest(
        request=RequestId(name),
        host=EndpointId(call.endpoints[-1]),
        parts=tuple(PrefillPart(EndpointId(e), part, read_ms) for e in call.engines),
        prompt_tokens=call.prompt_tokens,
        started_at=timedelta(seconds=placed_s),
        first_token_at=first_at,
    )


def views_of(names: Iterable[str], figures: EngineFigures) -> list[EngineView]:
    """Return sound engines of some names."""
    return [EngineView(EndpointId(each), each, ZONE, figures.slots) for each in names]

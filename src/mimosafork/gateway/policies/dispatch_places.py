"""Converts an assignment by the placement policy into the kernel's `PlaceOn`."""

from ...ids import Incarnation
from ...kernel.messages.dispatch import PrefillHelper
from ...kernel.messages.requests import Request
from ...kernel.plugins import PlaceOn
from ...placement.choice import Assignment
from .stall_timeouts import stall_timeouts_for

FIRST_INCARNATION = Incarnation(1)
"""Endpoint ids are unique per start, so the incarnation number is constant."""

DEFAULT_PRIORITY = 5


def place_on(
    place: Assignment, request: Request, helpers: tuple[PrefillHelper, ...]
) -> PlaceOn:
    """Return the dispatch target of a request with its helpers."""
    terms = request.terms
    return PlaceOn(
        endpoint=place.host,
        incarnation=FIRST_INCARNATION,
        address=place.address,
        priority=DEFAULT_PRIORITY if terms is None else terms.priority,
        helpers=helpers,
        silence_timeouts=stall_timeouts_for(request),
    )


def prefill_helpers(place: Assignment) -> tuple[PrefillHelper, ...]:
    """Return the prefill helpers of a prompt whose KV cache fits on its host."""
    return tuple(PrefillHelper(each.endpoint, each.address) for each in place.helpers)

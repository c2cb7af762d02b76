"""The kernel's word for a place that placement has chosen."""

from ...ids import Incarnation
from ...kernel.messages.dispatch import PrefillHelper
from ...kernel.messages.requests import Request
from ...kernel.plugins import PlaceOn
from ...placement.choice import Assignment
from .stall_timeouts import stall_timeouts_for

FIRST_INCARNATION = Incarnation(1)
"""An endpoint's id is new with each start, so that it needs no further number."""

DEFAULT_PRIORITY = 5


def place_on(
    place: Assignment, request: Request, helpers: tuple[PrefillHelper, ...]
) -> PlaceOn:
    """Return where a request is dispatched to, and with whose help."""
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
    """Return the helpers of a prompt whose memory its host holds."""
    return tuple(PrefillHelper(each.endpoint, each.address) for each in place.helpers)

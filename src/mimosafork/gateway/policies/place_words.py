"""The kernel's word for a place that placement has chosen."""

from ...ids import Incarnation
from ...kernel.messages.dispatch import PrefillHelper
from ...kernel.messages.requests import Request
from ...kernel.plugins import PlaceOn
from ...placement.choice import Assignment
from .patience import patience_of

FIRST_LIFE = Incarnation(1)
"""An endpoint's id is new with each start, so that it needs no further number."""

USUAL_PRIORITY = 5


def place_on(
    place: Assignment, request: Request, helpers: tuple[PrefillHelper, ...]
) -> PlaceOn:
    """Return where a request is dispatched to, and with whose help."""
    terms = request.terms
    return PlaceOn(
        endpoint=place.host,
        incarnation=FIRST_LIFE,
        address=place.address,
        priority=USUAL_PRIORITY if terms is None else terms.priority,
        helpers=helpers,
        silence_timeouts=patience_of(request),
    )


def readers(place: Assignment) -> tuple[PrefillHelper, ...]:
    """Return the helpers of a prompt whose memory its host holds."""
    return tuple(PrefillHelper(each.endpoint, each.address) for each in place.helpers)

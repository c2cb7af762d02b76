"""Events of what an instance believes of whole zones."""

from ..events import Event, Level

RANGE = 2300

ZONE_DOUBTED = Event(
    2301,
    "zone-doubted",
    Level.WARNING,
    "zone {zone} is taken last for {for_ms} ms: {unheard} of its endpoints in turn"
    " were not heard, or none of its instances",
    "It looks cut off from here; 0 endpoints where its instances alone tell it. Its "
    "endpoints get work only where no other can; one call tries it when the time is "
    "over, and renews the doubt if it is not heard.",
    "See to the network between the zones.",
)
ZONE_ANSWERS = Event(
    2302,
    "zone-answers",
    Level.INFO,
    "zone {zone} answers again after {after_ms} ms",
    "Its endpoints are taken like any other.",
    "None.",
)

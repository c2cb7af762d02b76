"""Events of what an instance believes of whole zones."""

from ..events import Event, Level

RANGE = 2300

ZONE_SUSPECTED = Event(
    2301,
    "zone-suspected",
    Level.WARNING,
    "zone {zone} is taken last for {for_ms} ms: {failures} of its endpoints in turn"
    " were unreachable, or all of its instances fell silent",
    "It looks cut off from here; 0 endpoints where its instances alone tell it. Its "
    "endpoints get work only where no other can; one call tries it when the time is "
    "over, and renews the suspicion if it fails.",
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

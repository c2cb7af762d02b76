"""Events and metrics of contents that crash endpoints."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 2600

CRASH_REFUTED = Event(
    2601,
    "crash-refuted",
    Level.INFO,
    "endpoint {endpoint} answers, its {runs} interrupted runs are no evidence",
    "Connections to it broke, but it had not crashed.",
    "None.",
)

CONTENTS_QUARANTINED = Instrument(
    "mimosafork.contents.quarantined",
    Kind.OBSERVABLE_GAUGE,
    "{content}",
    "Bodies and prompt parts that are refused for crashing endpoints, by state.",
    ("state",),
)
CONTENTS_SUSPECTED = Instrument(
    "mimosafork.contents.suspected",
    Kind.OBSERVABLE_GAUGE,
    "{content}",
    "Bodies and prompt parts of recent runs that ended with their endpoint.",
)

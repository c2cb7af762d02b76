"""Events and metrics of the table service, the object store and the instance list."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1400

STORE_UNAVAILABLE = Event(
    1401,
    "store-unavailable",
    Level.WARNING,
    "the {service} does not answer: {why}",
    "Calls fail at once while the circuit breaker is open. Idempotent requests are "
    "served as before; non-idempotent ones are refused and not run.",
    "See to the platform's service.",
)
STORE_AVAILABLE = Event(
    1402,
    "store-available",
    Level.INFO,
    "the {service} answers again after {duration_s:.1f} s",
    "Calls go through.",
    "None.",
)
WRITE_UNKNOWN = Event(
    1403,
    "write-unknown",
    Level.WARNING,
    "whether a write to the {service} took effect is unknown: {why}",
    "The answer was lost; who wrote reads back what settles it.",
    "None, unless it happens often.",
)
LIST_STALE = Event(
    1404,
    "list-stale",
    Level.WARNING,
    "instance list is {age_s} s old",
    "What the list said last is used on, together with what endpoints and peers say.",
    "See to the platform's instance list.",
)
LIST_ENTRY_REFUSED = Event(
    1405,
    "list-entry-refused",
    Level.WARNING,
    "an entry of the instance list was left out: {why}",
    "The other entries are used; the one that cannot be read gets no requests.",
    "See whether the platform lists a kind that this version does not know.",
)

STORE_CALLS = Instrument(
    "mimosafork.store.calls",
    Kind.COUNTER,
    "{call}",
    "Calls of the table service and the object store, by result.",
    ("store", "result"),
)
STORE_DURATION = Instrument(
    "mimosafork.store.call.duration",
    Kind.HISTOGRAM,
    "s",
    "Time that calls of the table service and the object store took.",
    ("store",),
)

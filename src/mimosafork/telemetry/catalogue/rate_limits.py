"""Events of what endpoints state about themselves in their responses."""

from ..events import Event, Level

RANGE = 2400

RATE_LIMIT_CHANGED = Event(
    2401,
    "rate-limit-changed",
    Level.WARNING,
    "endpoint {endpoint} takes {per_s} requests a second from all instances together",
    "It named the limit in a response to this instance or a peer; `before` is its "
    "former one. `portion` is the number of requests that this instance may send to it "
    "within `span_ms` on the mean, `taken` how many of them are not free yet.",
    "See why the endpoint is in need.",
)
RATE_LIMIT_ENDED = Event(
    2402,
    "rate-limit-ended",
    Level.INFO,
    "endpoint {endpoint} no longer names a limit; it was {before} requests a second",
    "It is used like any other from now on.",
    "None.",
)
RATE_LIMIT_UNREADABLE = Event(
    2403,
    "rate-limit-unreadable",
    Level.WARNING,
    "endpoint {endpoint} names a limit that is no decimal number; {count} so far",
    "The response counts as one that says nothing of a limit. Shown once in ten "
    "seconds.",
    "Mend the endpoint.",
)
LEAVING_ANNOUNCED = Event(
    2404,
    "leaving-announced",
    Level.INFO,
    "endpoint {endpoint} of service {service} announces in a response that it leaves",
    "It gets no new work from this instance, whatever the store's list says; what runs "
    "there goes on.",
    "None.",
)
BACKOFF_REQUESTED = Event(
    2405,
    "backoff-requested",
    Level.WARNING,
    "endpoint {endpoint} of service {service} rejected a call and wants no further one "
    "for {for_ms} ms",
    "It gets none from this instance until then; others are told by their own calls.",
    "See why the endpoint is in need.",
)
BACKOFF_UNREADABLE = Event(
    2406,
    "backoff-unreadable",
    Level.WARNING,
    "endpoint {endpoint} rejected a call and names a time that is no decimal number of "
    "seconds; {count} so far",
    "The rejection counts as one that asks for no backoff. Shown once in ten seconds.",
    "Mend the endpoint.",
)

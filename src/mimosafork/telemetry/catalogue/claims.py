"""Events and metrics of claims of non-idempotent requests."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1600

KEPT_ANSWER_UNREAD = Event(
    1610,
    "kept-answer-unread",
    Level.INFO,
    "kept answer {answer} was not read: {why}",
    "Its caller is told that the outcome is unknown, and may ask again.",
    "See to the platform's object store.",
)
CLAIMS_NOT_SWEPT = Event(
    1611,
    "claims-not-swept",
    Level.INFO,
    "expired claims were not removed: {why}",
    "They stay in the table a little longer; nothing else depends on it.",
    "See to the platform's table service if it goes on.",
)
ANSWER_NOT_KEPT = Event(
    1612,
    "answer-not-kept",
    Level.INFO,
    "answer {answer} was not kept: {why}",
    "Its caller got it; one that sends the request again is told that it ran.",
    "See to the platform's object store if it goes on.",
)
STREAM_NOT_SOUGHT = Event(
    1613,
    "stream-not-sought",
    Level.INFO,
    "endpoint {endpoint} was not asked for a running stream: {why}",
    "A caller that comes back cannot be joined to a stream that runs there.",
    "None.",
)
CLAIMS_IN_DOUBT = Event(
    1614,
    "claims-in-doubt",
    Level.WARNING,
    "{claims} claims were sent and the table service did not say what became of them",
    "They are sent again until it says so. Requests that must run once wait for it"
    " up to 3 s and are then refused as not run; the others go on.",
    "See to the platform's table service if it goes on.",
)

CLAIMS = Instrument(
    "mimosafork.claims",
    Kind.OBSERVABLE_COUNTER,
    "{claim}",
    "Claims of idempotency keys, by what became of them.",
    ("result",),
)
CLAIM_TRANSACTIONS = Instrument(
    "mimosafork.claims.transactions",
    Kind.OBSERVABLE_COUNTER,
    "{transaction}",
    "Transactions on claims, by what the table service said.",
    ("result",),
)
CLAIMS_UNWRITTEN = Instrument(
    "mimosafork.claims.unwritten",
    Kind.OBSERVABLE_GAUGE,
    "{claim}",
    "Claims whose row is not yet what it is to become.",
)

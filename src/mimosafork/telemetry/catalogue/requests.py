"""Events and metrics of callers' requests."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1200

REQUEST_FINISHED = Event(
    1201,
    "request-finished",
    Level.INFO,
    "request {request} of {account} for {target} finished as {outcome} "
    "after {attempts} attempts and {duration_s} s",
    "A request has its final outcome.",
    "None.",
)
REQUEST_REFUSED = Event(
    1202,
    "request-refused",
    Level.INFO,
    "request {request} of {account} refused as {code}",
    "No endpoint ran any part of it; the caller was told so.",
    "A lasting rise means too little room or a limit that is too low.",
)
REQUEST_FAULT = Event(
    1203,
    "request-fault",
    Level.ERROR,
    "a request was ended by a fault in the code",
    "The caller was told; the request was not passed on to an endpoint.",
    "Report it with the trace that follows.",
)
CALLER_GONE = Event(
    1204,
    "caller-gone",
    Level.INFO,
    "caller of request {request} closed its connection after {attempts} attempts",
    "Nobody waits for the answer any more, so an attempt that runs is cancelled.",
    "None.",
)

REQUESTS = Instrument(
    "mimosafork.requests",
    Kind.COUNTER,
    "{request}",
    "Requests that were read and have their final outcome.",
    ("target", "outcome", "code"),
)
REJECTIONS = Instrument(
    "mimosafork.requests.rejected",
    Kind.COUNTER,
    "{request}",
    "Calls refused while they were read: a wrong key or body, a full instance. They "
    "are not among the requests.",
    ("code",),
)
FIRST_TOKEN_TIME = Instrument(
    "mimosafork.request.first_token.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from a request's arrival to its first token, by the prompt's length.",
    ("target", "length"),
)
REQUEST_DURATION = Instrument(
    "mimosafork.request.duration",
    Kind.HISTOGRAM,
    "s",
    "Time from a request's arrival to its final outcome.",
    ("target", "outcome"),
)
ATTEMPTS = Instrument(
    "mimosafork.attempts",
    Kind.COUNTER,
    "{attempt}",
    "Attempts that have ended, by how.",
    ("target", "result"),
)
REQUESTS_WAITING = Instrument(
    "mimosafork.requests.waiting",
    Kind.OBSERVABLE_GAUGE,
    "{request}",
    "Admitted requests that wait for an endpoint.",
)
CHUNKS = Instrument(
    "mimosafork.chunks",
    Kind.OBSERVABLE_COUNTER,
    "{chunk}",
    "Chunks of answers that were relayed to callers.",
)
CHUNKS_DROPPED = Instrument(
    "mimosafork.chunks.dropped",
    Kind.OBSERVABLE_COUNTER,
    "{chunk}",
    "Chunks that were not the expected ones and did not reach a caller.",
    ("reason",),
)
STREAMS_STALLED = Instrument(
    "mimosafork.streams.stalled",
    Kind.OBSERVABLE_COUNTER,
    "{stream}",
    "Attempts that were left because their engine fell silent.",
)
CALLERS_GONE = Instrument(
    "mimosafork.callers.gone",
    Kind.OBSERVABLE_COUNTER,
    "{caller}",
    "Callers that hung up, or took nothing for too long, before their answer's end.",
)

"""Events and metrics of model engines and plain services."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 1300

ENDPOINT_UNREACHABLE = Event(
    1301,
    "endpoint-unreachable",
    Level.WARNING,
    "endpoint {endpoint} incarnation {incarnation} does not answer",
    "It gets no new requests until it answers again.",
    "See whether it is being replaced; if not, look at the endpoint.",
)
ENDPOINT_REACHABLE = Event(
    1302,
    "endpoint-reachable",
    Level.INFO,
    "endpoint {endpoint} incarnation {incarnation} answers again",
    "It may get new requests.",
    "None.",
)
ENDPOINT_LEAVING = Event(
    1303,
    "endpoint-leaving",
    Level.INFO,
    "endpoint {endpoint} incarnation {incarnation} is leaving",
    "It gets no new requests; streams that run there run to their end.",
    "None.",
)
ENDPOINT_EJECTED = Event(
    1304,
    "endpoint-ejected",
    Level.WARNING,
    "endpoint {endpoint} incarnation {incarnation} is ejected",
    "It answers, but far more slowly than its like, and gets no requests for a while.",
    "Look at the endpoint if it happens again.",
)
STREAM_NOT_CANCELLED = Event(
    1305,
    "stream-not-cancelled",
    Level.INFO,
    "stream {stream} was not cancelled: {why}",
    "The engine may run it on, at the latest until the request's deadline.",
    "None.",
)

ENDPOINTS = Instrument(
    "mimosafork.endpoints",
    Kind.OBSERVABLE_GAUGE,
    "{endpoint}",
    "Endpoints that this instance knows, by state.",
    ("state",),
)

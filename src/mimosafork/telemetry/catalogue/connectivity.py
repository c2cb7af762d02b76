"""Events of services that an instance does not reach, and of calls through peers."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 2500

SERVICE_UNREACHABLE = Event(
    2501,
    "service-unreachable",
    Level.WARNING,
    "no endpoint of service {service} can be reached from here: {failed} of {known} "
    "were tried",
    "Its calls go to peers that reach the service, until connections to its endpoints "
    "can be opened again; without such peers they wait or are refused, as with "
    "endpoints that are down.",
    "See to the network between this instance and the endpoints.",
)
SERVICE_REACHABLE = Event(
    2502,
    "service-reachable",
    Level.INFO,
    "endpoints of service {service} can be reached again after {after_ms} ms",
    "New calls go to its endpoints; those that run at peers end there.",
    "None.",
)
FORWARDING_REFUSED = Event(
    2503,
    "forwarding-refused",
    Level.WARNING,
    "a forwarded call was refused: {reason}; {count} so far",
    "The peer that sent it tries another one. Shown once in ten seconds.",
    "See which instances lack a way to endpoints, and whether the others have capacity "
    "for them.",
)

CALLS_RESTRICTED = Instrument(
    "mimosafork.calls.restricted",
    Kind.OBSERVABLE_GAUGE,
    "{call}",
    "Open calls that may be sent to some regions only.",
)

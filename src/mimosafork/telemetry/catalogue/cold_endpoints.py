"""Events and metrics of endpoints that may be cold."""

from ..events import Event, Level
from ..instruments import Instrument, Kind

RANGE = 2800

COLD_BOUND_ENFORCED = Event(
    2801,
    "cold-bound-enforced",
    Level.INFO,
    "{count} endpoints may be cold and get requests only by permits from now on: "
    "{reasons}",
    "Their rows say that they are cold, they are new in the list, have failed, or lie "
    "in a zone whose evacuation has ended; or the list could not be confirmed. "
    "`endpoints` names some of them. Shown at most once a second.",
    "None, unless calls are refused for it: see docs/operators/cold-endpoints.md.",
)
COLD_BOUND_LIFTED = Event(
    2802,
    "cold-bound-lifted",
    Level.INFO,
    "{count} endpoints are warm and get requests beyond their permits again",
    "`endpoints` names some of them. Shown at most once a second.",
    "None.",
)

ENDPOINTS_COLD = Instrument(
    "mimosafork.endpoints.cold",
    Kind.OBSERVABLE_GAUGE,
    "{endpoint}",
    "Endpoints that may be cold and get requests only by permits.",
)
COLD_REFUSALS = Instrument(
    "mimosafork.endpoints.cold.refused",
    Kind.OBSERVABLE_COUNTER,
    "{call}",
    "Calls refused as all usable endpoints may be cold and left no permit in time.",
)

"""What the list of endpoints says about one of them."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..ids import AvailabilityZoneId, EndpointId, ServiceId


class ListedState(Enum):
    """Whether a listed endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One life of an endpoint.

    Attributes
    ----------
    endpoint : EndpointId
        New with each start, so that it names the incarnation too.
    address : str
        ``IP:PORT``; used again by others after the endpoint is gone.
    slots : int
        Requests that it runs at once.
    software : str
        Version of its software.
    cold_remaining : timedelta
        How much longer it stays slow after its start.
    sequence : int
        Grows with each report of this life.
    """

    endpoint: EndpointId
    service: ServiceId
    address: str
    zone: AvailabilityZoneId
    slots: int
    state: ListedState
    software: str = ""
    cold_remaining: timedelta = timedelta(0)
    sequence: int = 0

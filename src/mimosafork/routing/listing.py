"""What the list of endpoints says about one of them."""

from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import AvailabilityZoneId, EndpointId, ServiceId


class ListedState(Enum):
    """Whether a listed endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One life of an endpoint.

    Attributes
    ----------
    endpoint : EndpointId
        New with most starts. One that starts again under its id tells by `born_ms`.
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
    born_ms : int or None
        When this life began, in Unix milliseconds of the endpoint's clock; None where
        it doesn't say. Of two lives under one id the later one counts.
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
    started_ms: int | None = None

    def started_after(self, born_ms: int | None) -> bool:
        """Whether this is surely a later life than one that began then."""
        if self.started_ms is None or born_ms is None:
            return False
        return self.started_ms > born_ms

    def started_before(self, born_ms: int | None) -> bool:
        """Whether this is surely an earlier life than one that began then."""
        if self.started_ms is None or born_ms is None:
            return False
        return self.started_ms < born_ms

"""Entries of the endpoint list."""

from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import AvailabilityZoneId, EndpointId, ServiceId


class ListedState(Enum):
    """Whether a listed endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One incarnation of an endpoint.

    Attributes
    ----------
    endpoint : EndpointId
        Usually a new one for each start; an endpoint that restarts under the same id
        has a later `started_ms`.
    address : str
        ``IP:PORT``; reused by others after the endpoint is gone.
    slots : int
        Requests that it runs at once.
    software : str
        Version of its software.
    cold_remaining : timedelta
        How much longer it stays slow after its start.
    sequence : int
        Grows with each report of this incarnation.
    started_ms : int or None
        Start of this incarnation, in Unix milliseconds of the endpoint's clock; None if
        not stated. Of two incarnations with one id the later one is valid.
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
        """Whether this is certainly a later incarnation than one started then."""
        if self.started_ms is None or born_ms is None:
            return False
        return self.started_ms > born_ms

    def started_before(self, born_ms: int | None) -> bool:
        """Whether this is certainly an earlier incarnation than one started then."""
        if self.started_ms is None or born_ms is None:
            return False
        return self.started_ms < born_ms

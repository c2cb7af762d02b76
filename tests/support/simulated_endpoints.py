"""Endpoints of the simulated gateway, and what may happen to attempts there."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from mimosafork.directory.rows import Row
from mimosafork.ids import (
    EndpointId,
    RequestId,
    ServiceId,
)
from mimosafork.kernel.messages.placement import (
    GangStepFailure,
    ReserveMemory,
)

from .reserving_engines import FakeModelEngine
from .versions import version as version_of

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout of opening a connection."""

ORDER_TIMEOUT = timedelta(milliseconds=250)
"""Timeout of an order's response."""

SLOW_ORDER_DELAY = timedelta(milliseconds=120)
"""Delay of an order's response while engines are slow."""

INSTANCES = 2
"""This instance and a peer, which share the retry budget."""

PEER_CALL = RequestId("peer")


class AttemptEvent(Enum):
    """Events that may happen to an attempt."""

    EVENT = "event"
    FINISHED = "finished"
    BROKEN = "broken"
    GARBLED = "garbled"
    REJECTED = "rejected"
    ELSEWHERE = "elsewhere"
    NOT_FOUND = "not found"
    FAILED = "failed"
    UNREACHED = "unreached"


FAILURE_STATUSES = {AttemptEvent.NOT_FOUND: 404, AttemptEvent.FAILED: 500}


@dataclass
class SimulatedEndpoint:
    """One incarnation of an endpoint.

    Attributes
    ----------
    reachable : bool
        Whether connections to it can be opened.
    loses_orders : bool
        Whether its orders get no response and are not executed.
    """

    name: EndpointId
    service: ServiceId
    address: str
    zone: str
    slots: int
    memory: FakeModelEngine
    reachable: bool = True
    loses_orders: bool = False

    def row(self, state: str, version: int) -> Row:
        """Return the endpoint's row in the list."""
        fields = (state, self.service, self.address, self.zone, str(self.slots))
        return Row(
            "endpoints", "", self.name, " ".join(fields).encode(), version_of(version)
        )


@dataclass(frozen=True)
class OrderReply:
    """Result of an order, and the time at which it is received."""

    order: ReserveMemory
    failure: GangStepFailure | None
    at: timedelta

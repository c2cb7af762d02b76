"""Messages that the directory publishes within the instance."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import AvailabilityZoneId, EndpointId
from ..routing.listing import ListedEndpoint
from ..routing.table import RoutingTable
from .row_version import NO_VERSION, RowVersion
from .rows import Row
from .zone_state import ZoneState


class UpdateOrigin(Enum):
    """Source of an update."""

    STORE = "store"
    PEER = "peer"
    ENDPOINT = "endpoint"
    """A response of the endpoint itself."""


class EndpointState(Enum):
    """State of an endpoint in the directory."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNREADABLE = "unreadable"
    """Its newest row cannot be decoded; it is suspended until one can."""


class DirectoryEntry(msgspec.Struct, frozen=True):
    """Known state of one incarnation of an endpoint.

    Attributes
    ----------
    listed : ListedEndpoint
        Its last listing that could be decoded.
    row : Row
        Its newest row in raw form, for peers.
    state : EndpointState
        Never changes back from draining.
    missing_version : RowVersion or None
        Version at which its row disappeared around an outage of the store; it stays in
        use until this is resolved.
    started_version : RowVersion
        Version of the row with which this incarnation replaced a previous one of the
        same id, or with which the endpoint was restored after its removal; otherwise
        `NO_VERSION`. Older updates without a start time are outdated.
    """

    listed: ListedEndpoint
    row: Row
    state: EndpointState
    missing_version: RowVersion | None = None
    started_version: RowVersion = NO_VERSION

    @property
    def takes_new_work(self) -> bool:
        """Whether it may get new calls."""
        return self.state is EndpointState.READY


class TableChanged(msgspec.Struct, frozen=True):
    """A newer configuration is in force.

    Attributes
    ----------
    before : RoutingTable or None
        The previous configuration; None if there was none.
    """

    table: RoutingTable
    origin: UpdateOrigin
    before: RoutingTable | None = None


class EndpointChanged(msgspec.Struct, frozen=True):
    """An endpoint is new, changed, missing, draining or gone, as its entry shows.

    Attributes
    ----------
    before : DirectoryEntry or None
        Previous entry of an endpoint that is gone, suspended or restored.
    """

    entry: DirectoryEntry
    origin: UpdateOrigin
    before: DirectoryEntry | None = None

    @property
    def endpoint(self) -> EndpointId:
        """Id of the endpoint."""
        return self.entry.listed.endpoint


class EvacuationChanged(msgspec.Struct, frozen=True):
    """The evacuation of a zone has begun or ended, or has a newer version.

    Attributes
    ----------
    before : bool
        Whether the zone was evacuated.
    age : timedelta or None
        Age of a peer's update.
    """

    zone: AvailabilityZoneId
    evacuated: bool
    version: RowVersion
    origin: UpdateOrigin
    before: bool = False
    age: timedelta | None = None

    @property
    def state(self) -> ZoneState:
        """The state of the zone from now on."""
        return ZoneState(self.evacuated, self.version)

    @property
    def takes_effect(self) -> bool:
        """Whether the evacuation has begun or ended."""
        return self.evacuated != self.before


DirectoryChange = TableChanged | EndpointChanged | EvacuationChanged
Listener = Callable[[DirectoryChange], None]

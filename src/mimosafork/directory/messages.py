"""What the directory tells the rest of the instance."""

from collections.abc import Callable
from enum import Enum

import msgspec

from ..ids import EndpointId
from ..routing.listing import ListedEndpoint
from ..routing.table import RoutingTable
from .rows import Row


class UpdateOrigin(Enum):
    """Who told an update."""

    STORE = "store"
    PEER = "peer"


class EndpointState(Enum):
    """What the directory believes of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNREADABLE = "unreadable"
    """Its newest row cannot be read; it rests until the next one that can."""


class DirectoryEntry(msgspec.Struct, frozen=True):
    """What is known of one life of an endpoint.

    Attributes
    ----------
    listed : ListedEndpoint
        Its last update about itself that could be read.
    row : Row
        Its newest row in raw form, to hand to peers.
    state : EndpointState
        Never goes back from draining.
    missing_version : int or None
        Its row vanished at this version, around an outage of the store; it stays in
        use until that is settled.
    began_version : int
        Of the row with which this life replaced a former one under the same id; 0 where
        none did. Older updates without a birth are about a former life.
    """

    listed: ListedEndpoint
    row: Row
    state: EndpointState
    missing_version: int | None = None
    started_version: int = 0

    @property
    def takes_new_work(self) -> bool:
        """Whether calls may be sent to it."""
        return self.state is EndpointState.READY


class TableChanged(msgspec.Struct, frozen=True):
    """A newer configuration is in force.

    Attributes
    ----------
    before : RoutingTable or None
        The one that it replaces; None if there was none.
    """

    table: RoutingTable
    origin: UpdateOrigin
    before: RoutingTable | None = None


class EndpointChanged(msgspec.Struct, frozen=True):
    """An endpoint is new, changed, held, draining or gone; the entry says which.

    Attributes
    ----------
    before : DirectoryEntry or None
        What was believed of one that is gone, rests or is back.
    """

    entry: DirectoryEntry
    origin: UpdateOrigin
    before: DirectoryEntry | None = None

    @property
    def endpoint(self) -> EndpointId:
        """Whom it is about."""
        return self.entry.listed.endpoint


DirectoryChange = TableChanged | EndpointChanged
Listener = Callable[[DirectoryChange], None]

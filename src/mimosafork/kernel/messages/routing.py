"""Messages about what is routed: the table in force, endpoints, peers' work."""

from datetime import timedelta

from ...ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from ...placement.load_tracker import InFlightRequest
from ...routing.listing import ListedEndpoint
from ...routing.table import RoutingTable
from .base import Message


class RoutingTableChanged(Message, frozen=True):
    """A newer version of the routing table is in force."""

    table: RoutingTable


class EndpointUsable(Message, frozen=True):
    """An endpoint takes new work."""

    listed: ListedEndpoint


class EndpointLeaving(Message, frozen=True):
    """An endpoint takes no new work any more; what runs there goes on.

    Attributes
    ----------
    final : bool
        It has said so itself; otherwise it is merely missing, and may be listed again.
    """

    endpoint: EndpointId
    final: bool = False


class PeerWorkReplaced(Message, frozen=True):
    """A peer's whole running work, in times of this instance's clock."""

    instance: InstanceId
    works: tuple[InFlightRequest, ...]


class PeerWorkChanged(Message, frozen=True):
    """Some of a peer's works have begun, changed or ended.

    Attributes
    ----------
    works : tuple of Work
        In times of this instance's clock.
    ended : tuple of RequestId
    """

    instance: InstanceId
    works: tuple[InFlightRequest, ...]
    ended: tuple[RequestId, ...]


class PeerWorkUnknown(Message, frozen=True):
    """Nothing is known any more of a peer's work."""

    instance: InstanceId


class ZoneUnreachable(Message, frozen=True):
    """Nothing is received from an availability zone.

    Attributes
    ----------
    since : timedelta
        Monotonic instant of the latest sign of it.
    """

    zone: AvailabilityZoneId
    since: timedelta


class ZoneReachable(Message, frozen=True):
    """An availability zone that was unreachable is received again."""

    zone: AvailabilityZoneId

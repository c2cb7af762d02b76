"""Messages about routing: routing table, endpoints, in-flight work of peers."""

from datetime import timedelta

from ...ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from ...placement.load_tracker import InFlightRequest
from ...routing.listing import ListedEndpoint
from ...routing.table import RoutingTable
from .base import Message


class RoutingTableChanged(Message, frozen=True):
    """A newer version of the routing table is active."""

    table: RoutingTable


class EndpointUsable(Message, frozen=True):
    """An endpoint accepts new requests."""

    listed: ListedEndpoint


class EndpointLeaving(Message, frozen=True):
    """An endpoint accepts no new requests; those in flight continue.

    Attributes
    ----------
    final : bool
        The endpoint reported it itself; otherwise it is only missing from the list, and
        may be listed again.
    """

    endpoint: EndpointId
    final: bool = False


class PeerWorkReplaced(Message, frozen=True):
    """The complete in-flight work of a peer, in times of this instance's clock."""

    instance: InstanceId
    works: tuple[InFlightRequest, ...]


class PeerWorkChanged(Message, frozen=True):
    """Parts of a peer's in-flight work have started, changed or ended.

    Attributes
    ----------
    works : tuple of InFlightRequest
        In times of this instance's clock.
    ended : tuple of RequestId
    """

    instance: InstanceId
    works: tuple[InFlightRequest, ...]
    ended: tuple[RequestId, ...]


class PeerWorkUnknown(Message, frozen=True):
    """The in-flight work of a peer is no longer known."""

    instance: InstanceId


class ZoneUnreachable(Message, frozen=True):
    """No messages are received from an availability zone.

    Attributes
    ----------
    since : timedelta
        Monotonic time of the last message from it.
    """

    zone: AvailabilityZoneId
    since: timedelta


class ZoneReachable(Message, frozen=True):
    """Messages from an unreachable availability zone are received again."""

    zone: AvailabilityZoneId


class ZoneEvacuated(Message, frozen=True):
    """No request may be sent to the endpoints of an availability zone."""

    zone: AvailabilityZoneId


class ZoneEvacuationEnded(Message, frozen=True):
    """The endpoints of an availability zone, which may be cold, may be used again."""

    zone: AvailabilityZoneId

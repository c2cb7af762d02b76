"""Messages about what is routed: the table in force, endpoints, peers' work."""

from dataclasses import dataclass
from datetime import timedelta

from ...ids import AvailabilityZoneId, EndpointId, InstanceId, RequestId
from ...placement.work import Work
from ...routing.listing import ListedEndpoint
from ...routing.table import RoutingTable
from .base import Message


@dataclass(frozen=True, slots=True)
class TableInForce(Message):
    """A newer version of the routing table is in force."""

    table: RoutingTable


@dataclass(frozen=True, slots=True)
class EndpointUsable(Message):
    """An endpoint takes new work."""

    listed: ListedEndpoint


@dataclass(frozen=True, slots=True)
class EndpointLeaving(Message):
    """An endpoint takes no new work any more; what runs there goes on.

    Attributes
    ----------
    final : bool
        It has said so itself; otherwise it is merely missing, and may be listed again.
    """

    endpoint: EndpointId
    final: bool = False


@dataclass(frozen=True, slots=True)
class PeerWorkTold(Message):
    """A peer's whole running work, in times of this instance's clock."""

    instance: InstanceId
    works: tuple[Work, ...]


@dataclass(frozen=True, slots=True)
class PeerWorkChanged(Message):
    """Some of a peer's works have begun, changed or ended.

    Attributes
    ----------
    works : tuple of Work
        In times of this instance's clock.
    ended : tuple of RequestId
    """

    instance: InstanceId
    works: tuple[Work, ...]
    ended: tuple[RequestId, ...]


@dataclass(frozen=True, slots=True)
class PeerSilent(Message):
    """Nothing is known any more of a peer's work."""

    instance: InstanceId


@dataclass(frozen=True, slots=True)
class ZoneUnreachable(Message):
    """Nothing is received from an availability zone.

    Attributes
    ----------
    since : timedelta
        Monotonic instant of the latest sign of it.
    """

    zone: AvailabilityZoneId
    since: timedelta


@dataclass(frozen=True, slots=True)
class ZoneReachable(Message):
    """An availability zone that was unreachable is received again."""

    zone: AvailabilityZoneId

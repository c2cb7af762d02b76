"""Which services this instance reaches, and which ones its peers do."""

import msgspec

from ...ids import AvailabilityZoneId, EndpointId, InstanceId, ServiceId
from .base import Effect, Message


class ProbeTarget(msgspec.Struct, frozen=True):
    """An endpoint to which a connection is opened."""

    service: ServiceId
    endpoint: EndpointId
    address: str


class ProbeConnections(Effect, frozen=True):
    """Open a connection to each of these endpoints; `ConnectionProbed` follows."""

    targets: tuple[ProbeTarget, ...]


class ConnectionProbed(Message, frozen=True):
    """A probe has opened a connection, or has failed."""

    target: ProbeTarget
    opened: bool


class ProbesDue(Message, frozen=True):
    """The endpoints of an unreachable service are probed again."""

    service: ServiceId


class PublishConnectivity(Effect, frozen=True):
    """Publish to peers which services this instance does not reach."""

    unreachable: frozenset[ServiceId]


class ServiceProbed(Message, frozen=True):
    """A round of probes has ended.

    Attributes
    ----------
    reachable : bool
    changed : bool
        Whether the service was not, or was, reachable before.
    """

    service: ServiceId
    reachable: bool
    changed: bool


ENDPOINT_PREFIX = "instance/"
"""Distinguishes peers from endpoints where attempts name what they were sent to."""


class ForwardingPeer(msgspec.Struct, frozen=True):
    """A live peer.

    Attributes
    ----------
    address : str or None
        Where it accepts forwarded calls; None if unknown.
    unreachable : frozenset of ServiceId
        Services of which it reaches no endpoint.
    """

    instance: InstanceId
    zone: AvailabilityZoneId
    address: str | None
    unreachable: frozenset[ServiceId] = frozenset()

    @property
    def endpoint(self) -> EndpointId:
        """Name under which attempts refer to it."""
        return peer_endpoint(self.instance)


def peer_endpoint(instance: InstanceId) -> EndpointId:
    """Return the name under which attempts refer to a peer."""
    return EndpointId(f"{ENDPOINT_PREFIX}{instance}")


class ForwardingPeersChanged(Message, frozen=True):
    """The live peers, after a change."""

    peers: tuple[ForwardingPeer, ...]

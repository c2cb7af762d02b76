"""Exchange with peers of whether instances reach endpoints."""

from collections.abc import Callable

from ..gossip.kinds.connectivity import Connectivity
from ..gossip.members import Peer
from ..gossip.service import Gossip
from ..ids import ServiceId
from ..kernel.messages.base import Message
from ..kernel.messages.connectivity import ForwardingPeer, ForwardingPeersChanged


class PeerConnectivity:
    """Publishes this instance's connectivity, and reports that of its peers.

    Parameters
    ----------
    post : callable
        Posts a message to the kernel.

    Attributes
    ----------
    gossip : Gossip or None
        None before the start.
    forwarding_port : int or None
        Where this instance accepts forwarded calls; None if it doesn't.
    draining : bool
        Whether a shutdown has begun, so that peers must forward no calls here.
    """

    def __init__(self, post: Callable[[Message], None]) -> None:
        self.post = post
        self.gossip: Gossip | None = None
        self.forwarding_port: int | None = None
        self.draining = False
        self.unreachable: frozenset[ServiceId] = frozenset()
        self.reported: tuple[ForwardingPeer, ...] = ()

    def publish(self) -> None:
        """Publish for which services peers may forward calls here."""
        if self.gossip is None:
            return
        port = None if self.draining else self.forwarding_port
        self.gossip.publish_connectivity(Connectivity(port, self.unreachable))

    def set_unreachable(self, services: frozenset[ServiceId]) -> None:
        """Publish which services this instance does not reach."""
        self.unreachable = services
        self.publish()

    def drain(self) -> None:
        """Publish that this instance accepts no further forwarded calls."""
        self.draining = True
        self.publish()

    def update(self) -> None:
        """Report the live peers, if anything about them has changed."""
        if self.gossip is None:
            return
        peers = tuple(self._peer(self.gossip, each) for each in self.gossip.peers)
        if peers != self.reported:
            self.reported = peers
            self.post(ForwardingPeersChanged(peers))

    def _peer(self, gossip: Gossip, peer: Peer) -> ForwardingPeer:
        published = gossip.state.connectivity(peer.instance)
        if published is None or published.forwarding_port is None:
            return ForwardingPeer(peer.instance, peer.zone, None)
        address = f"{peer.address.host}:{published.forwarding_port}"
        return ForwardingPeer(peer.instance, peer.zone, address, published.unreachable)

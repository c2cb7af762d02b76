"""Builds the gossip of a gateway from its settings."""

from ..gossip.members import Address
from ..gossip.options import GossipOptions, seed_addresses
from ..gossip.peer_rows import PeerRows
from ..gossip.service import Gossip
from ..gossip.sockets import open_sockets
from ..settings.gateway import GatewaySettings
from ..settings.types import split_address
from .gossip_adapter import GossipAdapter

FLEET_NAME = "entry"
"""Gossip name shared by the entry instances of a deployment."""


def new_gossip(
    settings: GatewaySettings, adapter: GossipAdapter, peer_rows: PeerRows
) -> Gossip:
    """Return a gossip whose sockets are bound."""
    host = split_address(settings.listen.front).host
    port = settings.gossip.first_port
    options = GossipOptions(
        settings.instance.id,
        settings.instance.availability_zone,
        FLEET_NAME,
        seed_addresses(settings.gossip.seeds, port),
    )
    return Gossip(
        options,
        open_sockets(Address(host, port)),
        adapter.transfer_payload,
        adapter.callbacks,
        peer_rows,
    )

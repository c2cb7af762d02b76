"""What an entry instance says of itself."""

from datetime import timedelta

import msgspec

from ...ids import Revision
from ...kernel.messages.base import Message
from ...kernel.messages.peers import Origin, PeerValue, Scope
from .base import ArrayKind, register_kind


class InstanceState(PeerValue, msgspec.Struct, frozen=True):
    """State of an entry instance, told by itself.

    Attributes
    ----------
    peer_address : str
        ``IP:PORT`` of its gRPC server.
    draining : bool
        It is stopping gracefully.
    revision : Revision
        Configuration in force there; 0 before its first.
    """

    peer_address: str
    draining: bool
    revision: Revision


class InstanceStateHeard(Message, frozen=True):
    """An entry instance has told its state."""

    state: InstanceState
    origin: Origin


@register_kind
class InstanceStateKind(ArrayKind[InstanceState]):
    """Spread within the availability zone and renewed every few minutes."""

    number = 1
    value_type = InstanceState
    scopes = frozenset({Scope.ZONE})
    time_to_live = timedelta(minutes=10)
    max_bytes = 200

    def message(self, key: str, value: InstanceState, origin: Origin) -> Message:
        """Return the state with its origin."""
        return InstanceStateHeard(value, origin)

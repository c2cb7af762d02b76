"""What instances say of the endpoints that they watch."""

from datetime import timedelta

from ...kernel.messages.base import Message
from ...kernel.messages.peers import Origin, Scope
from ...kernel.messages.watch import (
    EndpointKey,
    EndpointLoad,
    EndpointLoadReceived,
    EndpointProbeFailure,
    EndpointProbeFailureReceived,
    EndpointProfile,
    EndpointProfileReceived,
)
from .base import ArrayKind, register_kind

BOTH = frozenset(Scope)


@register_kind
class EndpointProfileKind(ArrayKind[EndpointProfile]):
    """Written when it changes and renewed every few minutes."""

    number = 2
    value_type = EndpointProfile
    scopes = BOTH
    time_to_live = timedelta(minutes=10)
    max_bytes = 4096

    def message(self, key: str, value: EndpointProfile, origin: Origin) -> Message:
        """Return the profile with its endpoint."""
        return EndpointProfileReceived(EndpointKey(key), value, origin)


@register_kind
class EndpointLoadKind(ArrayKind[EndpointLoad]):
    """Written every second or few; an old one is of no use."""

    number = 3
    value_type = EndpointLoad
    scopes = BOTH
    time_to_live = timedelta(seconds=30)
    max_bytes = 100

    def message(self, key: str, value: EndpointLoad, origin: Origin) -> Message:
        """Return the load with its endpoint."""
        return EndpointLoadReceived(EndpointKey(key), value, origin)


@register_kind
class EndpointSilenceKind(ArrayKind[EndpointProbeFailure]):
    """Written when an endpoint stops answering and renewed while it is silent."""

    number = 4
    value_type = EndpointProbeFailure
    scopes = BOTH
    time_to_live = timedelta(seconds=30)
    max_bytes = 40

    def message(self, key: str, value: EndpointProbeFailure, origin: Origin) -> Message:
        """Return the word with its endpoint."""
        return EndpointProbeFailureReceived(EndpointKey(key), value, origin)

"""Suspicions of bodies, and endpoints that are kept free for suspects."""

from datetime import timedelta

from ...ids import Digest, EndpointId
from ...kernel.messages.base import Message
from ...kernel.messages.peers import Origin, Scope
from ...kernel.messages.quarantine import (
    EndpointIsolation,
    EndpointIsolationReceived,
    Suspicion,
    SuspicionReceived,
)
from .base import ArrayKind, register_kind


@register_kind
class SuspicionKind(ArrayKind[Suspicion]):
    """Written at each crash and when a body is cleared."""

    number = 8
    value_type = Suspicion
    scopes = frozenset({Scope.FLEET})
    time_to_live = timedelta(hours=1)
    max_bytes = 2048

    def message(self, key: str, value: Suspicion, origin: Origin) -> Message:
        """Return the suspicion with the body's digest."""
        return SuspicionReceived(Digest(key), value, origin)


@register_kind
class EndpointIsolationKind(ArrayKind[EndpointIsolation]):
    """Written while an endpoint is kept free, and when it no longer is."""

    number = 9
    value_type = EndpointIsolation
    scopes = frozenset({Scope.FLEET})
    time_to_live = timedelta(seconds=30)
    max_bytes = 20

    def message(self, key: str, value: EndpointIsolation, origin: Origin) -> Message:
        """Return the isolation with its endpoint."""
        return EndpointIsolationReceived(EndpointId(key), value, origin)

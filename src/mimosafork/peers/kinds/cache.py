"""What instances say of prefix caches."""

from datetime import timedelta

from ...kernel.messages.base import Message
from ...kernel.messages.cache import (
    CacheChanges,
    CacheChangesReceived,
    CacheSummary,
    CacheSummaryReceived,
    CacheSummaryRequest,
    CacheSummaryRequestReceived,
)
from ...kernel.messages.peers import Origin, Scope
from ...kernel.messages.watch import EndpointKey
from .base import ArrayKind, register_kind

ZONE_ONLY = frozenset({Scope.ZONE})
SLOT_SEPARATOR = "#"


@register_kind
class CacheNewsKind(ArrayKind[CacheChanges]):
    """A batch of news; its key names the engine and a slot of a small ring.

    The newest entry of a key replaces the one before, so batches that follow each
    other need keys of their own until everybody has heard them.
    """

    number = 5
    value_type = CacheChanges
    scopes = ZONE_ONLY
    time_to_live = timedelta(seconds=30)
    max_bytes = 1200

    def message(self, key: str, value: CacheChanges, origin: Origin) -> Message:
        """Return the news with their engine."""
        endpoint = key.rpartition(SLOT_SEPARATOR)[0]
        return CacheChangesReceived(EndpointKey(endpoint), value, origin)


@register_kind
class CacheSummaryKind(ArrayKind[CacheSummary]):
    """Written when somebody wants it."""

    number = 6
    value_type = CacheSummary
    scopes = ZONE_ONLY
    time_to_live = timedelta(seconds=20)
    max_bytes = 4200

    def message(self, key: str, value: CacheSummary, origin: Origin) -> Message:
        """Return the summary with its engine."""
        return CacheSummaryReceived(EndpointKey(key), value, origin)


@register_kind
class CacheWantedKind(ArrayKind[CacheSummaryRequest]):
    """Written by an instance that has missed a batch, or has just started."""

    number = 7
    value_type = CacheSummaryRequest
    scopes = ZONE_ONLY
    time_to_live = timedelta(seconds=10)
    max_bytes = 20

    def message(self, key: str, value: CacheSummaryRequest, origin: Origin) -> Message:
        """Return the wish with its engine."""
        return CacheSummaryRequestReceived(EndpointKey(key), origin)

"""Values and messages about engines' prefix caches, exchanged between instances."""

import msgspec

from ...ids import Incarnation
from .base import Message
from .peers import Origin, PeerValue
from .watch import EndpointKey


class CacheChanges(PeerValue, msgspec.Struct, frozen=True):
    """Prefixes stored in or evicted from an engine's cache since the last batch.

    Attributes
    ----------
    batch : int
        Sequence number of the writer's batches for this engine; a gap means that a
        batch was missed.
    stored, evicted : bytes
        Short prefix marks, four bytes each.
    """

    incarnation: Incarnation
    batch: int
    stored: bytes
    evicted: bytes


class CacheSummary(PeerValue, msgspec.Struct, frozen=True):
    """All prefixes published by an engine's watcher up to a batch."""

    incarnation: Incarnation
    batch: int
    marks: bytes


class CacheSummaryRequest(PeerValue, msgspec.Struct, frozen=True):
    """Request for a summary: the writer has missed changes of an engine's cache."""

    batch: int


class CacheChangesReceived(Message, frozen=True):
    """Changes of an engine's cache were received from a peer."""

    key: EndpointKey
    changes: CacheChanges
    origin: Origin


class CacheSummaryReceived(Message, frozen=True):
    """A summary of an engine's cache was received from a peer."""

    key: EndpointKey
    summary: CacheSummary
    origin: Origin


class CacheSummaryRequestReceived(Message, frozen=True):
    """A peer requested a summary of an engine's cache."""

    key: EndpointKey
    origin: Origin

"""What instances tell each other of engines' prefix caches."""

import msgspec

from ...ids import Incarnation
from .base import Message
from .peers import Origin, PeerValue
from .watch import EndpointKey


class CacheChanges(PeerValue, msgspec.Struct, frozen=True):
    """Prefixes that entered or left an engine's cache since the last batch.

    Attributes
    ----------
    batch : int
        Counts the writer's batches of this engine; a gap shows that one was missed.
    stored, evicted : bytes
        Short marks, four bytes each.
    """

    incarnation: Incarnation
    batch: int
    stored: bytes
    evicted: bytes


class CacheSummary(PeerValue, msgspec.Struct, frozen=True):
    """All prefixes of an engine that its watcher has told, as of a batch."""

    incarnation: Incarnation
    batch: int
    marks: bytes


class CacheSummaryRequest(PeerValue, msgspec.Struct, frozen=True):
    """The writer has missed something of an engine's cache; a summary, please."""

    batch: int


class CacheChangesReceived(Message, frozen=True):
    """A peer has told news of an engine's cache."""

    key: EndpointKey
    changes: CacheChanges
    origin: Origin


class CacheSummaryReceived(Message, frozen=True):
    """A peer has told what an engine's cache holds."""

    key: EndpointKey
    summary: CacheSummary
    origin: Origin


class CacheSummaryRequestReceived(Message, frozen=True):
    """A peer wants a summary of an engine's cache."""

    key: EndpointKey
    origin: Origin

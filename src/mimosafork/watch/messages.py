"""State and messages of the probing task."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from ..ids import EndpointId, Incarnation
from ..kernel.messages.fleet import (
    CacheEventsReported,
    CacheSnapshotReported,
    LoadReport,
)
from ..kernel.messages.watch import FetchCacheSnapshot, WatchedEndpoint, WatchEndpoints
from .errors import WatchError


@dataclass(slots=True)
class ProbeState:
    """Probe state of one endpoint.

    Attributes
    ----------
    probe_in_flight, cache_read_in_flight : bool
        A call of this kind is in flight; there is at most one of each kind.
    consecutive_failures : int
        Failed probes in a row.
    events_after : int
        Sequence number of the newest cache event that was read.
    """

    target: WatchedEndpoint
    due: timedelta
    events_due: timedelta
    probe_in_flight: bool = False
    cache_read_in_flight: bool = False
    consecutive_failures: int = 0
    incarnation: Incarnation = field(default=Incarnation(0))
    events_after: int = 0
    wants_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A load probe completed with a report or an error."""

    watch: ProbeState
    result: LoadReport | WatchError


@dataclass(frozen=True, slots=True)
class CacheRead:
    """A read of cache events or of a snapshot completed."""

    watch: ProbeState
    result: CacheEventsReported | CacheSnapshotReported | WatchError


WatchInput = WatchEndpoints | FetchCacheSnapshot | ProbeEnded | CacheRead


class Reader(Protocol):
    """Calls to endpoints; each may raise a `WatchError`."""

    def load(self, endpoint: EndpointId, address: str) -> LoadReport:
        """Return the load report."""
        ...

    def events(
        self, endpoint: EndpointId, address: str, after: int
    ) -> CacheEventsReported:
        """Return the cache events after a sequence number."""
        ...

    def snapshot(self, endpoint: EndpointId, address: str) -> CacheSnapshotReported:
        """Return the whole prefix cache."""
        ...

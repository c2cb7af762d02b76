"""Endpoints that are gone, and those of them whose rows exist again."""

from datetime import timedelta

import msgspec

from ..clock import Clock
from ..ids import EndpointId
from ..routing.listing import ListedEndpoint, ListedState
from .rows import Row

ROW_EXPIRY = timedelta(milliseconds=3900)
"""Time for which the row of a removed endpoint must exist again before the endpoint is
restored; longer than the time after which a row without new reports expires."""


class Removal(msgspec.Struct, frozen=True):
    """An endpoint that is gone.

    Attributes
    ----------
    row : Row
        The update in raw form, for peers.
    confirmed : bool
        False if the row disappeared around an outage of the store, so that a newer
        update of the endpoint itself restores it immediately.
    learned_at : timedelta
        Monotonic instant at which the removal was learned.
    started_ms : int or None
        Start time of the removed incarnation, if it was reported.
    """

    row: Row
    confirmed: bool
    learned_at: timedelta
    started_ms: int | None = None

    def requires_persistence(self, row: Row) -> bool:
        """Whether a newer row restores the endpoint only once it has persisted.

        The row of an endpoint that is gone may exist again because the store was
        restored from a copy that still has it.
        """
        return self.confirmed or row.version.era > self.row.version.era


class Reappearance(msgspec.Struct, frozen=True):
    """A removed endpoint whose row exists again, and the instant it was seen."""

    row: Row
    listed: ListedEndpoint
    seen_at: timedelta


class RemovedEndpoints:
    """Removals, for as long as they are kept, and reappearances.

    Parameters
    ----------
    clock : Clock
        Its monotonic scale is used.
    retention : timedelta
        How long removals are kept.
    """

    def __init__(self, clock: Clock, retention: timedelta) -> None:
        self.clock = clock
        self.retention = retention
        self.removals: dict[EndpointId, Removal] = {}
        self.reappeared: dict[EndpointId, Reappearance] = {}

    def record(
        self, row: Row, *, confirmed: bool, started_ms: int | None = None
    ) -> None:
        """Record the removal of an endpoint; a confirmed one stays confirmed."""
        endpoint = EndpointId(row.key)
        removal = self.removals.get(endpoint)
        if removal is not None:
            confirmed = confirmed or removal.confirmed
            row = max(row, removal.row, key=lambda each: each.version)
            started_ms = removal.started_ms if started_ms is None else started_ms
        self.removals[endpoint] = Removal(
            row, confirmed, self.clock.monotonic(), started_ms
        )

    def record_reappearance(self, row: Row, listed: ListedEndpoint) -> None:
        """Record that the row of a removed endpoint exists again.

        An endpoint that is partitioned from the store, but not from its callers, is
        removed when its row expires and reports again after the partition. If it were
        excluded for good, each partition would cost the endpoints of its zone. A late
        report of an endpoint that has really left is its last one, and the row expires
        again. A reappeared endpoint that drains is treated as removed for good.
        """
        if listed.state is not ListedState.READY:
            self.reappeared.pop(listed.endpoint, None)
            self.record(row, confirmed=True)
            return
        if listed.endpoint not in self.reappeared:
            now = self.clock.monotonic()
            self.reappeared[listed.endpoint] = Reappearance(row, listed, now)

    def discard_reappearance(self, row: Row) -> None:
        """Drop a reappearance that a newer update of the same row contradicts."""
        reappeared = self.reappeared.get(EndpointId(row.key))
        if reappeared is not None and row.version >= reappeared.row.version:
            del self.reappeared[EndpointId(row.key)]

    def take_persistent(self) -> list[Reappearance]:
        """Return the reappearances whose rows have persisted, and forget them."""
        now = self.clock.monotonic()
        persistent = [
            each
            for each in self.reappeared.values()
            if now - each.seen_at >= ROW_EXPIRY
        ]
        for each in persistent:
            self.forget(each.listed.endpoint)
        return persistent

    def forget(self, endpoint: EndpointId) -> None:
        """Forget that an endpoint was removed."""
        self.removals.pop(endpoint, None)
        self.reappeared.pop(endpoint, None)

    def prune(self) -> None:
        """Drop removals that are older than the retention time."""
        oldest = self.clock.monotonic() - self.retention
        self.removals = {
            endpoint: removal
            for endpoint, removal in self.removals.items()
            if removal.learned_at >= oldest
        }

    def confirmed_rows(self) -> list[Row]:
        """Return confirmed removals in raw form, for peers."""
        return [each.row for each in self.removals.values() if each.confirmed]

"""The known endpoints, and the rules by which updates about them take precedence."""

from collections.abc import Iterable
from datetime import timedelta

from msgspec.structs import replace

from ..clock import Clock
from ..ids import EndpointId
from ..routing.listing import ListedEndpoint, ListedState
from .health import StoreHealth
from .listing_changes import listing_changed
from .messages import DirectoryEntry, EndpointChanged, EndpointState, UpdateOrigin
from .removed_endpoints import RemovedEndpoints
from .row_version import NO_VERSION, RowVersion
from .rows import Row
from .sources import EndpointSource
from .unreadable_rows import UnreadableRows


class EndpointRegistry:
    """Derives the state of each endpoint from its rows.

    The strictest update wins: gone over draining over ready. Versions order the updates
    of one id; an endpoint usually gets a new id with each start.

    Parameters
    ----------
    source : EndpointSource
        Decodes the values of rows.
    health : StoreHealth
        Tells whether rows may be missing only because of an outage.
    clock : Clock
        Its monotonic scale is used.
    removal_retention : timedelta
        How long removals are kept.
    """

    def __init__(
        self,
        source: EndpointSource,
        health: StoreHealth,
        clock: Clock,
        removal_retention: timedelta,
    ) -> None:
        self.source = source
        self.health = health
        self.removed = RemovedEndpoints(clock, removal_retention)
        self.entries: dict[EndpointId, DirectoryEntry] = {}
        self.unreadable = UnreadableRows()
        self.differs = listing_changed
        """Whether a row of a ready endpoint differs from the former one."""
        self.followed_up_to = NO_VERSION
        """Version up to which all changes were received from the store itself."""
        self.era = NO_VERSION.era
        """Era of the last snapshot."""

    @property
    def has_missing(self) -> bool:
        """Whether an endpoint is in use although its row is missing."""
        return any(each.missing_version is not None for each in self.entries.values())

    def apply(self, row: Row, origin: UpdateOrigin) -> EndpointChanged | None:
        """Apply one update.

        Returns
        -------
        EndpointChanged or None
            None if nothing changes that is published.

        Raises
        ------
        UnreadableRowError
            If the row's value cannot be decoded.
        """
        if row.removed:
            return self.apply_removal(row, origin)
        endpoint = EndpointId(row.key)
        if origin is UpdateOrigin.PEER and self.is_stale_peer_row(endpoint, row):
            return None
        removal = self.removed.removals.get(endpoint)
        # A stale read, or a last report that crossed the removal, may arrive after the
        # endpoint is gone. Without this check, it would send calls to an address that
        # may have been reused. Rows that disappeared around an outage are restored
        # immediately, others only after their row has persisted.
        if removal is not None and row.version <= removal.row.version:
            return None
        listed = self.source.decode(row)
        # A late row of a previous incarnation may say that it drains, or that it is
        # ready at an address that has been reused. Without this check, it would affect
        # the current incarnation.
        started_ms = self.latest_start_ms(endpoint)
        if listed.started_before(started_ms):
            return None
        self.unreadable.clear(row)
        if listed.started_after(started_ms):
            return self.start_incarnation(row, listed, origin)
        if removal is not None and removal.requires_persistence(row):
            self.removed.record_reappearance(row, listed)
            return None
        if listed.state is ListedState.DRAINING:
            return self.apply_draining(row, listed, origin)
        if endpoint in self.unreadable.rows:
            return None
        return self.apply_ready(row, listed, origin)

    def record_unreadable(self, row: Row) -> bool:
        """Record a row that cannot be decoded; return whether the endpoint had none."""
        known = self.entries.get(EndpointId(row.key))
        if known is not None and row.version <= known.row.version:
            return False
        return self.unreadable.record(row)

    def suspend(self, row: Row, origin: UpdateOrigin) -> EndpointChanged | None:
        """Suspend an endpoint whose row was replaced by one that cannot be decoded.

        The previous row no longer tells whether the endpoint drains or whose address it
        has. Without this, the endpoint would still be used by its previous row, or by
        the row with which it reappeared. A draining endpoint keeps draining.

        Returns
        -------
        EndpointChanged or None
            None if it got no new work before.
        """
        endpoint = EndpointId(row.key)
        known = self.entries.get(endpoint)
        reappeared = self.removed.reappeared.get(endpoint)
        if reappeared is not None and row.version > reappeared.row.version:
            self.removed.discard_reappearance(row)
        if known is None or known.state is EndpointState.DRAINING:
            return None
        if row.version <= max(known.row.version, known.missing_version or NO_VERSION):
            return None
        entry = replace(
            known, row=row, state=EndpointState.UNREADABLE, missing_version=None
        )
        self.entries[endpoint] = entry
        if known.state is EndpointState.UNREADABLE:
            return None
        return EndpointChanged(entry, origin, known)

    def latest_start_ms(self, endpoint: EndpointId) -> int | None:
        """Return the start time of the latest known incarnation of an id."""
        known = self.entries.get(endpoint)
        removal = self.removed.removals.get(endpoint)
        if known is not None:
            return known.listed.started_ms
        return None if removal is None else removal.started_ms

    def start_incarnation(
        self, row: Row, listed: ListedEndpoint, origin: UpdateOrigin
    ) -> EndpointChanged:
        """Start a new incarnation of an id and discard the state of the previous one.

        Otherwise an endpoint that drained and restarted under the same id would never
        be used, as a draining id gets no new work again.
        """
        former = self.entries.get(listed.endpoint)
        self.removed.forget(listed.endpoint)
        drains = listed.state is ListedState.DRAINING
        state = EndpointState.DRAINING if drains else EndpointState.READY
        entry = DirectoryEntry(listed, row, state, started_version=row.version)
        self.entries[listed.endpoint] = entry
        return EndpointChanged(entry, origin, former)

    def is_stale_peer_row(self, endpoint: EndpointId, row: Row) -> bool:
        """Return whether a peer's row is of an endpoint that the store no longer lists.

        A peer that is behind may send the row of an endpoint that left before this
        instance read the list. Without this check, the endpoint would stay forever, as
        the store sends no removal after the read, and its address may have been reused.
        """
        return endpoint not in self.entries and row.version <= self.followed_up_to

    def begin_era(self, era: int) -> None:
        """Prepare for a snapshot of a store that was restored from a copy.

        Guard: the copy lacks the endpoints that were listed after it, until they report
        again. Without an uncertain period they would all be removed. The rows of
        reappeared endpoints may be there only because they are in the copy.
        """
        if era <= self.era:
            return
        self.era = era
        self.removed.reappeared.clear()
        if any(each.row.version.era < era for each in self.entries.values()):
            self.health.record_restore()

    def record_followed(self, version: RowVersion) -> None:
        """Record the version up to which all changes were received from the store."""
        self.followed_up_to = max(self.followed_up_to, version)

    def restore_reappeared(self, origin: UpdateOrigin) -> list[EndpointChanged]:
        """Restore reappeared endpoints whose rows have persisted without expiring."""
        restored = []
        for each in self.removed.take_persistent():
            changed = self.apply_ready(each.row, each.listed, origin)
            if changed is not None:
                entry = replace(changed.entry, started_version=each.row.version)
                self.entries[each.listed.endpoint] = entry
                restored.append(replace(changed, entry=entry))
        return restored

    def mark_draining(
        self, endpoint: EndpointId, origin: UpdateOrigin, version: RowVersion
    ) -> EndpointChanged | None:
        """Apply an update without a row that an endpoint is draining."""
        known = self.entries.get(endpoint)
        if known is None or known.state is EndpointState.DRAINING:
            return None
        # Without this, a late update of an earlier incarnation would drain this one.
        if version < known.started_version:
            return None
        entry = replace(known, state=EndpointState.DRAINING)
        self.entries[endpoint] = entry
        return EndpointChanged(entry, origin)

    def apply_ready(
        self, row: Row, listed: ListedEndpoint, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Apply the update that an endpoint is ready."""
        known = self.entries.get(listed.endpoint)
        started_version = NO_VERSION if known is None else known.started_version
        entry = DirectoryEntry(
            listed, row, EndpointState.READY, started_version=started_version
        )
        if known is None:
            self.removed.removals.pop(listed.endpoint, None)
            self.entries[listed.endpoint] = entry
            return EndpointChanged(entry, origin)
        # A ready update written before the draining one may arrive after it. Without
        # this, it would send calls to an endpoint that is about to exit. A draining id
        # never gets new work again.
        if known.state is EndpointState.DRAINING:
            return None
        if known.state is EndpointState.UNREADABLE:
            # Rows older than the unreadable one were rejected before.
            self.entries[listed.endpoint] = entry
            return EndpointChanged(entry, origin, known)
        if row.version <= max(known.row.version, known.missing_version or NO_VERSION):
            return None
        self.entries[listed.endpoint] = entry
        if known.missing_version is None and not self.differs(known.listed, listed):
            return None
        return EndpointChanged(entry, origin)

    def apply_draining(
        self, row: Row, listed: ListedEndpoint, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Apply the update that an endpoint is draining, whatever its version."""
        known = self.entries.get(listed.endpoint)
        started_version = NO_VERSION if known is None else known.started_version
        entry = DirectoryEntry(
            listed, row, EndpointState.DRAINING, started_version=started_version
        )
        if known is None or known.state is not EndpointState.DRAINING:
            self.removed.removals.pop(listed.endpoint, None)
            self.entries[listed.endpoint] = entry
            return EndpointChanged(entry, origin)
        if row.version > known.row.version:
            self.entries[listed.endpoint] = entry
        return None

    def apply_removal(self, row: Row, origin: UpdateOrigin) -> EndpointChanged | None:
        """Apply the update that a row was removed."""
        endpoint = EndpointId(row.key)
        known = self.entries.get(endpoint)
        # A peer may send a removal that is older than the row that reappeared. Without
        # the comparison of versions, nothing would ever restore the endpoint, as the
        # store sends an unchanged row only once.
        self.removed.discard_reappearance(row)
        self.unreadable.clear(row)
        if known is None:
            self.removed.record(row, confirmed=not self.health.is_uncertain)
            return None
        if row.version < known.row.version:
            return self.apply_earlier_removal(known, row, origin)
        # Rows expire while the store is down although their endpoints serve. Without
        # this, an outage would remove all endpoints. Those that were ready stay in use
        # until `resolve_missing` finds them still missing.
        if known.takes_new_work and self.health.is_uncertain:
            return self.keep_missing(known, row, origin)
        confirmed = known.missing_version is None
        if known.state is EndpointState.UNREADABLE and self.health.is_uncertain:
            # It got no new work, so it need not be kept in use; it may still run.
            confirmed = False
        return self.mark_gone(known, row, origin, confirmed=confirmed)

    def apply_earlier_removal(
        self, known: DirectoryEntry, row: Row, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Apply a removal that is older than the known row.

        Guard: it is outdated within an era. Of an earlier era, it may be the later one:
        the known row may come from a copy that was made before the endpoint left. The
        endpoint gets no new work until its row has persisted.
        """
        if row.version.era == known.row.version.era:
            return None
        if row.version <= known.started_version:
            return None
        changed = self.mark_gone(known, row, origin, confirmed=True)
        self.removed.record_reappearance(known.row, known.listed)
        return changed

    def keep_missing(
        self, known: DirectoryEntry, row: Row, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Keep an endpoint in use whose row disappeared around an outage."""
        version = max(row.version, known.missing_version or NO_VERSION)
        entry = replace(known, missing_version=version)
        self.entries[known.listed.endpoint] = entry
        if known.missing_version is not None:
            return None
        return EndpointChanged(entry, origin)

    def mark_gone(
        self, known: DirectoryEntry, row: Row, origin: UpdateOrigin, *, confirmed: bool
    ) -> EndpointChanged:
        """Mark an endpoint as gone.

        The removal of a draining endpoint is confirmed, also if its row was missing.
        Otherwise a late ready row from before would restore it immediately.
        """
        del self.entries[known.listed.endpoint]
        confirmed = confirmed or known.state is EndpointState.DRAINING
        self.removed.record(
            row, confirmed=confirmed, started_ms=known.listed.started_ms
        )
        gone = replace(known, state=EndpointState.GONE, missing_version=None)
        return EndpointChanged(gone, origin, known)

    def is_newer_than(self, rows: Iterable[Row]) -> bool:
        """Whether the known state of an endpoint is newer than one of the rows."""
        for row in rows:
            known = self.entries.get(EndpointId(row.key))
            if known is not None and row.version < known.row.version:
                return True
        return False

    def missing_from(self, rows: Iterable[Row], version: RowVersion) -> tuple[Row, ...]:
        """Return the removals implied by a snapshot as of a version.

        Endpoints with an update newer than the snapshot are not affected.

        The removals include those of reappeared endpoints whose rows have yet to
        persist. If such a row was removed while the feed was interrupted, only its
        absence from the snapshot shows it; otherwise the endpoint would be used after
        it has exited.
        """
        present = {row.key for row in rows}
        known = dict(self.unreadable.rows)
        reappeared = self.removed.reappeared.values()
        known |= {each.listed.endpoint: each.row for each in reappeared}
        known |= {each.listed.endpoint: each.row for each in self.entries.values()}
        return tuple(
            replace(row, value=b"", version=version, removed=True)
            for row in known.values()
            if row.key not in present and row.version <= version
        )

    def resolve_missing(self, origin: UpdateOrigin) -> tuple[EndpointChanged, ...]:
        """Mark endpoints as gone that are still missing after the grace period.

        Must be called after an answer about the endpoints was applied, so that rows
        that returned in time are known.
        """
        if self.health.is_uncertain:
            return ()
        self.removed.prune()
        restored = self.restore_reappeared(origin)
        missing = [
            entry
            for entry in self.entries.values()
            if entry.missing_version is not None
        ]
        gone = [
            self.mark_gone(entry, removal_of(entry), origin, confirmed=False)
            for entry in missing
        ]
        return tuple(gone + restored)

    def raw_rows(self) -> tuple[Row, ...]:
        """Return all updates in raw form, for peers.

        Unconfirmed removals are omitted: a peer could not distinguish them from
        confirmed ones.
        """
        listed = [entry.row for entry in self.entries.values()]
        return tuple(listed + self.removed.confirmed_rows())


def removal_of(entry: DirectoryEntry) -> Row:
    """Return the removal of an entry that was kept in use without its row."""
    version = entry.missing_version or entry.row.version
    return replace(entry.row, value=b"", version=version, removed=True)

"""The endpoints that are known, and which update about each counts."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec
from msgspec.structs import replace

from ..clock import Clock
from ..ids import EndpointId
from ..routing.listing import ListedEndpoint, ListedState
from .health import StoreHealth
from .messages import DirectoryEntry, EndpointChanged, EndpointState, UpdateOrigin
from .rows import Row
from .sources import EndpointSource

UNREPORTED_FIELDS = {
    "sequence": 0,
    "cold_remaining": timedelta(0),
    "state": ListedState.READY,
}
"""Fields of a listing whose change alone is not told, set to values that are equal."""

ROW_EXPIRY = timedelta(milliseconds=3900)
"""Longer than a row outlives the last report of its endpoint."""


class Removal(msgspec.Struct, frozen=True):
    """An endpoint that is gone.

    Attributes
    ----------
    row : Row
        The update in raw form, to hand to peers.
    sure : bool
        False if its row vanished around an outage of the store, so that a newer
        update of the endpoint itself may bring it back.
    since : timedelta
        Monotonic instant at which it was learned.
    born_ms : int or None
        When the life began that is gone, as far as it said so.
    """

    row: Row
    confirmed: bool
    learned_at: timedelta
    started_ms: int | None = None


class Reappearance(msgspec.Struct, frozen=True):
    """A gone endpoint whose row is there again, since a monotonic instant."""

    row: Row
    listed: ListedEndpoint
    seen_at: timedelta


class EndpointRegistry:
    """Decides what each row says about its endpoint.

    The strictest update counts: gone before draining before ready. An update's version
    orders what was said about one id; ids are new with each start of an endpoint.

    Parameters
    ----------
    source : EndpointSource
        Reads a row's value.
    health : StoreHealth
        Whether rows may be missing by an outage alone.
    clock : Clock
        Its monotonic scale is used.
    gone_kept : timedelta
        How long the update that an endpoint is gone is remembered.
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
        self.clock = clock
        self.removal_retention = removal_retention
        self.entries: dict[EndpointId, DirectoryEntry] = {}
        self.removals: dict[EndpointId, Removal] = {}
        self.reappeared: dict[EndpointId, Reappearance] = {}
        self.unreadable: dict[EndpointId, Row] = {}
        """The newest rows that cannot be read, without their values."""
        self.followed_up_to = 0
        """Version up to which the store itself has told all changes."""

    @property
    def has_missing(self) -> bool:
        """Whether an endpoint is in use whose row has vanished."""
        return any(each.missing_version is not None for each in self.entries.values())

    def apply(self, row: Row, origin: UpdateOrigin) -> EndpointChanged | None:
        """Take one update.

        Returns
        -------
        EndpointChanged or None
            None if it changes nothing that others need to know.

        Raises
        ------
        UnreadableError
            If the row's value cannot be read.
        """
        if row.removed:
            return self.apply_removal(row, origin)
        endpoint = EndpointId(row.key)
        if origin is UpdateOrigin.PEER and self.is_stale_peer_row(endpoint, row):
            return None
        update = self.removals.get(endpoint)
        # Guard: a row read late, or a last report that crossed the removal, comes
        # after the endpoint is gone. Taken, calls would go to an address that is
        # another's by then. What vanished around an outage may come back at once,
        # anything else only when its row lasts.
        if update is not None and row.version <= update.row.version:
            return None
        listed = self.source.decode(row)
        # Guard: a late row of a former life says that it leaves, or is ready at an
        # address that is another's by now. It must not act on the present life.
        born_ms = self.latest_start_ms(endpoint)
        if listed.started_before(born_ms):
            return None
        self.clear_unreadable(row)
        if listed.started_after(born_ms):
            return self.start_incarnation(row, listed, origin)
        if update is not None and update.confirmed:
            self.record_reappearance(row, listed)
            return None
        if listed.state is ListedState.DRAINING:
            return self.apply_draining(row, listed, origin)
        if endpoint in self.unreadable:
            return None
        return self.apply_ready(row, listed, origin)

    def clear_unreadable(self, row: Row) -> None:
        """Forget an unreadable row that a newer one of its endpoint replaces.

        The same row may have come mangled from a peer, and be read from the store.
        """
        unreadable = self.unreadable.get(EndpointId(row.key))
        if unreadable is not None and row.version >= unreadable.version:
            del self.unreadable[EndpointId(row.key)]

    def record_unreadable(self, row: Row) -> bool:
        """Take note of a row that cannot be read; return whether that is news.

        Guard: a row that is written over each second, read whole again or handed over
        by all peers would be told each time.
        """
        endpoint = EndpointId(row.key)
        known, before = self.entries.get(endpoint), self.unreadable.get(endpoint)
        if known is not None and row.version <= known.row.version:
            return False
        if before is None or row.version > before.version:
            self.unreadable[endpoint] = replace(row, value=b"")
        return before is None

    def suspend(self, row: Row, origin: UpdateOrigin) -> EndpointChanged | None:
        """Let an endpoint rest whose row has been replaced by one that can't be read.

        Guard: what was said before says nothing of now: whether it drains, or whose
        address that is, nobody knows. It must not be used by the former update, nor, if
        it was gone and is back, by the update with which it came. One that drains goes
        on to do so.

        Returns
        -------
        EndpointChanged or None
            None if it got no new work before.
        """
        endpoint = EndpointId(row.key)
        back, known = self.reappeared.get(endpoint), self.entries.get(endpoint)
        if back is not None and row.version > back.row.version:
            del self.reappeared[endpoint]
        if known is None or known.state is EndpointState.DRAINING:
            return None
        if row.version <= max(known.row.version, known.missing_version or 0):
            return None
        entry = replace(
            known, row=row, state=EndpointState.UNREADABLE, missing_version=None
        )
        self.entries[endpoint] = entry
        if known.state is EndpointState.UNREADABLE:
            return None
        return EndpointChanged(entry, origin, known)

    def latest_start_ms(self, endpoint: EndpointId) -> int | None:
        """Return when the latest life began that was heard of under an id."""
        known, update = self.entries.get(endpoint), self.removals.get(endpoint)
        if known is not None:
            return known.listed.started_ms
        return None if update is None else update.started_ms

    def start_incarnation(
        self, row: Row, listed: ListedEndpoint, origin: UpdateOrigin
    ) -> EndpointChanged:
        """Take a later life under an id: what the former one said ends with it.

        Without this an endpoint that drained, and started again under its id, would
        never be used, as an id that leaves takes no work again.
        """
        former = self.entries.get(listed.endpoint)
        self.removals.pop(listed.endpoint, None)
        self.reappeared.pop(listed.endpoint, None)
        drains = listed.state is ListedState.DRAINING
        state = EndpointState.DRAINING if drains else EndpointState.READY
        entry = DirectoryEntry(listed, row, state, started_version=row.version)
        self.entries[listed.endpoint] = entry
        return EndpointChanged(entry, origin, former)

    def is_stale_peer_row(self, endpoint: EndpointId, row: Row) -> bool:
        """Return whether a row is of an endpoint that the store no longer lists.

        Guard: a peer that is behind hands over the row of an endpoint that left before
        this instance read the list. Taken, it would stay for good, as the store tells
        of no removal after the read, and its address may be another's by then.
        """
        return endpoint not in self.entries and row.version <= self.followed_up_to

    def record_followed(self, version: int) -> None:
        """Note up to which version the store has told all changes."""
        self.followed_up_to = max(self.followed_up_to, version)

    def record_reappearance(self, row: Row, listed: ListedEndpoint) -> None:
        """Note that a gone endpoint's row is there again.

        An endpoint that was cut off from the store, and not from its callers, is
        removed after some silence, and reports again when the cut is over; were it
        left out for good, each cut would cost its zone's endpoints. One late report
        of an endpoint that has really left is the last: its row expires again. One
        that is back and drains has left for good, whatever is heard late of it.
        """
        if listed.state is not ListedState.READY:
            self.reappeared.pop(listed.endpoint, None)
            self.record_removal(row, confirmed=True)
            return
        if listed.endpoint not in self.reappeared:
            now = self.clock.monotonic()
            self.reappeared[listed.endpoint] = Reappearance(row, listed, now)

    def restore_reappeared(self, origin: UpdateOrigin) -> list[EndpointChanged]:
        """Use endpoints again whose rows have not expired since they are back."""
        now = self.clock.monotonic()
        lasting = [
            each
            for each in self.reappeared.values()
            if now - each.seen_at >= ROW_EXPIRY
        ]
        revived = []
        for each in lasting:
            del self.reappeared[each.listed.endpoint]
            self.removals.pop(each.listed.endpoint, None)
            changed = self.apply_ready(each.row, each.listed, origin)
            if changed is not None:
                revived.append(changed)
        return revived

    def mark_draining(
        self, endpoint: EndpointId, origin: UpdateOrigin, version: int
    ) -> EndpointChanged | None:
        """Take an update without a row, of some version, that an endpoint leaves."""
        known = self.entries.get(endpoint)
        if known is None or known.state is EndpointState.DRAINING:
            return None
        # Guard: a late update about the former life would drain the present one.
        if version < known.started_version:
            return None
        entry = replace(known, state=EndpointState.DRAINING)
        self.entries[endpoint] = entry
        return EndpointChanged(entry, origin)

    def apply_ready(
        self, row: Row, listed: ListedEndpoint, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Take the update that an endpoint takes work."""
        known = self.entries.get(listed.endpoint)
        began = 0 if known is None else known.started_version
        entry = DirectoryEntry(listed, row, EndpointState.READY, started_version=began)
        if known is None:
            self.removals.pop(listed.endpoint, None)
            self.entries[listed.endpoint] = entry
            return EndpointChanged(entry, origin)
        # Guard: a ready update written before the draining one is heard after it.
        # Taken, calls would reach an endpoint that is about to exit. An id never
        # takes work again once it has said that it leaves.
        if known.state is EndpointState.DRAINING:
            return None
        if known.state is EndpointState.UNREADABLE:
            # An older row than the unreadable one has been left out before.
            self.entries[listed.endpoint] = entry
            return EndpointChanged(entry, origin, known)
        if row.version <= max(known.row.version, known.missing_version or 0):
            return None
        self.entries[listed.endpoint] = entry
        if known.missing_version is None and equal_except_unreported(
            known.listed, listed
        ):
            return None
        return EndpointChanged(entry, origin)

    def apply_draining(
        self, row: Row, listed: ListedEndpoint, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Take the update that an endpoint leaves, whatever its version."""
        known = self.entries.get(listed.endpoint)
        began = 0 if known is None else known.started_version
        entry = DirectoryEntry(
            listed, row, EndpointState.DRAINING, started_version=began
        )
        if known is None or known.state is not EndpointState.DRAINING:
            self.removals.pop(listed.endpoint, None)
            self.entries[listed.endpoint] = entry
            return EndpointChanged(entry, origin)
        if row.version > known.row.version:
            self.entries[listed.endpoint] = entry
        return None

    def apply_removal(self, row: Row, origin: UpdateOrigin) -> EndpointChanged | None:
        """Take the update that a row is no longer there."""
        endpoint = EndpointId(row.key)
        known = self.entries.get(endpoint)
        # Guard: a peer hands over a removal that is older than the row that is there
        # again. The store tells an unchanged row once, so that nothing would ever
        # bring the endpoint back.
        back = self.reappeared.get(endpoint)
        if back is not None and row.version >= back.row.version:
            del self.reappeared[endpoint]
        self.clear_unreadable(row)
        if known is None:
            self.record_removal(row, confirmed=not self.health.is_uncertain)
            return None
        if row.version < known.row.version:
            return None
        # Guard: rows expire while the store is down although their endpoints
        # serve. Taken at once, all endpoints would be lost with the store. What
        # was serving stays in use until `settle` sees it still missing.
        if known.takes_new_work and self.health.is_uncertain:
            return self.keep_missing(known, row, origin)
        sure = known.missing_version is None
        if known.state is EndpointState.UNREADABLE and self.health.is_uncertain:
            # It got no new work, so there is nothing to hold; it may well be alive.
            sure = False
        return self.mark_gone(known, row, origin, confirmed=sure)

    def keep_missing(
        self, known: DirectoryEntry, row: Row, origin: UpdateOrigin
    ) -> EndpointChanged | None:
        """Keep an endpoint in use whose row vanished around an outage."""
        version = max(row.version, known.missing_version or 0)
        entry = replace(known, missing_version=version)
        self.entries[known.listed.endpoint] = entry
        if known.missing_version is not None:
            return None
        return EndpointChanged(entry, origin)

    def mark_gone(
        self, known: DirectoryEntry, row: Row, origin: UpdateOrigin, *, confirmed: bool
    ) -> EndpointChanged:
        """Treat an endpoint as gone.

        Guard: one that drained while its row was missing is gone for sure. Else the
        ready row before its draining one, told late, would be believed at once.
        """
        del self.entries[known.listed.endpoint]
        confirmed = confirmed or known.state is EndpointState.DRAINING
        self.record_removal(
            row, confirmed=confirmed, started_ms=known.listed.started_ms
        )
        gone = replace(known, state=EndpointState.GONE, missing_version=None)
        return EndpointChanged(gone, origin, known)

    def record_removal(
        self, row: Row, *, confirmed: bool, started_ms: int | None = None
    ) -> None:
        """Remember that an endpoint is gone; a sure update stays sure."""
        endpoint = EndpointId(row.key)
        update = self.removals.get(endpoint)
        if update is not None:
            confirmed = confirmed or update.confirmed
            row = max(row, update.row, key=lambda each: each.version)
            started_ms = update.started_ms if started_ms is None else started_ms
        self.removals[endpoint] = Removal(
            row, confirmed, self.clock.monotonic(), started_ms
        )

    def is_newer_than(self, rows: Iterable[Row]) -> bool:
        """Whether one of the rows is older than what is known of its endpoint."""
        for row in rows:
            known = self.entries.get(EndpointId(row.key))
            if known is not None and row.version < known.row.version:
                return True
        return False

    def missing_from(self, rows: Iterable[Row], version: int) -> tuple[Row, ...]:
        """Return the removals that a whole read as of a version amounts to.

        What is known by a newer update than the read is left alone.

        Guard: a gone endpoint whose row came back waits until its row has lasted. If
        the row went again while the feed was cut, only the whole read shows it by what
        it lacks; the endpoint would be used though nobody listens there.
        """
        present = {row.key for row in rows}
        known = dict(self.unreadable)
        known |= {each.listed.endpoint: each.row for each in self.reappeared.values()}
        known |= {each.listed.endpoint: each.row for each in self.entries.values()}
        return tuple(
            replace(row, value=b"", version=version, removed=True)
            for row in known.values()
            if row.key not in present and row.version <= version
        )

    def resolve_missing(self, origin: UpdateOrigin) -> tuple[EndpointChanged, ...]:
        """Treat as gone what is still missing some time after the store's return.

        To be called after an answer about the endpoints was taken, so that what
        came back in time has been heard.
        """
        if self.health.is_uncertain:
            return ()
        self.prune_removals()
        revived = self.restore_reappeared(origin)
        missing = [
            entry
            for entry in self.entries.values()
            if entry.missing_version is not None
        ]
        forgotten = [
            self.mark_gone(entry, removal_of(entry), origin, confirmed=False)
            for entry in missing
        ]
        return tuple(forgotten + revived)

    def prune_removals(self) -> None:
        """Drop updates about endpoints that are long gone."""
        oldest = self.clock.monotonic() - self.removal_retention
        self.removals = {
            endpoint: update
            for endpoint, update in self.removals.items()
            if update.learned_at >= oldest
        }

    def raw_rows(self) -> tuple[Row, ...]:
        """Return all updates in raw form, to hand to peers.

        An unsure removal is left out: a peer could not tell it from a sure one.
        """
        listed = [entry.row for entry in self.entries.values()]
        gone = [update.row for update in self.removals.values() if update.confirmed]
        return tuple(listed + gone)


def equal_except_unreported(first: ListedEndpoint, second: ListedEndpoint) -> bool:
    """Whether two listings differ at most in what each report changes."""
    return replace(first, **UNREPORTED_FIELDS) == replace(second, **UNREPORTED_FIELDS)


def removal_of(entry: DirectoryEntry) -> Row:
    """Return the removal that an entry was held against."""
    version = entry.missing_version or entry.row.version
    return replace(entry.row, value=b"", version=version, removed=True)

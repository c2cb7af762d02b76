"""Which availability zones are evacuated, by the newest version known of each."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ..ids import AvailabilityZoneId
from .messages import EvacuationChanged, UpdateOrigin
from .row_version import NO_VERSION, RowVersion
from .zone_state import ZoneState


class ZoneEvacuations:
    """Evacuations by zone; those that have ended are kept with their versions.

    Without them, a late update of a peer would begin an evacuation again that has
    ended.

    Attributes
    ----------
    states : dict of AvailabilityZoneId to ZoneState
    followed : RowVersion
        All changes of the store up to this version have been applied.
    """

    def __init__(self) -> None:
        self.states: dict[AvailabilityZoneId, ZoneState] = {}
        self.followed = NO_VERSION

    def is_evacuated(self, zone: AvailabilityZoneId) -> bool:
        """Return whether a zone is evacuated."""
        state = self.states.get(zone)
        return state is not None and state.evacuated

    @property
    def evacuated(self) -> frozenset[AvailabilityZoneId]:
        """The zones that are evacuated."""
        return frozenset(zone for zone in self.states if self.is_evacuated(zone))

    def is_newer_than(self, version: RowVersion) -> bool:
        """Return whether the state of a zone is newer than a read of all rows."""
        return any(version < state.version for state in self.states.values())

    def apply(
        self,
        zone: AvailabilityZoneId,
        state: ZoneState,
        origin: UpdateOrigin,
        age: timedelta | None = None,
    ) -> EvacuationChanged | None:
        """Apply an update if it is newer than the known state.

        Of two that contradict each other under one version, the evacuation counts: the
        other one could send requests to a zone that is about to be shut down.
        """
        if origin is UpdateOrigin.PEER and state.version <= self.followed:
            return self._correct(zone, state)
        known = self.states.get(zone)
        if known is not None and state.version <= known.version:
            stricter = state.evacuated and not known.evacuated
            if state.version < known.version or not stricter:
                return None
        return self._set(zone, state, origin, age)

    def _correct(
        self, zone: AvailabilityZoneId, told: ZoneState
    ) -> EvacuationChanged | None:
        """Answer a peer's update that changes of the store have overtaken.

        The state of this instance is as new as the changes that it has applied, though
        the version that it has published may be older than the peer's: an evacuation
        that was lost with a restore of the store is not known to all as ended.
        """
        known = self.states.get(zone)
        if known is not None and known.version > self.followed:
            return None
        evacuated = self.is_evacuated(zone)
        if told.evacuated == evacuated:
            return None
        return self._set(zone, ZoneState(evacuated, self.followed), UpdateOrigin.STORE)

    def apply_read(
        self, rows: Mapping[AvailabilityZoneId, RowVersion], version: RowVersion
    ) -> list[EvacuationChanged]:
        """Apply a read of all rows; zones without a row are not evacuated.

        Parameters
        ----------
        rows : mapping of AvailabilityZoneId to RowVersion
            Versions of the rows by zone.
        version : RowVersion
            Version as of which the rows were read.
        """
        changes = []
        for zone, row_version in rows.items():
            known = self.states.get(zone)
            known_later = known is not None and known.version >= row_version
            if known_later and self.is_evacuated(zone):
                continue
            state = ZoneState(True, version if known_later else row_version)
            changes.append(self.apply(zone, state, UpdateOrigin.STORE))
        for zone in self.evacuated - rows.keys():
            state = ZoneState(False, version)
            changes.append(self.apply(zone, state, UpdateOrigin.STORE))
        self.record_followed(version)
        return [change for change in changes if change is not None]

    def apply_rows(
        self, rows: Iterable[tuple[AvailabilityZoneId, ZoneState]], version: RowVersion
    ) -> list[EvacuationChanged]:
        """Apply changed rows, which are all changes up to a version."""
        changes = [self.apply(zone, state, UpdateOrigin.STORE) for zone, state in rows]
        self.record_followed(version)
        return [change for change in changes if change is not None]

    def record_followed(self, version: RowVersion) -> None:
        """Record that all changes up to a version have been applied."""
        self.followed = max(self.followed, version)

    def _set(
        self,
        zone: AvailabilityZoneId,
        state: ZoneState,
        origin: UpdateOrigin,
        age: timedelta | None = None,
    ) -> EvacuationChanged:
        before = self.is_evacuated(zone)
        self.states[zone] = state
        return EvacuationChanged(
            zone, state.evacuated, state.version, origin, before, age
        )

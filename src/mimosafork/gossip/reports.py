"""Which effects newly accepted entries have."""

from collections.abc import Iterable
from typing import cast

from ..directory.feed_update import FeedUpdate
from ..directory.zone_state import ZoneState
from ..ids import AvailabilityZoneId, Digest, EndpointId, InstanceId
from .effects import (
    ConnectivityChanged,
    ContentJudged,
    ContentSucceeded,
    CrashRefuted,
    DoubtChanged,
    Effect,
    EndpointSaid,
    EvacuationTold,
    FeedTold,
    LimitStated,
    LoadChanged,
    RunInterrupted,
    VersionsOffered,
)
from .kinds.base import Key
from .kinds.configuration import CONFIGURATION, Versions
from .kinds.connectivity import CONNECTIVITY
from .kinds.crashes import (
    INTERRUPTED_RUNS,
    QUARANTINES,
    REFUTATIONS,
    SUCCESSES,
    QuarantineNote,
    RunNote,
    SuccessNote,
)
from .kinds.doubt import DOUBT, Doubt
from .kinds.endpoints import ENDPOINTS, EndpointWord
from .kinds.evacuations import EVACUATIONS
from .kinds.feed import FEED
from .kinds.limits import LIMITS, LimitNote
from .kinds.load import LOAD
from .ledger import Entry, Slot
from .members import Member


class Reports:
    """Turns accepted entries into effects, changes of load together at the end."""

    def __init__(self) -> None:
        self.loaded: dict[InstanceId, list[int]] = {}

    def begin(self) -> None:
        """Begin a datagram."""
        self.loaded = {}

    def end(self) -> Iterable[Effect]:
        """End a datagram; return the changes of load that it brought."""
        return [LoadChanged(name, tuple(each)) for name, each in self.loaded.items()]

    def accepted(self, origin: Member, slot: Slot, entry: Entry) -> list[Effect]:
        """Return what an accepted entry changes."""
        name = origin.identity.instance
        if slot.kind == LOAD.number:
            if isinstance(slot.key, int):
                self.loaded.setdefault(name, []).append(slot.key)
            return []
        if slot.kind == DOUBT.number:
            doubt = cast(Doubt | None, entry.value)
            return [DoubtChanged(name, endpoint_of(slot.key), doubt)]
        if entry.value is None:
            return []
        if slot.kind == CONFIGURATION.number:
            return [VersionsOffered(origin.identity, cast(Versions, entry.value))]
        if slot.kind == ENDPOINTS.number:
            said = cast(EndpointWord, entry.value)
            return [EndpointSaid(endpoint_of(slot.key), said)]
        if slot.kind == EVACUATIONS.number:
            zone = AvailabilityZoneId(str(slot.key))
            state = cast(ZoneState, entry.value)
            return [EvacuationTold(zone, state, entry.born)]
        if slot.kind == FEED.number:
            return [FeedTold(name, cast(FeedUpdate, entry.value), entry.born)]
        if slot.kind == LIMITS.number:
            note = cast(LimitNote, entry.value)
            return [LimitStated(endpoint_of(slot.key), note, entry.born)]
        if slot.kind == CONNECTIVITY.number:
            return [ConnectivityChanged(name)]
        return crash_effects(slot, entry)


def crash_effects(slot: Slot, entry: Entry) -> list[Effect]:
    """Return what an accepted entry says about crashes of endpoints."""
    if slot.kind == INTERRUPTED_RUNS.number:
        return [RunInterrupted(cast(RunNote, entry.value), entry.born)]
    if slot.kind == REFUTATIONS.number:
        sent_ms = cast(int, entry.value)
        return [CrashRefuted(endpoint_of(slot.key), sent_ms, entry.born)]
    content = Digest(str(slot.key))
    if slot.kind == SUCCESSES.number:
        success = cast(SuccessNote, entry.value)
        return [ContentSucceeded(content, success, entry.born)]
    if slot.kind == QUARANTINES.number:
        decision = cast(QuarantineNote, entry.value)
        return [ContentJudged(content, decision, entry.born)]
    return []


def endpoint_of(key: Key) -> EndpointId:
    """Return the endpoint that a key names."""
    return EndpointId(str(key))

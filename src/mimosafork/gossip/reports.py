"""Which effects newly accepted entries have."""

from typing import cast

from ..directory.feed_word import FeedWord
from ..ids import EndpointId, InstanceId
from .effects import (
    DoubtChanged,
    Effect,
    EndpointSaid,
    FeedTold,
    LoadChanged,
    SuspicionChanged,
    VersionsOffered,
)
from .kinds.base import Key
from .kinds.configuration import CONFIGURATION, Versions
from .kinds.doubt import DOUBT, Doubt
from .kinds.endpoints import ENDPOINTS, EndpointWord
from .kinds.feed import FEED
from .kinds.load import LOAD
from .kinds.suspicion import SUSPICION
from .ledger import Entry, Slot
from .members import Member
from .state import FleetState


class Reports:
    """Turns accepted entries into effects, a change of load once a datagram."""

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.loaded: set[InstanceId] = set()

    def begin(self) -> None:
        """Begin a datagram."""
        self.loaded.clear()

    def accepted(self, origin: Member, slot: Slot, entry: Entry) -> list[Effect]:
        """Return what an accepted entry changes."""
        name = origin.identity.instance
        if slot.kind == LOAD.number:
            return self.load_changed(name)
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
        if slot.kind == FEED.number:
            return [FeedTold(name, cast(FeedWord, entry.value), entry.born)]
        if slot.kind == SUSPICION.number and isinstance(slot.key, bytes):
            return [SuspicionChanged(slot.key, self.state.suspicion(slot.key))]
        return []

    def load_changed(self, name: InstanceId) -> list[Effect]:
        """Return a change of load, the first time in a datagram."""
        if name in self.loaded:
            return []
        self.loaded.add(name)
        return [LoadChanged(name)]


def endpoint_of(key: Key) -> EndpointId:
    """Return the endpoint that a key names."""
    return EndpointId(str(key))

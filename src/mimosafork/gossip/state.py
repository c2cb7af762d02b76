"""What the fleet knows together: own words merged with those of the living peers."""

from collections.abc import Iterator
from datetime import timedelta
from typing import cast

import msgspec

from ..ids import AvailabilityZoneId, EndpointId, InstanceId
from .kinds.connectivity import CONNECTIVITY, Connectivity
from .kinds.connectivity import KEY as CONNECTIVITY_KEY
from .kinds.doubt import DOUBT, Doubt
from .kinds.endpoints import ENDPOINTS, EndpointWord, newest
from .kinds.load import LOAD, WorkNote
from .ledger import Entry, Ledger
from .members import Member
from .roster import Roster


class HeardWork(msgspec.Struct, frozen=True):
    """A peer's work.

    Parameters
    ----------
    age : timedelta
        Since the note was made; the times in the note are as of then.
    """

    note: WorkNote
    age: timedelta


class PeerLoad(msgspec.Struct, frozen=True):
    """The works of a living peer."""

    instance: InstanceId
    zone: AvailabilityZoneId
    works: tuple[HeardWork, ...]


class HeardDoubt(msgspec.Struct, frozen=True):
    """An endpoint that a living peer has ejected.

    Parameters
    ----------
    zone : AvailabilityZoneId
        Of the peer.
    age : timedelta
        Since the ejection.
    """

    endpoint: EndpointId
    doubt: Doubt
    instance: InstanceId
    zone: AvailabilityZoneId
    age: timedelta


class FleetState:
    """Merged views.

    Parameters
    ----------
    own : Ledger
        This instance's words.
    """

    def __init__(self, own: Ledger, roster: Roster) -> None:
        self.own = own
        self.roster = roster

    def loads(self, now: timedelta) -> tuple[PeerLoad, ...]:
        """Return the works of the living peers."""
        return tuple(load_of(member, now) for member in self.roster.alive())

    def load(self, instance: InstanceId, now: timedelta) -> PeerLoad | None:
        """Return the works of a peer, None if it isn't living."""
        member = self.roster.members.get(instance)
        if member is None or not member.alive:
            return None
        return load_of(member, now)

    def work(
        self, instance: InstanceId, number: int, now: timedelta
    ) -> HeardWork | None:
        """Return a work of a living peer, None if it isn't known to run."""
        member = self.roster.members.get(instance)
        if member is None or not member.alive:
            return None
        entry = member.ledger.standing.get(LOAD.number, {}).get(number)
        if entry is None:
            return None
        return HeardWork(cast(WorkNote, entry.value), now - entry.born)

    def connectivity(self, instance: InstanceId) -> Connectivity | None:
        """Return what a living peer has published of its connectivity."""
        member = self.roster.members.get(instance)
        if member is None or not member.alive:
            return None
        value = member.ledger.value(CONNECTIVITY.number, CONNECTIVITY_KEY)
        return cast(Connectivity | None, value)

    def ledgers(self) -> Iterator[Ledger]:
        """Return the own words and those of all members, silent ones too."""
        yield self.own
        for member in self.roster.members.values():
            yield member.ledger

    def endpoint_word(self, endpoint: EndpointId) -> EndpointWord | None:
        """Return the newest word about an endpoint of the last seconds."""
        known = (each.value(ENDPOINTS.number, endpoint) for each in self.ledgers())
        words = [cast(EndpointWord, each) for each in known if each is not None]
        return newest(words) if words else None

    def doubts(self, now: timedelta) -> tuple[HeardDoubt, ...]:
        """Return what the living peers have ejected."""
        return tuple(
            HeardDoubt(
                EndpointId(endpoint),
                cast(Doubt, entry.value),
                member.identity.instance,
                member.identity.zone,
                now - entry.born,
            )
            for member in self.roster.alive()
            for endpoint, entry in sorted_entries(member.ledger, DOUBT.number)
        )


def load_of(member: Member, now: timedelta) -> PeerLoad:
    """Return the works of a member."""
    works = (
        HeardWork(cast(WorkNote, entry.value), now - entry.born)
        for entry in member.ledger.of(LOAD.number).values()
    )
    return PeerLoad(member.identity.instance, member.identity.zone, tuple(works))


def sorted_entries(ledger: Ledger, kind: int) -> list[tuple[str, Entry]]:
    """Return a ledger's entries with keys that are texts, by key."""
    found = ledger.of(kind)
    texts = [(key, entry) for key, entry in found.items() if isinstance(key, str)]
    return sorted(texts, key=lambda pair: pair[0])

"""Which instances are heard of, from the ages of their feeds."""

from dataclasses import dataclass

from ..ids import AvailabilityZoneId, InstanceId, Revision
from ..kernel.messages.peers import Member, MembersChanged, MemberState, Scope
from .errors import InvalidPeerMessageError
from .feeds import Feed, FeedStore
from .kinds.instances import InstanceState, InstanceStateKind
from .partners import Contact

SUSPECT_AFTER_S = 8.0
"""A live instance gives a sign of life each round, which is known all over a zone of
55 within 4 s. Taking one for suspect makes others take over its endpoints, so that
a bound too near to this would have them go to and fro."""
SILENT_ZONE_AFTER_S = 15.0
STATE_KIND = InstanceStateKind()


@dataclass(slots=True)
class MembersView:
    """Compares the members with those told last.

    Attributes
    ----------
    began_s : float
        Before a zone has had time to be heard of it is not called silent.
    """

    store: FeedStore
    began_s: float
    told: MembersChanged | None = None

    def changed(
        self, contacts: dict[InstanceId, Contact], now_s: float
    ) -> MembersChanged | None:
        """Return the members if they differ from those told last."""
        current = MembersChanged(
            self.members(contacts, now_s), self.silent_zones(contacts, now_s)
        )
        if current == self.told:
            return None
        self.told = current
        return current

    def members(
        self, contacts: dict[InstanceId, Contact], now_s: float
    ) -> tuple[Member, ...]:
        """Return the instances of the own zone, heard of or only listed."""
        zone = self.store.availability_zone
        found = {
            feed.name.owner: _heard(feed, contacts.get(feed.name.owner), now_s)
            for feed in self._zone_feeds()
        }
        found[self.store.own[Scope.ZONE].name.owner] = _heard(
            self.store.own[Scope.ZONE], None, now_s
        )
        for contact in contacts.values():
            if contact.availability_zone == zone and contact.instance not in found:
                found[contact.instance] = _only_listed(contact)
        return tuple(sorted(found.values(), key=_name_of))

    def live_names(self, now_s: float) -> list[InstanceId]:
        """Return the instances of the own zone that are not suspect."""
        return [
            feed.name.owner
            for feed in self._zone_feeds()
            if now_s - feed.written_s <= SUSPECT_AFTER_S
        ]

    def silent_zones(
        self, contacts: dict[InstanceId, Contact], now_s: float
    ) -> tuple[AvailabilityZoneId, ...]:
        """Return the other zones of which nothing has been heard for a while.

        Silence may mean a cut as well as a loss: whoever steps in for such a zone
        must do only what does no harm when the zone is alive.
        """
        newest: dict[AvailabilityZoneId, float] = {}
        for contact in contacts.values():
            newest.setdefault(contact.availability_zone, self.began_s)
        for feed in self.store.visible((Scope.FLEET,)):
            zone = feed.name.availability_zone
            newest[zone] = max(newest.get(zone, self.began_s), feed.written_s)
        newest.pop(self.store.availability_zone, None)
        return tuple(
            sorted(
                zone
                for zone, written_s in newest.items()
                if now_s - written_s > SILENT_ZONE_AFTER_S
            )
        )

    def _zone_feeds(self) -> list[Feed]:
        return [feed for feed in self.store.visible((Scope.ZONE,)) if feed.version]


def _heard(feed: Feed, contact: Contact | None, now_s: float) -> Member:
    state = _state_of(feed)
    life = MemberState.LIVE
    if state is not None and state.draining:
        life = MemberState.DRAINING
    if now_s - feed.written_s > SUSPECT_AFTER_S:
        life = MemberState.SUSPECT
    address = contact.address if contact is not None else ""
    return Member(
        feed.name.owner,
        feed.name.incarnation,
        feed.name.availability_zone,
        address if state is None else state.peer_address,
        life,
        Revision(0) if state is None else state.revision,
    )


def _state_of(feed: Feed) -> InstanceState | None:
    entry = feed.entries.get((InstanceStateKind.number, ""))
    if entry is None:
        return None
    try:
        return STATE_KIND.decode(entry.value)
    except InvalidPeerMessageError:
        return None


def _only_listed(contact: Contact) -> Member:
    return Member(
        contact.instance,
        contact.incarnation,
        contact.availability_zone,
        contact.address,
        MemberState.SUSPECT,
        Revision(0),
    )


def _name_of(member: Member) -> InstanceId:
    return member.instance

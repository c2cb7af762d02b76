"""Whom to exchange with."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from ..ids import AvailabilityZoneId, Incarnation, InstanceId
from ..kernel.messages.fleet import EntryInstance
from ..kernel.rendezvous import ranked
from .frames import Sender

ACTIVE_PARTNERS = 6
"""Partners within the availability zone that rounds draw from. A random graph of
this degree is connected but for odds far below that of a crash."""
ROTATE_AFTER_S = 20.0
"""One partner is exchanged for another so often, so that no unlucky choice lasts."""
ZONE_LINKS = 2
"""Instances of an availability zone that keep contact with each other zone."""
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
"""A peer that does not answer is tried again after growing pauses, for ever: its
silence does not tell whether it is gone, and it may come back at any moment."""


@dataclass(slots=True)
class Contact:
    """An instance that can be called.

    Attributes
    ----------
    listed : bool
        The platform's list had it the last time.
    silent_from_s : float or None
        First unanswered exchange since the last answered one.
    """

    instance: InstanceId
    availability_zone: AvailabilityZoneId
    address: str
    incarnation: Incarnation
    listed: bool = False
    failures: int = 0
    try_after_s: float = 0.0
    silent_from_s: float | None = None
    waiting: bool = field(default=False)


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """What the links of an availability zone are worked out from."""

    candidates: tuple[InstanceId, ...]
    zones: tuple[AvailabilityZoneId, ...]


class Partners:
    """All contacts, and the choice among them.

    Parameters
    ----------
    instance, availability_zone
        Who this instance is.
    random : random.Random
    """

    def __init__(
        self,
        instance: InstanceId,
        availability_zone: AvailabilityZoneId,
        random: Random,
    ) -> None:
        self.instance = instance
        self.availability_zone = availability_zone
        self.random = random
        self.contacts: dict[InstanceId, Contact] = {}
        self.active: list[InstanceId] = []
        self.rotate_s = 0.0
        self.link_plan: LinkPlan | None = None
        self.link_numbers: dict[AvailabilityZoneId, int] = {}

    def meet(self, listed: Iterable[EntryInstance]) -> None:
        """Take over the platform's list of instances.

        A contact that is no longer listed stays while it answers: the list lags
        behind, and an instance that is alive has news.
        """
        names = set()
        for entry in listed:
            names.add(entry.instance)
            if entry.instance != self.instance and entry.peer_address:
                self._know(
                    entry.instance,
                    entry.availability_zone,
                    entry.peer_address,
                    entry.incarnation,
                ).listed = True
        for contact in list(self.contacts.values()):
            if contact.instance not in names:
                contact.listed = False
                if contact.failures:
                    del self.contacts[contact.instance]

    def met(self, sender: Sender) -> Contact:
        """Take over what an instance says of itself in an exchange."""
        return self._know(
            sender.instance,
            sender.availability_zone,
            sender.peer_address,
            sender.incarnation,
        )

    def _know(
        self,
        instance: InstanceId,
        zone: AvailabilityZoneId,
        address: str,
        incarnation: Incarnation,
    ) -> Contact:
        known = self.contacts.get(instance)
        if known is None:
            known = Contact(instance, zone, address, incarnation)
            self.contacts[instance] = known
        elif incarnation > known.incarnation:
            known.incarnation = incarnation
            known.availability_zone = zone
            known.address = address
            known.failures = 0
            known.try_after_s = 0.0
        return known

    def answered(self, contact: Contact) -> None:
        """Note that a contact has answered."""
        contact.waiting = False
        contact.failures = 0
        contact.silent_from_s = None
        contact.try_after_s = 0.0

    def failed(self, contact: Contact, now_s: float) -> None:
        """Note that a contact has not answered."""
        contact.waiting = False
        if contact.silent_from_s is None:
            contact.silent_from_s = now_s
        pause = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**contact.failures)
        contact.failures = min(contact.failures + 1, 8)
        contact.try_after_s = now_s + pause * self.random.uniform(0.75, 1.25)
        if not contact.listed:
            self.contacts.pop(contact.instance, None)

    def for_round(self, fan_out: int, now_s: float) -> list[Contact]:
        """Return the contacts of the own zone to exchange with now."""
        self._renew_active(now_s)
        ready = [
            contact
            for name in self.active
            if _ready(contact := self.contacts[name], now_s)
        ]
        return self.random.sample(ready, min(fan_out, len(ready)))

    def _renew_active(self, now_s: float) -> None:
        """Keep a few partners, replace silent ones and rotate slowly."""
        neighbours = {
            contact.instance
            for contact in self.contacts.values()
            if contact.availability_zone == self.availability_zone
        }
        self.active = [name for name in self.active if name in neighbours]
        spare = [name for name in neighbours if name not in self.active]
        if now_s >= self.rotate_s and spare and len(self.active) >= ACTIVE_PARTNERS:
            self.rotate_s = now_s + ROTATE_AFTER_S
            self.active.pop(self.random.randrange(len(self.active)))
        answering = [name for name in spare if not self.contacts[name].failures]
        # A silent partner keeps a place only while nobody else wants it.
        if answering:
            silent = [name for name in self.active if self.contacts[name].failures]
            for name in silent[: len(answering)]:
                self.active.remove(name)
        self.random.shuffle(answering)
        for name in answering + [each for each in spare if each not in answering]:
            if len(self.active) >= ACTIVE_PARTNERS:
                break
            self.active.append(name)

    def for_links(
        self, own_zone_live: Iterable[InstanceId], now_s: float
    ) -> list[Contact]:
        """Return the contacts in other zones to exchange with now.

        Each zone pair is linked by a few instances on either side, picked by
        rendezvous hashing; the link's far end is the best ranked that answers.

        Parameters
        ----------
        own_zone_live : iterable of InstanceId
            Instances of the own zone that take part, this one included.
        """
        far = self._far_contacts()
        candidates = tuple(sorted({*own_zone_live, self.instance}))
        plan = LinkPlan(candidates, tuple(sorted(far)))
        if plan != self.link_plan:
            self.link_plan = plan
            self.link_numbers = _links_of(self.instance, self.availability_zone, plan)
        chosen = []
        for zone, number in self.link_numbers.items():
            subject = f"link end {number} {self.availability_zone}"
            for name in ranked(subject, far[zone]):
                contact = self.contacts[name]
                if contact.waiting:
                    break
                if _ready(contact, now_s):
                    chosen.append(contact)
                    break
        return chosen

    def _far_contacts(self) -> dict[AvailabilityZoneId, list[InstanceId]]:
        far: dict[AvailabilityZoneId, list[InstanceId]] = {}
        for contact in self.contacts.values():
            if contact.availability_zone != self.availability_zone:
                far.setdefault(contact.availability_zone, []).append(contact.instance)
        return far


def _links_of(
    instance: InstanceId, own_zone: AvailabilityZoneId, plan: LinkPlan
) -> dict[AvailabilityZoneId, int]:
    """Return the zones that an instance links to, with the link's number.

    An instance that links to one zone is passed over for the others as long as
    there are enough: each link costs as much as all else that an instance says.
    """
    numbers = {}
    taken: set[InstanceId] = set()
    for zone in plan.zones:
        free = [name for name in plan.candidates if name not in taken]
        if len(free) < ZONE_LINKS:
            taken.clear()
            free = list(plan.candidates)
        relays = ranked(f"link {own_zone} {zone}", free)[:ZONE_LINKS]
        taken.update(relays)
        if instance in relays:
            numbers[zone] = relays.index(instance)
    return numbers


def _ready(contact: Contact, now_s: float) -> bool:
    return not contact.waiting and contact.try_after_s <= now_s

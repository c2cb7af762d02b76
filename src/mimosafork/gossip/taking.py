"""Taking in what a peer tells: entries, its own and those that it passes on."""

from datetime import timedelta

from .circle import Circle
from .effects import Effect
from .kinds.base import KINDS
from .ledger import Entry
from .links import Link, News
from .members import Member
from .reading import Told
from .reports import Reports


class Intake:
    """Takes in entries, passes on what is new and says what has changed."""

    def __init__(self, circle: Circle, reports: Reports) -> None:
        self.circle = circle
        self.roster = circle.roster
        self.reports = reports

    def take(
        self, told: list[Told], sender: Member, link: Link, now: timedelta
    ) -> list[Effect]:
        """Take in the entries of one datagram that came on a link."""
        if not told:
            return []
        effects: list[Effect] = []
        self.reports.begin()
        sender_tag = sender.identity.tag
        for each in told:
            origin = sender
            if each.origin != sender_tag:
                found = self.origin_of(each.origin, link)
                if found is None:
                    continue
                origin = found
                effects += self.hear_through(origin, sender, each.entry, now)
            if origin.alive or KINDS[each.slot.kind].outlives_silence:
                effects += self.take_one(each, origin, link, now)
        effects += self.reports.end()
        return effects

    def take_one(
        self, told: Told, origin: Member, link: Link, now: timedelta
    ) -> list[Effect]:
        """Take in an entry of a known origin that came on a link."""
        slot, entry, name = told.slot, told.entry, origin.identity.instance
        accepted = origin.ledger.accept(slot, entry)
        if link.pending and origin.ledger.entries[slot].sequence == entry.sequence:
            link.pending.pop(News(name, slot), None)
        if not accepted:
            return []
        effects = self.reports.accepted(origin, slot, entry)
        if self.circle.relaying:
            kind = KINDS[slot.kind]
            if kind.relayed:
                due = now + kind.relay_after
                self.circle.spread(News(name, slot), due, link.name)
        return effects

    def origin_of(self, tag: int, link: Link) -> Member | None:
        """Find an entry's origin; an unknown one's name is asked for."""
        if tag == self.circle.tag or tag in self.roster.replaced:
            return None
        origin = self.roster.member_of(tag)
        if origin is None:
            link.wants_names = link.wants_all = True
        return origin

    def hear_through(
        self, origin: Member, sender: Member, entry: Entry, now: timedelta
    ) -> list[Effect]:
        """Note a sign of life that came through another instance.

        It is as old as the word: instances that have not yet noticed that the origin
        is gone go on telling its words, and would wake it for each other for good.
        """
        if now - entry.born > self.circle.silence_limit:
            return []
        effects = self.roster.hear(origin, entry.born)
        if effects:
            self.circle.choose_partners(now)
            self.circle.link_of(sender).wants_all = True
        return effects

"""Taking in what a peer tells: entries, its own and those that it passes on."""

from datetime import timedelta

from .circle import Circle
from .effects import Effect
from .kinds.base import kind_of
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

    def take(self, told: list[Told], sender: Member, now: timedelta) -> list[Effect]:
        """Take in the entries of one datagram."""
        effects: list[Effect] = []
        self.reports.begin()
        link = self.circle.link_of(sender)
        for each in told:
            origin = self.origin_of(each.origin, link)
            if origin is None:
                continue
            effects += self.hear_through(origin, sender, each.entry, now)
            if origin.alive or kind_of(each.slot.kind).outlives_silence:
                effects += self.take_one(each, origin, sender, now)
        effects += self.reports.end()
        return effects

    def take_one(
        self, told: Told, origin: Member, sender: Member, now: timedelta
    ) -> list[Effect]:
        """Take in an entry of a known origin."""
        slot, entry = told.slot, told.entry
        news = News(origin.identity.instance, slot)
        accepted = origin.ledger.accept(slot, entry)
        if origin.ledger.entries[slot].sequence == entry.sequence:
            self.circle.link_of(sender).pending.pop(news, None)
        if not accepted:
            return []
        effects = self.reports.accepted(origin, slot, entry)
        if self.circle.relaying and kind_of(slot.kind).relayed:
            due = now + kind_of(slot.kind).relay_after
            self.circle.spread(news, due, sender.identity.instance)
        return effects

    def origin_of(self, tag: int, link: Link) -> Member | None:
        """Find an entry's origin; an unknown one's name is asked for."""
        if tag == self.circle.me.tag or tag in self.roster.replaced:
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
        if origin is sender or now - entry.born > self.circle.silence_limit:
            return []
        effects = self.roster.hear(origin, entry.born)
        if effects:
            self.circle.choose_partners(now)
            self.circle.link_of(sender).wants_all = True
        return effects

"""Taking in whole datagrams: who speaks, and what it confirms and wishes."""

from datetime import timedelta

from .calling import Caller
from .circle import HURRY, Circle
from .counters import Counters
from .effects import Effect
from .errors import BadDatagramError
from .links import Link
from .members import TAG_MASK, Address, Member
from .reading import read_entries
from .taking import Intake
from .wire import Datagram, Flag
from .wire import from_wire as identity_of
from .zone_silence import ZoneSilence

CONFIRM_AFTER = timedelta(milliseconds=700)
"""Well before an unconfirmed datagram counts as lost; mostly a word goes back sooner
and confirms it."""

FRESH_GAPS = 0b11
"""Missing datagrams that are told at once: those before the latest two. Told once only,
a gap stayed unknown for 700 ms where the datagram that told it was lost too. With 2 in
100 lost, in 13 of 30 fleets of 40 some peer lacked a work 200 ms after the last of 20,
and in 5 of them so, with no more datagrams (30 seeds of the fleet in
`test_a_work_is_told_in_a_large_fleet_to_those_who_share_its_engines`)."""


CHOSEN = int(Flag.PARTNER)
"""As a number: each look into a set of flags takes three calls of functions, and a
datagram of a small fleet has this flag alone."""


class Receiver:
    """Takes in datagrams of this fleet."""

    def __init__(
        self, circle: Circle, caller: Caller, intake: Intake, counters: Counters
    ) -> None:
        self.circle = circle
        self.roster = circle.roster
        self.caller = caller
        self.intake = intake
        self.counters = counters
        self.zones = ZoneSilence(circle.me.zone)

    def take(
        self, datagram: Datagram, address: Address, now: timedelta
    ) -> list[Effect]:
        """Take in a datagram.

        Raises
        ------
        BadDatagramError, msgspec.ValidationError
            If it breaks the format; none of its entries is taken then.
        """
        circle = self.circle
        if datagram.sender == circle.tag:
            return []
        told = read_entries(datagram, now)
        effects: list[Effect] = []
        if datagram.name is not None or datagram.names:
            effects = self.learn_names(datagram, now)
        member = self.roster.member_of(datagram.sender)
        if member is None:
            self.meet_stranger(datagram, address)
            return effects
        link = circle.link_of(member)
        if not self.is_new(datagram, member, link):
            self.counters.repeated += 1
            return effects
        if member.identity.address != address:
            self.roster.moved(member, address)
        effects += circle.revive(member, now)
        self.zones.received(member.identity.zone, now)
        self.take_head(datagram, link, now)
        if not told:
            circle.beat_along(now)
        elif not circle.is_partner(link.name, now):
            # No heartbeat goes to one that is told of some works only; it would take
            # its words for lost, and send them again and again.
            link.hurry(now + CONFIRM_AFTER)
        if link.due is not None:
            circle.awake[link.name] = link
        return effects + self.intake.take(told, member, link, now)

    def is_new(self, datagram: Datagram, member: Member, link: Link) -> bool:
        """Note a datagram's number; return whether it came for the first time."""
        receipts = link.receipts
        if not member.alive:
            # It may have forgotten this instance and count anew: its low numbers
            # would be taken for repeated datagrams for good.
            receipts.highest = receipts.missing = 0
        return not datagram.number or receipts.take(datagram.number)

    def learn_names(self, datagram: Datagram, now: timedelta) -> list[Effect]:
        """Take in the sender's name, and those of others that it brings."""
        effects: list[Effect] = []
        if datagram.name is not None:
            if datagram.name.boot & TAG_MASK != datagram.sender:
                raise BadDatagramError("the sender's name has another tag")
            effects += self.circle.learn(identity_of(datagram.name), now, direct=True)
        for name in datagram.names:
            effects += self.circle.learn(identity_of(name), now)
        return effects

    def meet_stranger(self, datagram: Datagram, address: Address) -> None:
        """Ask an unknown sender for its name, but not one of a life that is over.

        One that has said its name and was not taken in is not asked again: it would
        say it again, and both would go on as fast as the network allows.
        """
        if datagram.sender not in self.roster.replaced and datagram.name is None:
            self.caller.meet(address)

    def take_head(self, datagram: Datagram, link: Link, now: timedelta) -> None:
        """Take in confirmations and wishes."""
        timing = self.circle.timing
        link.confirmed(datagram.heard, datagram.missing, now, timing)
        if datagram.flags & CHOSEN:
            if not self.circle.is_partner(link.name, now):
                self.circle.send_all(link, now)
            self.circle.chosen_by(link, now + timing.suspect_after)
        if datagram.flags & ~CHOSEN:
            self.take_wishes(Flag(datagram.flags), link, now)
        if link.receipts.missing & FRESH_GAPS:
            # A gap is told at once: the sender repeats what was lost within a few
            # times ten milliseconds, where a heartbeat would take half a second.
            link.hurry(now + HURRY)

    def take_wishes(self, flags: Flag, link: Link, now: timedelta) -> None:
        """Take in what else a datagram says; most say nothing more."""
        if Flag.WANT_NAME in flags:
            link.named = False
            link.hurry(now)
        if Flag.WANT_NAMES in flags:
            link.names_due = True
        if Flag.ALL in flags:
            link.wants_all = False
        if Flag.WANT_ALL in flags and self.may_send_all(link, now):
            self.circle.send_all(link, now)

    def may_send_all(self, link: Link, now: timedelta) -> bool:
        """Whether the last time was long enough ago for its wish to be a new one."""
        heartbeat = self.circle.timing.heartbeat
        return link.all_since is None or now - link.all_since > heartbeat

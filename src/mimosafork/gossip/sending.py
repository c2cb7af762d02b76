"""Sending members what is due to them."""

from datetime import timedelta

from ..ids import InstanceId
from .calling import Caller
from .circle import Circle
from .links import Link
from .members import Member
from .outbox import Outbox, Outgoing
from .wire import Flag

TOGETHER = 0.8
"""Share of a heartbeat's time after which it goes along with another one, or with one
that comes."""
RETRIES = 5
"""Times in a heartbeat that news is tried which the budget kept back."""


class Sender:
    """Serves the links of a circle."""

    def __init__(self, circle: Circle, outbox: Outbox, caller: Caller) -> None:
        self.circle = circle
        self.timing = circle.timing
        self.outbox = outbox
        self.caller = caller

    def serve_all(self, now: timedelta) -> list[Outgoing]:
        """Build what is due to all members."""
        datagrams: list[Outgoing] = []
        # The one that was served the longest time ago goes first, so that short bytes
        # go round.
        for link in sorted(self.circle.alarm.take(now), key=serving_order):
            datagrams += self.serve(link.name, link, now)
            link.check_at(self.next_check(link.name, link, now))
            self.circle.rest(link)
        self.circle.alarm.at = self.next_due(now)
        return datagrams

    def next_check(self, name: InstanceId, link: Link, now: timedelta) -> timedelta:
        """Return when something but news may be due on a link that was served just now.

        What it buys stands at `Alarm`.
        """
        member = self.circle.roster.members[name]
        sent = link.sent if link.sent is not None else now
        if not member.alive:
            return sent + self.timing.probe_gap(self.is_calm(member, now))
        check = timedelta.max
        if name in self.circle.partners or link.chosen_until > now:
            check = sent + self.circle.heartbeat * TOGETHER
        for oldest in link.flights.values():
            return min(check, oldest.sent + self.timing.resend_after)
        return check

    def serve(self, name: InstanceId, link: Link, now: timedelta) -> list[Outgoing]:
        """Build what is due to one member."""
        member = self.circle.roster.members[name]
        link.overdue(now, self.timing)
        if not self.is_due(name, member, link, now):
            if link.due is not None and link.due <= now:
                # The budget keeps it back.
                link.put_off(now + self.timing.heartbeat / RETRIES)
            return []
        address = member.identity.address
        if self.circle.relaying and not self.circle.is_partner(name, now):
            link.drop_relayed_news()
        link.due = None
        datagrams = self.outbox.flush(address, link, self.flags(name, link), now)
        link.wants_names = False
        if link.pending:
            link.put_off(now + self.timing.heartbeat / RETRIES)
        else:
            link.sends_all = False
        if link.names_due and member.alive and self.outbox.budget.has_spare:
            link.names_due = False
            datagrams += self.caller.answer(name, address)
        return datagrams

    def is_due(
        self, name: InstanceId, member: Member, link: Link, now: timedelta
    ) -> bool:
        """Whether a member is to be sent something now."""
        if link.sent is None:
            return True
        if not member.alive:
            gap = self.timing.probe_gap(self.is_calm(member, now))
            return now - link.sent >= gap
        if link.due is not None and link.due <= now and self.outbox.can_send(link):
            return True
        # Heartbeats to all partners go together, so that an idle instance wakes up
        # for one of them only.
        idle = self.circle.heartbeat * TOGETHER
        return now - link.sent >= idle and self.circle.is_partner(name, now)

    def is_calm(self, member: Member, now: timedelta) -> bool:
        """Whether a member has been silent for long."""
        return now - member.heard > self.timing.suspect_after

    def flags(self, name: InstanceId, link: Link) -> Flag:
        """Return what else is to be said to a member."""
        flags = Flag.PARTNER if name in self.circle.partners else Flag(0)
        if link.wants_names:
            flags |= Flag.WANT_NAMES
        if link.wants_all:
            flags |= Flag.WANT_ALL
        if link.sends_all:
            flags |= Flag.ALL
        return flags

    def next_due(self, now: timedelta) -> timedelta:
        """Return when a link is to be served next: at its news or its heartbeat."""
        heartbeat = self.circle.heartbeat
        beat = now + heartbeat
        if self.circle.partners:
            sent = self.circle.sent_first()
            if sent is None:
                return now
            beat = min(beat, sent + heartbeat)
        self.circle.along_from = beat - heartbeat * (1 - TOGETHER)
        return max(min(self.circle.alarm.first_due(), beat), now)

    def heartbeat(self) -> timedelta:
        """Return how often an idle partner is sent a datagram."""
        return self.circle.heartbeat


def serving_order(link: Link) -> tuple[timedelta, int]:
    """Return the sort key of a link that is served now."""
    return link.sent or timedelta.min, link.order

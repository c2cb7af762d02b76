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
        looked_at = [pair for pair in self.circle.awake.items() if pair[1].look <= now]
        for name, link in sorted(looked_at, key=last_sent):
            datagrams += self.serve(name, link, now)
            link.look = self.next_look(name, link, now)
        self.circle.rest(now)
        self.circle.alarm.at = self.next_due(now)
        return datagrams

    def next_look(self, name: InstanceId, link: Link, now: timedelta) -> timedelta:
        """Return when something may be due on a link that was served just now.

        News that comes brings the instant forward. What it buys stands at `Alarm`.
        """
        member = self.circle.roster.members[name]
        sent = link.sent if link.sent is not None else now
        if not member.alive:
            return sent + self.timing.probe_gap(self.is_calm(member, now))
        look = timedelta.max if link.due is None else link.due
        if self.circle.is_partner(name, now):
            look = min(look, sent + self.heartbeat() * TOGETHER)
        oldest = next(iter(link.flights.values()), None)
        if oldest is not None:
            look = min(look, oldest.sent + self.timing.resend_after)
        return look

    def serve(self, name: InstanceId, link: Link, now: timedelta) -> list[Outgoing]:
        """Build what is due to one member."""
        member = self.circle.roster.members[name]
        link.overdue(now, self.timing)
        if not self.is_due(name, member, link, now):
            return []
        address = member.identity.address
        if self.circle.relaying and not self.circle.is_partner(name, now):
            link.drop_relayed_news()
        link.due = None
        datagrams = self.outbox.flush(address, link, self.flags(name, link), now)
        link.wants_names = False
        if link.pending:
            link.due = now + self.timing.heartbeat / RETRIES
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
        if link.due is not None and link.due <= now:
            if self.outbox.can_send(link):
                return True
            link.due = now + self.timing.heartbeat / RETRIES
        # Heartbeats to all partners go together, so that an idle instance wakes up
        # for one of them only.
        idle = self.heartbeat() * TOGETHER
        return self.circle.is_partner(name, now) and now - link.sent >= idle

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
        heartbeat = self.heartbeat()
        due = beat = now + heartbeat
        for name, link in self.circle.awake.items():
            if link.sent is None:
                return now
            if link.due is not None:
                due = min(due, link.due)
            if name in self.circle.partners:
                beat = min(beat, link.sent + heartbeat)
        self.circle.along_from = beat - heartbeat * (1 - TOGETHER)
        return max(min(due, beat), now)

    def heartbeat(self) -> timedelta:
        """Return how often an idle partner is sent a datagram."""
        return self.timing.heartbeat_among(len(self.circle.partners))


def last_sent(pair: tuple[InstanceId, Link]) -> timedelta:
    """Return when a link was served, so that short bytes go round."""
    return pair[1].sent or timedelta.min

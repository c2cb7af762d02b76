"""Whom an instance tells what: its links, its partners and the news due to them."""

from collections.abc import Iterable
from datetime import timedelta

from ..ids import InstanceId
from .effects import Effect, PeerDown
from .kinds.base import kind_of
from .ledger import Ledger
from .links import Alarm, Link, News
from .members import Identity, Member
from .outbox import Source
from .partners import chosen_partners
from .roster import Roster
from .timing import Timing

HURRY = timedelta(milliseconds=25)


class Circle:
    """A link to each member, and who of them are partners.

    Parameters
    ----------
    me : Identity
        This life of this instance.
    own : Ledger
        Its words.

    Attributes
    ----------
    awake : dict of InstanceId to Link
        The links on which something may be due: of new and of silent members, of
        partners, and those with news or unconfirmed datagrams. Nothing that is done for
        each tick, datagram or word goes through all of them.
    told : dict of InstanceId to Link
        The links to partners, and to those who chose this instance not long ago.
    oldest : Link or None
        Of the partners, the one that was sent a datagram the longest time ago.
    alarm : Alarm
        When something will be due on a link.
    along_from : timedelta
        From this instant on the own heartbeats go along with one that comes.
    heartbeat : timedelta
        How often an idle partner is sent a datagram.
    relaying : bool
        The fleet is too large for everyone to tell everyone.
    """

    def __init__(
        self, me: Identity, own: Ledger, roster: Roster, timing: Timing
    ) -> None:
        self.me = me
        self.tag = me.tag
        self.own = own
        self.roster = roster
        self.timing = timing
        self.links: dict[InstanceId, Link] = {}
        self.awake: dict[InstanceId, Link] = {}
        self.told: dict[InstanceId, Link] = {}
        self.learned = 0
        self.oldest: Link | None = None
        self.oldest_sent: timedelta | None = None
        self.alarm = Alarm()
        self.along_from = timedelta.max
        self.partners: frozenset[InstanceId] = frozenset()
        self.heartbeat = timing.heartbeat_among(0)
        self.relaying = False

    @property
    def silence_limit(self) -> timedelta:
        """Silence after which a peer is suspected."""
        timing = self.timing
        return timing.relayed_suspect_after if self.relaying else timing.suspect_after

    # Members

    def link_of(self, member: Member) -> Link:
        """Return the link to a member."""
        return self.links[member.identity.instance]

    def learn(
        self, identity: Identity, now: timedelta, direct: bool = False
    ) -> list[Effect]:
        """Take in that a life exists, from itself, another one or the store."""
        known = identity.instance in self.links
        effects = self.roster.learn(identity, now, direct)
        if effects or (not known and identity.instance in self.roster.members):
            if known:
                self.links[identity.instance].end()
            self.learned += 1
            link = Link(self.alarm, identity.instance, self.learned)
            self.links[identity.instance] = link
            link.check_at(timedelta.min)
            self.alarm.ring_by(now)
            self.wake(identity.instance)
            self.told.pop(identity.instance, None)
            self.partners -= {identity.instance}
            self.heartbeat = self.timing.heartbeat_among(len(self.partners))
            self.oldest = None
        return effects

    def revive(self, member: Member, now: timedelta) -> list[Effect]:
        """Note a sign of life of one that speaks itself."""
        if member.alive:
            member.heard = now
            return []
        effects = self.roster.hear(member, now)
        if effects:
            self.choose_partners(now)
            self.link_of(member).names_due = True
        return effects

    def review(self, now: timedelta) -> list[Effect]:
        """Suspect the silent, and drop those that were so for long."""
        limit = self.silence_limit
        if not self.roster.is_review_due(now, limit):
            return []
        effects = self.roster.review(now, limit)
        for effect in effects:
            if isinstance(effect, PeerDown):
                link = self.links[effect.identity.instance]
                link.reset()
                link.wants_all = True
                self.wake(effect.identity.instance)
        for name in self.roster.drop_silent(now):
            self.links.pop(name).end()
            self.awake.pop(name, None)
            self.told.pop(name, None)
        self.roster.reviewed(limit)
        if effects:
            self.choose_partners(now)
        return effects

    # Links that are awake

    def wake(self, name: InstanceId) -> None:
        """Look at a link from now on, at each tick."""
        self.awake[name] = self.links[name]

    def beat_along(self, now: timedelta) -> None:
        """Have the own heartbeats go along with one that came, if they are nearly due.

        So instances that hear each other come to send theirs together, and each wakes
        up for those of many at once; a datagram that comes alone costs several times
        one that comes with others. 48 idle processes took 2.3 to 3.1 ms of processor a
        second each in place of 5.8 and 6.8, and woke up 12 to 14 times in place of 42
        to 44, with as many datagrams (`python -m benchmarks.gossip_processes`).
        """
        if now >= self.along_from and not self.relaying:
            self.alarm.ring_by(now)

    def rest(self, link: Link) -> None:
        """Look no more at a link that was served, if nothing can be due on it."""
        if link.look == timedelta.max:
            self.awake.pop(link.name, None)

    def sent_first(self) -> timedelta | None:
        """Return when the partner was sent a datagram that waits longest for one.

        An instant of sending only grows, so that the partners are gone through only
        after that one was sent another, or others were chosen.
        """
        if self.oldest is None or self.oldest.sent != self.oldest_sent:
            self.oldest = min(
                (self.links[name] for name in self.partners),
                key=sent_or_never,
                default=None,
            )
            self.oldest_sent = None if self.oldest is None else self.oldest.sent
        return self.oldest_sent

    # Partners

    def choose_partners(self, now: timedelta) -> None:
        """Choose among the living; one that is new gets everything."""
        before = self.partners
        alive = {
            each.identity.instance: each.identity.zone for each in self.roster.alive()
        }
        self.relaying = len(alive) >= self.timing.mesh_size
        self.oldest = None
        self.partners = chosen_partners(
            self.me.instance,
            self.me.zone,
            alive,
            self.timing.mesh_size,
            self.timing.fan_out,
        )
        self.heartbeat = self.timing.heartbeat_among(len(self.partners))
        for name in sorted(self.partners - before):
            self.wake(name)
            self.told[name] = self.links[name]
            self.send_all(self.links[name], now)
        # With the number of partners the time of a heartbeat may have become shorter.
        for link in self.awake.values():
            link.check_at(timedelta.min)
        self.alarm.ring_by(now)

    def is_partner(self, name: InstanceId, now: timedelta) -> bool:
        """Whether a peer is told the news: chosen from here or from there."""
        return name in self.partners or self.links[name].chosen_until > now

    def chosen_by(self, link: Link, until: timedelta) -> None:
        """Note that a peer counts as having chosen this instance until an instant."""
        link.chosen_until = until
        self.told[link.name] = link

    # News

    def spread(
        self, news: News, due: timedelta, besides: InstanceId | None = None
    ) -> None:
        """Make news due to the partners."""
        members, partners = self.roster.members, self.partners
        past = []
        for name, link in self.told.items():
            if name not in partners and link.chosen_until <= due:
                past.append(name)
            elif name != besides and members[name].alive:
                link.add(news, due)
        for name in past:
            del self.told[name]

    def tell(self, news: News, due: timedelta, audience: Iterable[InstanceId]) -> None:
        """Make news due to some peers, partners or not."""
        for name in audience:
            member = self.roster.members.get(name)
            if member is not None and member.alive:
                self.wake(name)
                self.links[name].add(news, due)

    def send_all(self, link: Link, now: timedelta) -> None:
        """Make everything due to a peer, but for what is told to some alone."""
        link.sends_all = True
        link.all_since = now
        for slot in self.own.entries:
            if not self.relaying or kind_of(slot.kind).relayed:
                link.add(News(self.me.instance, slot), now + HURRY)
        link.hurry(now + HURRY)
        if not self.relaying:
            return
        for member in self.roster.alive():
            for slot in member.ledger.entries:
                if kind_of(slot.kind).relayed:
                    link.add(News(member.identity.instance, slot), now + HURRY)

    def source_of(self, origin: InstanceId) -> Source | None:
        """Find an origin's entries."""
        if origin == self.me.instance:
            return Source(self.tag, self.own)
        member = self.roster.members.get(origin)
        if member is None or not member.alive:
            # A silent origin's entries aren't passed on: a word that it has taken
            # back meanwhile would come to life again elsewhere.
            return None
        return Source(member.identity.tag, member.ledger)


def sent_or_never(link: Link) -> timedelta:
    """Return when a link was sent a datagram; one that never was comes first."""
    return timedelta.min if link.sent is None else link.sent

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
        partners, and those with news or unconfirmed datagrams. In a large fleet these
        are few, and nothing that is done for each tick, datagram or word goes through
        all members.
    alarm : Alarm
        When something will be due on a link.
    along_from : timedelta
        From this instant on the own heartbeats go along with one that comes.
    relaying : bool
        The fleet is too large for everyone to tell everyone.
    """

    def __init__(
        self, me: Identity, own: Ledger, roster: Roster, timing: Timing
    ) -> None:
        self.me = me
        self.own = own
        self.roster = roster
        self.timing = timing
        self.links: dict[InstanceId, Link] = {}
        self.awake: dict[InstanceId, Link] = {}
        self.alarm = Alarm()
        self.along_from = timedelta.max
        self.partners: frozenset[InstanceId] = frozenset()
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
            self.links[identity.instance] = Link(self.alarm)
            self.alarm.ring_by(now)
            self.wake(identity.instance)
            self.partners -= {identity.instance}
        return effects

    def revive(self, member: Member, now: timedelta) -> list[Effect]:
        """Note a sign of life of one that speaks itself."""
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
            del self.links[name]
            self.awake.pop(name, None)
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

    def rest(self, now: timedelta) -> None:
        """Look no more at links on which nothing can be due.

        Where everyone tells everyone, something always will be: a heartbeat.
        """
        if not self.relaying:
            return
        asleep = [
            name
            for name, link in self.awake.items()
            if link.is_quiet()
            and self.roster.members[name].alive
            and not self.is_partner(name, now)
        ]
        for name in asleep:
            del self.awake[name]

    # Partners

    def choose_partners(self, now: timedelta) -> None:
        """Choose among the living; one that is new gets everything."""
        before = self.partners
        alive = {
            each.identity.instance: each.identity.zone for each in self.roster.alive()
        }
        self.relaying = len(alive) >= self.timing.mesh_size
        self.partners = chosen_partners(
            self.me.instance,
            self.me.zone,
            alive,
            self.timing.mesh_size,
            self.timing.fan_out,
        )
        for name in sorted(self.partners - before):
            self.wake(name)
            self.send_all(self.links[name], now)
        # With the number of partners the time of a heartbeat may have become shorter.
        for link in self.awake.values():
            link.look = timedelta.min
        self.alarm.ring_by(now)

    def is_partner(self, name: InstanceId, now: timedelta) -> bool:
        """Whether a peer is told the news: chosen from here or from there."""
        return name in self.partners or self.links[name].chosen_until > now

    # News

    def spread(
        self, news: News, due: timedelta, besides: InstanceId | None = None
    ) -> None:
        """Make news due to the partners."""
        for name, link in self.awake.items():
            told = name != besides and self.is_partner(name, due)
            if told and self.roster.members[name].alive:
                link.add(news, due)

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
            return Source(self.me.tag, self.own)
        member = self.roster.members.get(origin)
        if member is None or not member.alive:
            # A silent origin's entries aren't passed on: a word that it has taken
            # back meanwhile would come to life again elsewhere.
            return None
        return Source(member.identity.tag, member.ledger)

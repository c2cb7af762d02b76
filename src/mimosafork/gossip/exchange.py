"""The exchange itself: datagrams and instants in, datagrams and effects out.

It has no sockets, tasks or clock of its own, so that a test can lose, double and
reorder datagrams among many exchanges in no time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import msgspec

from ..ids import InstanceId, ServiceId
from .effects import DatagramRefused, Effect, PeerDown
from .errors import BadDatagramError
from .ids import IdReader
from .kinds import pulse
from .kinds.base import Key, Kind, kind_of
from .kinds.spending import SPENDING, Spent
from .ledger import Entry, Ledger, Slot
from .links import Link, News
from .members import TAG_MASK, Address, Identity, Member
from .outbox import NAMES_A_DATAGRAM, Outbox, Outgoing, Source
from .partners import chosen_partners
from .reports import Reports
from .roster import Roster
from .state import FleetState
from .timing import Timing
from .window import Meter, SpendingWindow
from .wire import KIND_BITS, KIND_MASK, Datagram, Flag, WireEntry, decode, fleet_tag
from .wire import from_wire as identity_of

HURRY = timedelta(milliseconds=25)
PURGE_EVERY = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
STRANGERS_KEPT = 64
TOGETHER = 0.8
"""Share of a heartbeat's time after which it goes along with another one."""
NAMES = 3 * NAMES_A_DATAGRAM
"""Names for one that asks or is new; in a large fleet it asks again."""


@dataclass(slots=True)
class Counters:
    """What has passed, since the start.

    Attributes
    ----------
    refused : int
        Datagrams that were cut, foreign or broke the format.
    stale : int
        Datagrams that may have waited while this process was suspended.
    repeated : int
        Datagrams that had come before, or too late.
    """

    received: int = 0
    refused: int = 0
    stale: int = 0
    repeated: int = 0
    sent: int = 0
    sent_bytes: int = 0


@dataclass(slots=True)
class Ticked:
    """What a tick brings."""

    datagrams: list[Outgoing] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)


class Exchange:
    """One instance's part in the gossip.

    Parameters
    ----------
    me : Identity
        This life of this instance.
    fleet : str
        Datagrams of other fleets are refused.
    seeds : iterable of Address
        Where instances may listen that aren't known by name.
    random : Random
        Picks whom names are told.
    window : timedelta
        Span over which spending is summed.

    Attributes
    ----------
    relaying : bool
        The fleet is too large for everyone to tell everyone.
    """

    def __init__(
        self,
        me: Identity,
        fleet: str,
        random: Random,
        seeds: Iterable[Address] = (),
        timing: Timing | None = None,
        window: timedelta = timedelta(seconds=10),
    ) -> None:
        self.me = me
        self.fleet = fleet_tag(fleet)
        self.random = random
        self.timing = timing or Timing()
        self.seeds = tuple(each for each in seeds if each != me.address)
        self.own = Ledger()
        self.roster = Roster(me, self.timing)
        self.links: dict[InstanceId, Link] = {}
        self.outbox = Outbox(me, self.fleet, self.timing, self.source_of)
        self.spending = SpendingWindow(window)
        self.state = FleetState(self.own, self.roster, self.spending)
        self.reports = Reports(self.state)
        self.counters = Counters()
        self.strangers: dict[Address, None] = {}
        self.partners: frozenset[InstanceId] = frozenset()
        self.relaying = False
        self.ticked: timedelta | None = None
        self.seeds_due = self.purge_due = self.names_due = timedelta.min
        self.pulse_due = timedelta.min

    @property
    def silence_limit(self) -> timedelta:
        """Silence after which a peer is suspected."""
        timing = self.timing
        return timing.relayed_suspect_after if self.relaying else timing.suspect_after

    # Own words

    def spend(self, service: ServiceId, spent: Spent, now: timedelta) -> None:
        """Publish the counters of this life for a service."""
        meter = Meter(self.me.boot, service)
        if meter not in self.spending.samples:
            self.spending.note(meter, now, Spent())
        self.spending.note(meter, now, spent)
        self.say(SPENDING, service, spent, now)

    def say(self, kind: Kind, key: Key, value: object | None, now: timedelta) -> None:
        """Publish a word, or take it back with None; what is said is not repeated."""
        slot = Slot(kind.number, key)
        if self.own.put(slot, value, now):
            self.spread(News(self.me.instance, slot), now + kind.coalesce)

    def spread(
        self, news: News, due: timedelta, besides: InstanceId | None = None
    ) -> None:
        """Make news due to the partners."""
        for name, link in self.links.items():
            member = self.roster.members[name]
            if name != besides and member.alive and self.is_partner(name, due):
                link.add(news, due)

    def is_partner(self, name: InstanceId, now: timedelta) -> bool:
        """Whether a peer is told the news: chosen from here or from there."""
        return name in self.partners or self.links[name].chosen_until > now

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

    # Receiving

    def datagram_received(
        self, data: bytes, address: Address, now: timedelta
    ) -> list[Effect]:
        """Take in a datagram; one that is bad is counted and passed over."""
        self.counters.received += 1
        if self.ticked is not None and now - self.ticked > self.timing.late:
            # After a suspension the socket holds datagrams of any age, and their
            # entries would count as fresh. None is confirmed, so what still holds
            # comes again.
            self.counters.stale += 1
            return []
        try:
            return self.take(decode(data, self.fleet), address, now)
        except (BadDatagramError, msgspec.ValidationError) as error:
            self.counters.refused += 1
            return [DatagramRefused(address, str(error))]

    def take(
        self, datagram: Datagram, address: Address, now: timedelta
    ) -> list[Effect]:
        """Take in a datagram of this fleet."""
        if datagram.sender == self.me.tag:
            return []
        entries = self.read_entries(datagram, now)
        effects = self.learn_names(datagram, now)
        member = self.roster.member_of(datagram.sender)
        if member is None:
            self.meet_stranger(datagram, address)
            return effects
        link = self.links[member.identity.instance]
        if not member.alive:
            # It may have forgotten this instance and count anew: its low numbers
            # would be taken for repeated datagrams for good.
            link.receipts.highest = link.receipts.missing = 0
        if datagram.number and not link.receipts.take(datagram.number):
            self.counters.repeated += 1
            return effects
        self.roster.moved(member, address)
        effects += self.revive(member, now)
        self.take_head(datagram, member, link, now)
        return effects + self.take_entries(entries, member, link, now)

    def learn_names(self, datagram: Datagram, now: timedelta) -> list[Effect]:
        """Take in the sender's name, and those of others that it brings."""
        effects: list[Effect] = []
        if datagram.name is not None:
            if datagram.name.boot & TAG_MASK != datagram.sender:
                raise BadDatagramError("the sender's name has another tag")
            effects += self.learn(identity_of(datagram.name), now, direct=True)
        for name in datagram.names:
            effects += self.learn(identity_of(name), now)
        return effects

    def learn(
        self, identity: Identity, now: timedelta, direct: bool = False
    ) -> list[Effect]:
        """Take in that a life exists, from itself, another one or the store."""
        known = identity.instance in self.links
        effects = self.roster.learn(identity, now, direct)
        if effects or (not known and identity.instance in self.roster.members):
            self.links[identity.instance] = Link()
            self.partners -= {identity.instance}
        return effects

    def meet_stranger(self, datagram: Datagram, address: Address) -> None:
        """Ask an unknown sender for its name, but not one of a life that is over.

        One that has said its name and was not taken in is not asked again: it would
        say it again, and both would go on as fast as the network allows.
        """
        if datagram.sender in self.roster.replaced or datagram.name is not None:
            return
        if len(self.strangers) < STRANGERS_KEPT:
            self.strangers[address] = None

    def revive(self, member: Member, now: timedelta) -> list[Effect]:
        """Note a sign of life of one that speaks itself."""
        effects = self.roster.hear(member, now)
        if effects:
            self.choose_partners(now)
            self.links[member.identity.instance].names_due = True
        return effects

    def send_all(self, link: Link, now: timedelta) -> None:
        """Make everything due to a peer."""
        link.sends_all = True
        link.all_since = now
        for slot in self.own.entries:
            link.add(News(self.me.instance, slot), now + HURRY)
        link.hurry(now + HURRY)
        if not self.relaying:
            return
        for member in self.roster.alive():
            for slot in member.ledger.entries:
                link.add(News(member.identity.instance, slot), now + HURRY)

    def take_head(
        self, datagram: Datagram, member: Member, link: Link, now: timedelta
    ) -> None:
        """Take in confirmations and wishes."""
        link.confirmed(datagram.heard, datagram.missing, now, self.timing)
        flags = Flag(datagram.flags)
        if Flag.PARTNER in flags:
            if not self.is_partner(member.identity.instance, now):
                self.send_all(link, now)
            link.chosen_until = now + self.timing.suspect_after
        if Flag.WANT_NAME in flags:
            link.named = False
            link.hurry(now)
        if Flag.WANT_NAMES in flags:
            link.names_due = True
        if Flag.ALL in flags:
            link.wants_all = False
        if Flag.WANT_ALL in flags and self.may_send_all(link, now):
            self.send_all(link, now)
        if link.receipts.missing & 1:
            # A gap is told at once: the sender repeats what was lost within a few
            # times ten milliseconds, where a heartbeat would take half a second.
            link.hurry(now + HURRY)

    def may_send_all(self, link: Link, now: timedelta) -> bool:
        """Whether the last time was long enough ago for its wish to be a new one."""
        return link.all_since is None or now - link.all_since > self.timing.heartbeat

    def read_entries(
        self, datagram: Datagram, now: timedelta
    ) -> list[tuple[int, Slot, Entry]]:
        """Read all entries before any is taken, so that a bad one spoils nothing."""
        ids = IdReader(datagram.ids)
        tags = [datagram.sender, *datagram.origins]
        return [read_entry(each, tags, ids, now) for each in datagram.entries]

    def take_entries(
        self,
        entries: list[tuple[int, Slot, Entry]],
        sender: Member,
        link: Link,
        now: timedelta,
    ) -> list[Effect]:
        """Take in entries, pass on what is new, and say what has changed."""
        effects: list[Effect] = []
        self.reports.begin()
        for tag, slot, entry in entries:
            origin = self.origin_of(tag, link)
            if origin is None:
                continue
            name = origin.identity.instance
            effects += self.hear_through(origin, sender, entry, now)
            if not origin.alive and not kind_of(slot.kind).outlives_silence:
                continue
            accepted = origin.ledger.accept(slot, entry)
            if origin.ledger.entries[slot].sequence == entry.sequence:
                link.pending.pop(News(name, slot), None)
            if not accepted:
                continue
            effects += self.reports.accepted(origin, slot, entry)
            if self.relaying:
                besides = sender.identity.instance
                self.spread(News(name, slot), now + HURRY, besides)
        return effects

    def origin_of(self, tag: int, link: Link) -> Member | None:
        """Find an entry's origin; an unknown one's name is asked for."""
        if tag == self.me.tag or tag in self.roster.replaced:
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
        if origin is sender or now - entry.born > self.silence_limit:
            return []
        effects = self.roster.hear(origin, entry.born)
        if effects:
            self.choose_partners(now)
            self.links[sender.identity.instance].wants_all = True
        return effects

    # Sending

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
            self.send_all(self.links[name], now)

    def tick(self, now: timedelta) -> Ticked:
        """Do what is due; to be called at `next_due` or a little later."""
        ticked = Ticked()
        if self.ticked is not None and now - self.ticked > self.timing.late:
            self.roster.excuse(now)
        self.ticked = now
        self.outbox.begin(now)
        ticked.effects += self.review(now)
        self.show_pulse(now)
        ticked.datagrams += self.call_strangers(now)
        for name, link in sorted(self.links.items(), key=last_sent):
            ticked.datagrams += self.serve(name, link, now)
        ticked.datagrams += self.tell_names(now)
        self.counters.sent += len(ticked.datagrams)
        self.counters.sent_bytes += sum(len(each.data) for each in ticked.datagrams)
        return ticked

    def review(self, now: timedelta) -> list[Effect]:
        """Suspect the silent, drop those that were so for long, purge ledgers."""
        effects = self.roster.review(now, self.silence_limit)
        for effect in effects:
            if isinstance(effect, PeerDown):
                link = self.links[effect.identity.instance]
                link.reset()
                link.wants_all = True
        for name in self.roster.drop_silent(now):
            del self.links[name]
        if effects:
            self.choose_partners(now)
        if now >= self.purge_due:
            self.purge_due = now + PURGE_EVERY
            for ledger in self.state.ledgers():
                ledger.purge(now)
        return effects

    def show_pulse(self, now: timedelta) -> None:
        """Show that this instance lives, to those who only hear of it."""
        if not self.relaying or now < self.pulse_due:
            return
        self.pulse_due = now + self.timing.pulse_every
        slot = Slot(pulse.PULSE.number, pulse.KEY)
        self.own.touch(slot, True, now)
        self.spread(News(self.me.instance, slot), now + HURRY)

    def call_strangers(self, now: timedelta) -> list[Outgoing]:
        """Say hello to unknown senders, and to seeds that nobody is known to be at."""
        datagrams = [
            self.outbox.hello(address, Flag.WANT_NAME) for address in self.strangers
        ]
        self.strangers.clear()
        if now < self.seeds_due:
            return datagrams
        known = {each.identity.address for each in self.roster.alive()}
        self.seeds_due = now + self.probe_gap(bool(known))
        return datagrams + [
            self.outbox.hello(seed, Flag.WANT_NAME)
            for seed in self.seeds
            if seed not in known
        ]

    def probe_gap(self, calm: bool) -> timedelta:
        """Return how long to wait before calling into silence again."""
        return self.timing.probe_every if calm else self.timing.heartbeat

    def serve(self, name: InstanceId, link: Link, now: timedelta) -> list[Outgoing]:
        """Build what is due to one member."""
        member = self.roster.members[name]
        link.overdue(now, self.timing)
        if not self.is_due(name, member, link, now):
            return []
        address = member.identity.address
        link.due = None
        datagrams = self.outbox.flush(address, link, self.flags(name, link), now)
        link.wants_names = False
        if link.pending:
            link.due = now + self.timing.heartbeat / 5
        else:
            link.sends_all = False
        if link.names_due and member.alive:
            link.names_due = False
            datagrams += self.outbox.hellos(address, self.some_names(name, NAMES))
        return datagrams

    def is_due(
        self, name: InstanceId, member: Member, link: Link, now: timedelta
    ) -> bool:
        """Whether a member is to be sent something now."""
        if link.sent is None:
            return True
        if not member.alive:
            calm = now - member.heard > self.timing.suspect_after
            return now - link.sent >= self.probe_gap(calm)
        if link.due is not None and link.due <= now:
            if self.outbox.budget.left > 0:
                return True
            link.due = now + self.timing.heartbeat / 5
        # Heartbeats to all partners go together, so that an idle instance wakes up
        # for one of them only.
        idle = self.timing.heartbeat * TOGETHER
        return self.is_partner(name, now) and now - link.sent >= idle

    def flags(self, name: InstanceId, link: Link) -> Flag:
        """Return what else is to be said to a member."""
        flags = Flag(0)
        if name in self.partners:
            flags |= Flag.PARTNER
        if link.wants_names:
            flags |= Flag.WANT_NAMES
        if link.wants_all:
            flags |= Flag.WANT_ALL
        if link.sends_all:
            flags |= Flag.ALL
        return flags

    def some_names(self, besides: InstanceId, count: int) -> list[Identity]:
        """Return living members, at most so many."""
        alive = (each.identity for each in self.roster.alive())
        others = [each for each in alive if each.instance != besides]
        return self.random.sample(others, min(len(others), count))

    def tell_names(self, now: timedelta) -> list[Outgoing]:
        """Tell one partner some names now and then."""
        if now < self.names_due or not self.partners:
            return []
        self.names_due = now + self.timing.names_every
        name = self.random.choice(sorted(self.partners))
        address = self.roster.members[name].identity.address
        names = self.some_names(name, NAMES_A_DATAGRAM)
        return self.outbox.hellos(address, names)

    def next_due(self, now: timedelta) -> timedelta:
        """Return when the next tick should be: at the next news or heartbeat."""
        if self.strangers:
            return now
        due = now + self.timing.heartbeat
        for name, link in self.links.items():
            if link.sent is None:
                return now
            if link.due is not None:
                due = min(due, link.due)
            if name in self.partners:
                due = min(due, link.sent + self.timing.heartbeat)
        return max(due, now)


def last_sent(pair: tuple[InstanceId, Link]) -> timedelta:
    """Return when a link was served, so that short bytes go round."""
    return pair[1].sent or timedelta.min


def read_entry(
    wire: WireEntry, tags: list[int], ids: IdReader, now: timedelta
) -> tuple[int, Slot, Entry]:
    """Return an entry's origin, place and content.

    Raises
    ------
    BadDatagramError, msgspec.ValidationError
        If it breaks the format.
    """
    index = wire.place >> KIND_BITS
    if index >= len(tags):
        raise BadDatagramError(f"no origin has index {index}")
    if not isinstance(wire.key, (int, str, bytes)):
        raise BadDatagramError("a key of no known type")
    slot = Slot(wire.place & KIND_MASK, wire.key)
    kind = kind_of(slot.kind)
    value = None if wire.value is None else kind.codec.unpack(wire.value, ids)
    try:
        born = now - wire.age * MILLISECOND
    except OverflowError as error:
        raise BadDatagramError(f"age {wire.age}") from error
    return tags[index], slot, Entry(wire.sequence, born, value)

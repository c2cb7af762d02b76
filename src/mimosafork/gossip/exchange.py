"""The exchange itself: datagrams and instants in, datagrams and effects out.

It has no sockets, tasks or clock of its own, so that a test can lose, double and
reorder datagrams among many exchanges in no time.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from random import Random

import msgspec

from ..ids import AvailabilityZoneId, InstanceId
from .calling import Caller
from .circle import Circle
from .counters import Counters
from .effects import DatagramRefused, Effect
from .errors import BadDatagramError
from .kinds import pulse
from .kinds.base import Key, Kind
from .ledger import Ledger, Slot
from .links import Link, News
from .members import Address, Identity
from .outbox import Outbox, Outgoing
from .receiving import Receiver
from .reports import Reports
from .roster import Roster
from .sending import Sender
from .state import FleetState
from .taking import Intake
from .timing import Timing
from .wire import Flag, decode, fleet_tag

PURGE_EVERY = timedelta(seconds=1)


class Ticked(msgspec.Struct):
    """What a tick brings."""

    datagrams: list[Outgoing] = msgspec.field(default_factory=list)
    effects: list[Effect] = msgspec.field(default_factory=list)


class Exchange:
    """One instance's part in the gossip.

    Parameters
    ----------
    me : Identity
        This life of this instance.
    fleet : str
        Datagrams of other fleets are refused.
    random : Random
        Picks whom names are told.
    seeds : iterable of Address
        Where instances may listen that aren't known by name.
    """

    def __init__(
        self,
        me: Identity,
        fleet: str,
        random: Random,
        seeds: Iterable[Address] = (),
        timing: Timing | None = None,
    ) -> None:
        self.me = me
        self.fleet = fleet_tag(fleet)
        self.timing = timing or Timing()
        self.own = Ledger()
        self.roster = Roster(me, self.timing)
        self.circle = Circle(me, self.own, self.roster, self.timing)
        self.outbox = Outbox(me, self.fleet, self.timing, self.circle.source_of)
        self.state = FleetState(self.own, self.roster)
        self.counters = Counters()
        self.caller = Caller(self.circle, self.outbox, seeds, random)
        intake = Intake(self.circle, Reports())
        self.receiver = Receiver(self.circle, self.caller, intake, self.counters)
        self.sender = Sender(self.circle, self.outbox, self.caller)
        self.audiences: dict[Slot, frozenset[InstanceId] | None] = {}
        """Who was told of each standing word that is for some; None for all."""
        self.ticked: timedelta | None = None
        self.purge_due = self.pulse_due = timedelta.min

    @property
    def links(self) -> dict[InstanceId, Link]:
        """The link to each member."""
        return self.circle.links

    @property
    def partners(self) -> frozenset[InstanceId]:
        """The members that this instance chose."""
        return self.circle.partners

    def flags(self, name: InstanceId, link: Link) -> Flag:
        """Return what else is to be said to a member."""
        return self.sender.flags(name, link)

    # Own words

    def say(self, kind: Kind, key: Key, value: object | None, now: timedelta) -> None:
        """Publish a word, or take it back with None; what is said is not repeated."""
        slot = Slot(kind.number, key)
        if self.own.put(slot, value, now):
            self.circle.spread(News(self.me.instance, slot), now + kind.coalesce)

    def tell(
        self,
        kind: Kind,
        key: Key,
        value: object | None,
        audience: frozenset[InstanceId] | None,
        now: timedelta,
    ) -> None:
        """Publish a word to some peers, and to all who were told of it before.

        Guard: a peer that was told of a work and not of its end would keep it for as
        long as it hears this instance.

        Parameters
        ----------
        audience : frozenset of InstanceId or None
            None for all.
        """
        slot = Slot(kind.number, key)
        if not self.own.put(slot, value, now):
            return
        told = self.audiences.pop(slot, frozenset())
        if audience is not None and told is not None and self.circle.relaying:
            told |= audience
        else:
            told = None
        if value is not None:
            self.audiences[slot] = told
        news, due = News(self.me.instance, slot), now + kind.coalesce
        if not self.circle.relaying:
            self.circle.spread(news, due)
        else:
            self.circle.tell(news, due, self.roster.members if told is None else told)

    def confirm(self, kind: Kind, key: Key, value: object, now: timedelta) -> None:
        """Publish a word that holds as of now, also if it was said before."""
        slot = Slot(kind.number, key)
        self.own.touch(slot, value, now)
        self.circle.spread(News(self.me.instance, slot), now + kind.coalesce)

    # What comes in

    def learn(
        self, identity: Identity, now: timedelta, direct: bool = False
    ) -> list[Effect]:
        """Take in that a life exists, from itself, another one or the store."""
        return self.circle.learn(identity, now, direct)

    def datagram_received(
        self, data: bytes, address: Address, now: timedelta
    ) -> list[Effect]:
        """Take in a datagram; one that is bad is counted and passed over."""
        self.counters.received += 1
        if self.is_late(now):
            # After a suspension the socket holds datagrams of any age, and their
            # entries would count as fresh. None is confirmed, so what still holds
            # comes again.
            self.counters.stale += 1
            return []
        try:
            return self.receiver.take(decode(data, self.fleet), address, now)
        except (BadDatagramError, msgspec.ValidationError) as error:
            self.counters.refused += 1
            return [DatagramRefused(address, str(error))]

    def is_late(self, now: timedelta) -> bool:
        """Whether the last tick is so long ago that the process was suspended."""
        return self.ticked is not None and now - self.ticked > self.timing.late

    def silent_zones(self, now: timedelta) -> Mapping[AvailabilityZoneId, timedelta]:
        """Return the zones whose peers have all fallen silent, and since how long."""
        heartbeat = None if self.circle.relaying else self.sender.heartbeat()
        members = self.roster.members.values()
        return self.receiver.zones.review(members, heartbeat, now)

    # What is due

    def tick(self, now: timedelta) -> Ticked:
        """Do what is due; to be called at `next_due` or a little later."""
        ticked = Ticked()
        if self.is_late(now):
            self.roster.excuse(now)
        self.ticked = now
        self.outbox.begin(now)
        ticked.effects += self.circle.review(now)
        self.purge(now)
        self.show_pulse(now)
        ticked.datagrams += self.caller.call(now)
        ticked.datagrams += self.sender.serve_all(now)
        ticked.datagrams += self.caller.tell_names(now)
        for each in ticked.datagrams:
            self.counters.sent += 1
            self.counters.sent_bytes += len(each.data)
        return ticked

    def purge(self, now: timedelta) -> None:
        """Forget words and instances that are past their time, now and then."""
        if now < self.purge_due:
            return
        self.purge_due = now + PURGE_EVERY
        for ledger in self.state.ledgers():
            ledger.purge(now)
        alive = (member.identity.instance for member in self.roster.alive())
        self.roster.census.review(alive, now)

    def show_pulse(self, now: timedelta) -> None:
        """Show that this instance lives, to those who only hear of it."""
        if not self.circle.relaying or now < self.pulse_due:
            return
        self.pulse_due = now + self.timing.pulse_every
        self.confirm(pulse.PULSE, pulse.KEY, True, now)

    def next_due(self, now: timedelta) -> timedelta:
        """Return when the next tick should be."""
        return now if self.caller.strangers else max(self.circle.alarm.at, now)

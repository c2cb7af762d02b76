"""What passes between this instance and one peer: numbers, confirmations, news due.

Each datagram has a number, and each carries which numbers of the other side came.
News in a datagram that did not come becomes due again, in its newest form.
"""

from datetime import timedelta
from heapq import heappop, heappush

import msgspec

from ..ids import InstanceId
from .kinds.base import kind_of
from .ledger import Slot
from .timing import Timing

WINDOW = 32
WINDOW_MASK = (1 << WINDOW) - 1


class News(msgspec.Struct, frozen=True):
    """An entry that is due to a peer, by its place."""

    origin: InstanceId
    slot: Slot


class Flight(msgspec.Struct, frozen=True):
    """News in a datagram that isn't confirmed yet."""

    sent: timedelta
    news: tuple[News, ...]


class Receipts(msgspec.Struct):
    """Which of a peer's datagrams have come.

    Attributes
    ----------
    highest : int
        Highest number, 0 for none.
    missing : int
        Bits of those before it that did not come.
    """

    highest: int = 0
    missing: int = 0

    def take(self, number: int) -> bool:
        """Note a number; return whether it is new."""
        if number > self.highest:
            ahead = number - self.highest
            self.missing = self.missing << min(ahead, WINDOW)
            self.missing |= (1 << min(ahead - 1, WINDOW)) - 1
            self.missing &= WINDOW_MASK
            self.highest = number
            return True
        bit = 1 << max(self.highest - 1 - number, 0)
        if number == self.highest or bit > WINDOW_MASK or not self.missing & bit:
            return False
        self.missing &= ~bit
        return True


class Alarm(msgspec.Struct):
    """When the next tick should be and which links it serves, kept up incrementally.

    It was looked for among all links after each datagram, and each tick looked at all
    of them. Without both, an instance at rest among 64 makes 9,962 calls of functions a
    second in place of 17,299 (`python -m benchmarks.instance_cost`). In a flood among
    111 each tick still looked for the next one among all links.

    Attributes
    ----------
    dues, checks : list
        Heaps of instants with their links. An instant that is no longer that of its
        link is passed over; a link's `due` and `check` always have theirs.
    pushed : int
        Tells apart those of the same instant.
    """

    at: timedelta = timedelta.min
    dues: list[tuple[timedelta, int, "Link"]] = msgspec.field(default_factory=list)
    checks: list[tuple[timedelta, int, "Link"]] = msgspec.field(default_factory=list)
    pushed: int = 0

    def ring_by(self, instant: timedelta) -> None:
        """Have the tick come no later than an instant."""
        self.at = min(self.at, instant)

    def take(self, now: timedelta) -> "list[Link]":
        """Return the links on which something may be due, each once."""
        taken: dict[InstanceId, Link] = {}
        while self.dues and self.dues[0][0] <= now:
            at, _, link = heappop(self.dues)
            if link.due == at:
                taken[link.name] = link
        while self.checks and self.checks[0][0] <= now:
            at, _, link = heappop(self.checks)
            if link.check == at:
                taken[link.name] = link
        return list(taken.values())

    def first_due(self) -> timedelta:
        """Return when news is due next."""
        while self.dues:
            at, _, link = self.dues[0]
            if link.due == at:
                return at
            heappop(self.dues)
        return timedelta.max


class Link(msgspec.Struct):
    """State of the exchange with one peer.

    Parameters
    ----------
    alarm : Alarm
        Of all links.
    name : InstanceId
        The peer's.
    order : int
        Links that were served at the same instant are served in this order. In an
        order that changes, heartbeats of a fleet come to go together later: 31 wake-ups
        a second at rest among 64 in place of 48 (`python -m benchmarks.instance_cost`
        with another seed).

    Attributes
    ----------
    due : timedelta or None
        When the news that waits is to be sent.
    check : timedelta
        When something else may be due: a heartbeat, a call into silence or news that
        was lost.
    named : bool
        The peer knows this instance's name.
    chosen_until : timedelta
        Until when the peer counts as having chosen this instance.
    """

    alarm: Alarm = msgspec.field(default_factory=Alarm)
    name: InstanceId = InstanceId("")
    order: int = 0
    pending: dict[News, None] = msgspec.field(default_factory=dict)
    due: timedelta | None = None
    check: timedelta = timedelta.max
    flights: dict[int, Flight] = msgspec.field(default_factory=dict)
    receipts: Receipts = msgspec.field(default_factory=Receipts)
    number: int = 0
    sent: timedelta | None = None
    named: bool = False
    wants_all: bool = False
    wants_names: bool = False
    sends_all: bool = False
    all_since: timedelta | None = None
    names_due: bool = False
    chosen_until: timedelta = timedelta(0)

    def add(self, news: News, due: timedelta) -> None:
        """Make news due."""
        self.pending[news] = None
        self.hurry(due)

    def hurry(self, due: timedelta) -> None:
        """Have a datagram sent at an instant, news or not."""
        if self.due is None or due < self.due:
            self.put_off(due)
            self.alarm.ring_by(due)

    def put_off(self, due: timedelta) -> None:
        """Have a datagram sent at an instant in place of an earlier one."""
        self.due = due
        alarm = self.alarm
        alarm.pushed += 1
        heappush(alarm.dues, (due, alarm.pushed, self))

    def check_at(self, instant: timedelta) -> None:
        """Set when something else may be due."""
        self.check = instant
        if instant < timedelta.max:
            alarm = self.alarm
            alarm.pushed += 1
            heappush(alarm.checks, (instant, alarm.pushed, self))

    @property
    def look(self) -> timedelta:
        """A tick before this instant has nothing to do here."""
        return self.check if self.due is None else min(self.due, self.check)

    def confirmed(
        self, heard: int, missing: int, now: timedelta, timing: Timing
    ) -> None:
        """Take in which of the own datagrams came."""
        self.named = self.named or heard > 0
        if not self.flights:
            return
        for number, flight in list(self.flights.items()):
            if came(number, heard, missing):
                del self.flights[number]
            elif number < heard and now - flight.sent >= timing.gap_after:
                self.lose(number, now)

    def overdue(self, now: timedelta, timing: Timing) -> None:
        """Make due again what was never confirmed."""
        if not self.flights:
            return
        for number, flight in list(self.flights.items()):
            if now - flight.sent < timing.resend_after:
                return
            self.lose(number, now)

    def lose(self, number: int, now: timedelta) -> None:
        """Make the news of a lost datagram due again."""
        for news in self.flights.pop(number).news:
            self.add(news, now)

    def drop_relayed_news(self) -> None:
        """Drop the news that a peer receives from its partners.

        While a large fleet starts, its instances choose partners by what each knows so
        far, and each choice makes the state of all due. The state of those that are no
        partners any more would use up the budget for tens of seconds.
        """
        self.pending = {
            news: None for news in self.pending if not kind_of(news.slot.kind).relayed
        }
        self.sends_all = False

    def end(self) -> None:
        """Have nothing due any more, as the peer is gone or has another link."""
        self.due = None
        self.check = timedelta.max

    def reset(self) -> None:
        """Forget what was due and on its way, as the peer may be gone."""
        self.pending.clear()
        self.flights.clear()
        self.due = None
        self.check_at(timedelta.min)
        self.receipts = Receipts()


def came(number: int, heard: int, missing: int) -> bool:
    """Whether a receiver's words confirm a number."""
    back = heard - 1 - number
    return number == heard or (0 <= back < WINDOW and not missing >> back & 1)

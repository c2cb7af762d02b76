"""What passes between this instance and one peer: numbers, confirmations, news due.

Each datagram has a number, and each carries which numbers of the other side came.
News in a datagram that did not come becomes due again, in its newest form.
"""

from datetime import timedelta
from typing import NamedTuple

import msgspec

from ..ids import InstanceId
from .kinds.base import kind_of
from .ledger import Slot
from .timing import Timing

WINDOW = 32
WINDOW_MASK = (1 << WINDOW) - 1


class News(NamedTuple):
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
    """When the next tick should be, kept up as news becomes due.

    It was looked for among all links after each datagram, and each tick looked at all
    of them. Without both, an instance at rest among 64 makes 9,962 calls of functions a
    second in place of 17,299 (`python -m benchmarks.instance_cost`).
    """

    at: timedelta = timedelta.min

    def ring_by(self, instant: timedelta) -> None:
        """Have the tick come no later than an instant."""
        self.at = min(self.at, instant)


class Link(msgspec.Struct):
    """State of the exchange with one peer.

    Parameters
    ----------
    alarm : Alarm
        Of all links.

    Attributes
    ----------
    due : timedelta or None
        When the news that waits is to be sent.
    look : timedelta
        A tick before it has nothing to do here.
    named : bool
        The peer knows this instance's name.
    chosen_until : timedelta
        Until when the peer counts as having chosen this instance.
    """

    alarm: Alarm = msgspec.field(default_factory=Alarm)
    pending: dict[News, None] = msgspec.field(default_factory=dict)
    due: timedelta | None = None
    look: timedelta = timedelta.min
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
            self.due = due
        self.look = min(self.look, due)
        self.alarm.ring_by(due)

    def is_quiet(self) -> bool:
        """Whether nothing waits, neither to be sent nor to be confirmed."""
        return self.sent is not None and self.due is None and not self.flights

    def confirmed(
        self, heard: int, missing: int, now: timedelta, timing: Timing
    ) -> None:
        """Take in which of the own datagrams came."""
        self.named = self.named or heard > 0
        for number, flight in list(self.flights.items()):
            if came(number, heard, missing):
                del self.flights[number]
            elif number < heard and now - flight.sent >= timing.gap_after:
                self.lose(number, now)

    def overdue(self, now: timedelta, timing: Timing) -> None:
        """Make due again what was never confirmed."""
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

    def reset(self) -> None:
        """Forget what was due and on its way, as the peer may be gone."""
        self.pending.clear()
        self.flights.clear()
        self.due = None
        self.look = timedelta.min
        self.receipts = Receipts()


def came(number: int, heard: int, missing: int) -> bool:
    """Whether a receiver's words confirm a number."""
    back = heard - 1 - number
    return number == heard or (0 <= back < WINDOW and not missing >> back & 1)

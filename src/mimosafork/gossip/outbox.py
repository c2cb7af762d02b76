"""Building the datagrams to one peer, within a budget of bytes."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from ..ids import InstanceId
from .kinds.base import kind_of
from .kinds.endpoints import ENDPOINTS
from .kinds.evacuations import EVACUATIONS
from .ledger import Ledger
from .links import Flight, Link, News
from .members import Address, Identity
from .packing import LIST_BYTES, Item, Load, loads_of
from .timing import Timing
from .wire import ENCODER, FORMAT, Datagram, Flag, WireName, to_wire

NAMES_A_DATAGRAM = 16
"""Sixteen names of usual length take about a thousand bytes."""
LARGEST = (1 << 32) - 1
BUDGET_SPAN_S = 10
"""The budget holds over such a span, not over each second. A word costs 64 instances
2.5 KB each; one that got five calls within a second could not tell of the last two for
100 to 270 ms (a tenth of all words, seen in a played flood), and up to six others
placed calls on the same engine meanwhile."""
SPARE_SHARE = 0.5
"""Share of a second's bytes that is kept for state."""
WORK_SHARE = 0.25
"""Share of a second's bytes that is kept for running work."""
SECOND = timedelta(seconds=1)


URGENT_KINDS = frozenset({ENDPOINTS.number, EVACUATIONS.number})
"""Relayed state that must reach all instances while other state uses up the budget:
without it, endpoints that must get no requests would get some."""


def is_urgent(news: News) -> bool:
    """Return whether news may use the bytes that are kept for running work."""
    kind = news.slot.kind
    return kind in URGENT_KINDS or not kind_of(kind).relayed


def send_order(news: News) -> tuple[bool, bool, int]:
    """Return the rank of news where bytes are short.

    Evacuations go before running work, which in a flood may take all bytes, and both
    before state, of which thousands of entries may be due.
    """
    kind = news.slot.kind
    return kind != EVACUATIONS.number, not is_urgent(news), kind


class Outgoing(msgspec.Struct, frozen=True):
    """A datagram to send."""

    address: Address
    data: bytes


class Source(msgspec.Struct, frozen=True):
    """Where an origin's entries are.

    Parameters
    ----------
    tag : int
        Of the origin's life.
    """

    tag: int
    ledger: Ledger


class Budget:
    """Bytes that may be sent, as a bucket that fills with time.

    Parameters
    ----------
    bytes_s : int
        Rate; the bucket holds what `BUDGET_SPAN_S` seconds bring.
    datagram_bytes : int
        Longest datagram.
    """

    def __init__(self, bytes_s: int, datagram_bytes: int) -> None:
        self.bytes_s = bytes_s
        self.kept_for_work = bytes_s * WORK_SHARE + datagram_bytes
        self.left = float(bytes_s)
        self.filled: timedelta | None = None

    def fill(self, now: timedelta) -> None:
        """Add what the time since the last call brings."""
        if self.filled is not None:
            grown = (now - self.filled) / SECOND * self.bytes_s
            self.left = min(self.left + grown, float(self.bytes_s * BUDGET_SPAN_S))
        self.filled = now

    @property
    def has_state_bytes(self) -> bool:
        """Whether there are bytes for state that can wait.

        The rest is kept for running work, which is published to some peers only and
        is of use only at once, and for endpoints and zones that must not be used.
        While a fleet of 111 instances starts, the state of all for new partners is
        more than the budget of several seconds.
        """
        return self.left > self.kept_for_work

    @property
    def has_spare(self) -> bool:
        """Whether there are bytes for what can wait.

        Guard: when a whole fleet starts, each instance has the names of all others for
        all others. Sent at once, they took what three seconds of state may take: no
        instance received of a work until then, and all chose the same few engines.
        """
        return self.left > self.bytes_s * SPARE_SHARE

    def spend(self, size: int) -> None:
        """Take bytes out; the bucket may go below empty."""
        self.left -= size


class Batch(NamedTuple):
    """News that goes to several peers in one tick, and is spread over loads once."""

    news: tuple[News, ...]
    named: bool


class Spread(NamedTuple):
    """A batch over datagrams, and what of it is past its time."""

    loads: list[Load]
    gone: list[News]


class Outbox:
    """Builds datagrams.

    Parameters
    ----------
    source_of : callable
        Finds an origin's entries; None where it is no longer known.
    """

    def __init__(
        self,
        me: Identity,
        fleet: int,
        timing: Timing,
        source_of: Callable[[InstanceId], Source | None],
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.timing = timing
        self.source_of = source_of
        self.budget = Budget(timing.budget_bytes_s, timing.datagram_bytes)
        self.spread: dict[Batch, Spread] = {}

    def begin(self, now: timedelta) -> None:
        """Begin a tick."""
        self.budget.fill(now)
        self.spread.clear()

    def hello(
        self,
        address: Address,
        flags: Flag,
        names: Iterable[Identity] = (),
    ) -> Outgoing:
        """Build a datagram that isn't counted: a name, and those of others."""
        datagram = Datagram(
            FORMAT,
            self.fleet,
            self.me.tag,
            0,
            0,
            0,
            int(flags),
            to_wire(self.me),
            [to_wire(each) for each in names],
        )
        return self.outgoing(address, datagram)

    def hellos(self, address: Address, names: list[Identity]) -> list[Outgoing]:
        """Build as many as it takes to bring all names."""
        starts = range(0, len(names), NAMES_A_DATAGRAM)
        return [
            self.hello(address, Flag(0), names[at : at + NAMES_A_DATAGRAM])
            for at in starts
        ]

    def flush(
        self, address: Address, link: Link, flags: Flag, now: timedelta
    ) -> list[Outgoing]:
        """Build what is due to a peer; without news, one heartbeat."""
        loads = self.loads(link, now)
        sent: list[Outgoing] = []
        for load in loads:
            if sent and not self.budget.has_state_bytes:
                # News that stays behind is sent in its newest form later: bytes are
                # saved by skipping states, never by a growing queue.
                break
            sent.append(self.loaded(address, link, flags, load, now))
        if not sent:
            sent.append(self.numbered(address, link, flags, Load(self.me.tag), now))
        return sent

    def loads(self, link: Link, now: timedelta) -> list[Load]:
        """Spread the news of a link over datagrams, the lowest kinds first.

        News is mostly the same for all peers, and is looked up and spread once for all
        of them. With flags as a number (`receiving.CHOSEN`) that saves 6,286 of 58,180
        calls of functions a second in a flood among 64 instances, and 1,728 of 10,588
        at rest (`python -m benchmarks.instance_cost`).
        """
        due = self.affordable_news(link)
        if not due:
            return []
        batch = Batch(due, link.named)
        spread = self.spread.get(batch)
        if spread is None:
            spread = self.spread[batch] = self.spread_over(batch, link, now)
        for news in spread.gone:
            del link.pending[news]
        return spread.loads

    def can_send(self, link: Link) -> bool:
        """Return whether there are bytes for what is due on a link."""
        if self.budget.has_state_bytes:
            return True
        return self.budget.left > 0 and any(map(is_urgent, link.pending))

    def affordable_news(self, link: Link) -> tuple[News, ...]:
        """Return the news of a link for whose kinds there are bytes left."""
        if self.budget.has_state_bytes:
            return tuple(link.pending)
        if self.budget.left <= 0:
            return ()
        return tuple(news for news in link.pending if is_urgent(news))

    def spread_over(self, batch: Batch, link: Link, now: timedelta) -> Spread:
        """Spread news over datagrams."""
        items: list[Item] = []
        gone: list[News] = []
        for news in sorted(batch.news, key=send_order):
            item = self.item(news)
            if item is None:
                gone.append(news)
            else:
                items.append(item)
        room = self.timing.datagram_bytes - LIST_BYTES - self.head_bytes(link)
        return Spread(loads_of(items, self.me.tag, now, room), gone)

    def item(self, news: News) -> Item | None:
        """Return an entry in its newest form, None if it is past its time."""
        source = self.source_of(news.origin)
        entry = source.ledger.entries.get(news.slot) if source else None
        if source is None or entry is None:
            return None
        return Item(news, source.tag, entry)

    def loaded(
        self, address: Address, link: Link, flags: Flag, load: Load, now: timedelta
    ) -> Outgoing:
        """Build a datagram with news, which is on its way from now on."""
        for news in load.news:
            del link.pending[news]
        outgoing = self.numbered(address, link, flags, load, now)
        link.flights[link.number] = Flight(now, tuple(load.news))
        return outgoing

    def numbered(
        self, address: Address, link: Link, flags: Flag, load: Load, now: timedelta
    ) -> Outgoing:
        """Build a datagram and count it."""
        link.number += 1
        link.sent = now
        return self.outgoing(address, load.fill(self.head(link, flags)))

    def head(self, link: Link, flags: Flag) -> Datagram:
        """Build a datagram without news."""
        return Datagram(
            FORMAT,
            self.fleet,
            self.me.tag,
            link.number,
            link.receipts.highest,
            link.receipts.missing,
            int(flags),
            self.own_name(link),
        )

    def own_name(self, link: Link) -> WireName | None:
        """Return the own name until the peer is known to have it."""
        return None if link.named else to_wire(self.me)

    def head_bytes(self, link: Link) -> int:
        """Return the longest size of a datagram without news.

        Numbers count with all their bytes, so that it is the same for all peers that
        know the name, and news is spread over datagrams once for all of them.
        """
        head = Datagram(
            FORMAT,
            self.fleet,
            self.me.tag,
            LARGEST,
            LARGEST,
            LARGEST,
            LARGEST,
            self.own_name(link),
        )
        return len(ENCODER.encode(head))

    def outgoing(self, address: Address, datagram: Datagram) -> Outgoing:
        """Encode a datagram and take its bytes out of the budget."""
        data = ENCODER.encode(datagram)
        self.budget.spend(len(data))
        return Outgoing(address, data)

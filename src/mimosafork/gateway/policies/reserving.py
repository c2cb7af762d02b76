"""Reserves memory on several engines for prompts that one engine can't hold.

All of it is reserved before the request is sent, one engine after the other in an
order that all instances share; where one has no room the rest is released, and the
request is placed anew. So a gang never waits for memory while it holds some.

Each reservation is for a short time and renewed while it is needed. An instance that
is killed, frozen or cut off between any two steps leaves nothing behind for longer
than that.
"""

from datetime import timedelta
from functools import singledispatchmethod
from itertools import count

from ...ids import AttemptNumber, EndpointId, RequestId, ReservationId
from ...kernel.context import Context
from ...kernel.messages.base import Message, Tick
from ...kernel.messages.placement import (
    FreePart,
    MemoryReserved,
    PartFailure,
    ReservationFailed,
    ReserveMemory,
)
from ...kernel.messages.recovery import HoldingKind
from ...kernel.messages.requests import AttemptFailed
from ...kernel.plugins import (
    Concluded,
    InHand,
    Placed,
    Placement,
    PlacementFailed,
    Plugin,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...placement.choice import Place
from .place_words import place_on
from .tickets import Gang, Step, Ticket, tickets_of

HOLD = timedelta(seconds=3)
"""Memory is reserved for so long. It must be free within four seconds after an
instance was killed, and that only this ensures."""

RENEW_AFTER_SHARE = 0.5
"""A reservation is renewed when this share of its time is over; an order that gets
no answer can then be repeated several times before it ends."""

RESERVE_WITHIN = timedelta(milliseconds=1200)
"""A gang that isn't complete by then is given up. It is less than half of `HOLD`, so
that what was reserved first is still held when the request arrives."""

PAUSE = timedelta(milliseconds=100)
"""Least pause before a request is placed anew; two gangs that met once should not
meet again."""

SHORT_FOR = timedelta(seconds=1)
"""An engine that had no memory, or gave no answer, is not asked again for so long."""


@register("memory-keeper")
class MemoryKeeper(Plugin):
    """Reserves, renews and releases what placement wants to be held.

    Attributes
    ----------
    longest_hold : timedelta
        Engines reserve for no longer at once; set by the owner from its settings.
    """

    def __init__(self) -> None:
        self.longest_hold = HOLD
        self.gangs: dict[RequestId, Gang] = {}
        self.not_before: dict[RequestId, timedelta] = {}
        self.short_until: dict[EndpointId, timedelta] = {}
        self.life = ""
        self.numbers = count(1)

    @property
    def hold(self) -> timedelta:
        """How long a reservation lasts."""
        return min(HOLD, self.longest_hold)

    def pauses(self, request_id: RequestId, now: timedelta) -> bool:
        """Return whether a request should not be placed just now."""
        return now < self.not_before.get(request_id, now)

    def short_engines(self, now: timedelta) -> frozenset[EndpointId]:
        """Return the engines that lately had no memory for a reservation."""
        self.short_until = {
            endpoint: until
            for endpoint, until in self.short_until.items()
            if now < until
        }
        return frozenset(self.short_until)

    def begin(self, place: Place, record: RequestRecord, context: Context) -> Placement:
        """Reserve what a place needs; `Placed` or `PlacementFailed` follows."""
        request_id = record.request_id
        self._dissolve(request_id, context)
        # An id that two requests used at once would let both write into the same
        # memory. A life's ids begin with chance and are numbered: no attempt, no
        # other request and no earlier life under the same name can have had them.
        if not self.life:
            instance = context.state.identity.instance
            self.life = f"{instance}.{context.random.getrandbits(48):012x}"
        first = next(self.numbers)
        tickets = tickets_of(place.reservations, self.life, first)
        self.numbers = count(first + len(tickets))
        attempt = AttemptNumber(len(record.attempts) + 1)
        gang = Gang(request_id, attempt, place, context.now, tickets)
        self.gangs[request_id] = gang
        self._go_on(gang, record, context)
        return InHand()

    def _go_on(self, gang: Gang, record: RequestRecord, context: Context) -> None:
        """Ask for what is missing, or let the request be sent."""
        # The process may have been frozen between two steps: what was reserved first
        # may have run out, and the engine would refuse the request, or another
        # gang would hold the memory by now.
        if context.now - gang.begun_at > RESERVE_WITHIN:
            self._fail(gang, context)
            return
        missing = gang.next_missing()
        if missing is not None:
            self._ask(gang, missing, context)
            return
        gang.step = Step.RUNNING
        place = place_on(gang.place, record.request, gang.helpers())
        context.post(Placed(gang.request_id, place))

    def _ask(self, gang: Gang, ticket: Ticket, context: Context) -> None:
        """Reserve, or renew what is reserved: that is the same order."""
        ticket.ask(context.now)
        context.emit(
            ReserveMemory(
                request_id=gang.request_id,
                reservation=ticket.reservation,
                endpoint=ticket.endpoint,
                address=ticket.address,
                tokens=ticket.tokens,
                time_to_live=self.hold,
            )
        )

    def _fail(self, gang: Gang, context: Context) -> None:
        """Release everything and give the request back to the queue."""
        self._dissolve(gang.request_id, context)
        pause = PAUSE * (1.0 + context.random.random())
        self.not_before[gang.request_id] = context.now + pause
        context.post(PlacementFailed(gang.request_id))

    def _dissolve(self, request_id: RequestId, context: Context) -> None:
        """Release what a request may hold.

        That an order got no answer doesn't mean that it wasn't carried out; only
        what the engine itself denied needs no release.
        """
        gang = self.gangs.pop(request_id, None)
        if gang is None:
            return
        for ticket in gang.tickets:
            if ticket.asked_at is None or ticket.lost:
                continue
            kind = HoldingKind.RESERVATION
            context.emit(
                FreePart(ticket.endpoint, ticket.address, kind, ticket.reservation)
            )

    def _found(
        self, request_id: RequestId, reservation: ReservationId
    ) -> tuple[Gang, Ticket] | None:
        """Return a ticket with its gang; late answers find none."""
        gang = self.gangs.get(request_id)
        ticket = None if gang is None else gang.ticket(reservation)
        return None if gang is None or ticket is None else (gang, ticket)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Take the next step."""

    @handle.register
    def _(self, message: MemoryReserved, context: Context) -> None:
        found = self._found(message.request_id, message.reservation)
        record = context.state.requests.get(message.request_id)
        if found is None or record is None:
            return
        gang, ticket = found
        ticket.confirm(self.hold)
        if gang.step is Step.RESERVING:
            self._go_on(gang, record, context)

    @handle.register
    def _(self, message: ReservationFailed, context: Context) -> None:
        found = self._found(message.request_id, message.reservation)
        record = context.state.requests.get(message.request_id)
        if found is None or record is None:
            return
        gang, ticket = found
        ticket.open = False
        ticket.lost = message.failure in {PartFailure.NO_MEMORY, PartFailure.REFUSED}
        if gang.step is Step.RUNNING:
            return
        if message.failure is PartFailure.LOST:
            # Asked again under the same id: should the first order be carried out
            # after all, it only renews what the second one has reserved.
            self._go_on(gang, record, context)
            return
        self.short_until[ticket.endpoint] = context.now + SHORT_FOR
        self._fail(gang, context)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        for gang in list(self.gangs.values()):
            if gang.step is Step.RUNNING:
                self._renew(gang, context)
            elif context.now - gang.begun_at > RESERVE_WITHIN:
                self._blame_silent(gang, context.now)
                self._fail(gang, context)

    def _renew(self, gang: Gang, context: Context) -> None:
        last = self.hold * (1.0 - RENEW_AFTER_SHARE)
        for ticket in gang.tickets:
            if ticket.wants_renewal(context.now, last):
                self._ask(gang, ticket, context)

    def _blame_silent(self, gang: Gang, now: timedelta) -> None:
        missing = gang.next_missing()
        if missing is not None:
            self.short_until[missing.endpoint] = now + SHORT_FOR

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        gang = self.gangs.get(message.request_id)
        # The next attempt may have a gang already; that one stays.
        if gang is not None and gang.attempt == message.attempt:
            self._dissolve(message.request_id, context)

    @handle.register
    def _(self, message: Concluded, context: Context) -> None:
        request_id = message.record.request_id
        self._dissolve(request_id, context)
        self.not_before.pop(request_id, None)

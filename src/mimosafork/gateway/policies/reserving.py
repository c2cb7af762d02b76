"""Reserves memory on several engines for prompts that one engine can't hold.

All of it is reserved before the request is sent, one engine after the other in an
order that all instances share; where one has no room the rest is released, and the
request is placed anew. So a gang never waits for memory while it holds some.

Each reservation is for a short time and renewed while it is needed. An instance that
is killed, frozen or cut off between any two steps leaves nothing behind for longer
than that.
"""

from collections import Counter
from datetime import timedelta
from functools import singledispatchmethod
from itertools import count

from ...ids import AttemptNumber, EndpointId, RequestId, ReservationId
from ...kernel.context import Context
from ...kernel.messages.attempts import AttemptFailed
from ...kernel.messages.base import Message, Tick
from ...kernel.messages.placement import (
    FreeOwnHolding,
    GangStepFailure,
    MemoryReserved,
    ReservationFailed,
    ReserveMemory,
)
from ...kernel.messages.problems import Problem, ProblemCode
from ...kernel.messages.recovery import HoldingKind
from ...kernel.plugins import (
    Placed,
    Placement,
    PlacementFailed,
    PlacementPending,
    Plugin,
    PluginFinder,
    Refuse,
    RequestConcluded,
)
from ...kernel.records import RequestRecord
from ...kernel.registry import register
from ...placement.choice import Assignment
from .dispatch_places import place_on
from .fleet_view import FleetView
from .reservations import (
    EngineReservation,
    Gang,
    GangStep,
    ReservationState,
    engine_reservations,
)
from .retrying import RETRY_BUDGET_EXHAUSTED, BudgetedRetry

RESERVATION_TTL = timedelta(milliseconds=3750)
"""Memory is reserved for so long. It must be free within four seconds after an
instance was killed, and only this ensures it. Nearly all requests end before a
renewal is due."""

RENEWAL_MARGIN = timedelta(milliseconds=1100)
"""A reservation is renewed when so much of its time is left: late, as an order that
is carried out only seconds after it arrived counts from its arrival and takes back
what was renewed since; but early enough to repeat one that got no answer."""

RENEWAL_RETRY_DELAY = timedelta(milliseconds=200)
"""After an engine could not be reached for a renewal."""

RESERVE_TIMEOUT = timedelta(milliseconds=1200)
"""A gang that isn't complete by then is given up: what was reserved first must still
be held when the request arrives, with time left to renew it."""

FIRST_BACKOFF = timedelta(milliseconds=100)
"""Mean pause before a request is placed anew for the first time, twice as long each
further time; two gangs that met once should not meet again."""

MAX_BACKOFF = timedelta(milliseconds=800)

MAX_GANG_FAILURES = 8
"""Gangs of one attempt that may fail; the memory is not there then, and each one's
orders cost the engines time."""

RETRY_AFTER = timedelta(seconds=1)
SHORTAGE_PERIOD = timedelta(seconds=1)
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
        self.fleet: FleetView | None = None
        self.retry: BudgetedRetry | None = None
        self.longest_hold = RESERVATION_TTL
        self.gangs: dict[RequestId, Gang] = {}
        self.backoff_until: dict[RequestId, timedelta] = {}
        self.gang_failures: dict[RequestId, int] = {}
        self.shortage_until: dict[EndpointId, timedelta] = {}
        self.id_prefix = ""
        self.id_numbers = count(1)

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Keep the plug-ins that are asked, and told of what can't be reached."""
        self.fleet = find(FleetView)
        self.retry = find(BudgetedRetry)

    def new_id(self) -> ReservationId:
        """Return an id that no reservation of any instance has had.

        An id that two requests used at once would let both write into the same
        memory. A life's ids begin with chance and are numbered: no attempt, no
        other request and no earlier life under the same name can have had them.
        """
        return ReservationId(f"{self.id_prefix}.{next(self.id_numbers)}")

    @property
    def reservation_ttl(self) -> timedelta:
        """How long a reservation lasts."""
        return min(RESERVATION_TTL, self.longest_hold)

    def is_backing_off(self, request_id: RequestId, now: timedelta) -> bool:
        """Return whether a request should not be placed just now."""
        return now < self.backoff_until.get(request_id, now)

    def engines_short_of_memory(self, now: timedelta) -> frozenset[EndpointId]:
        """Return the engines that lately had no memory for a reservation."""
        self.shortage_until = {
            endpoint: until
            for endpoint, until in self.shortage_until.items()
            if now < until
        }
        return frozenset(self.shortage_until)

    def reserved_tokens(self, now: timedelta) -> Counter[ReservationState]:
        """Return the tokens on engines that this instance's calls hold now.

        Safe for any thread: what a gang begun meanwhile holds may be left out.
        """
        tokens: Counter[ReservationState] = Counter()
        for gang in list(self.gangs.values()):
            for ticket in gang.reservations:
                state = ticket.state(now)
                if state is not None:
                    tokens[state] += ticket.tokens
        return tokens

    def begin(
        self, place: Assignment, record: RequestRecord, context: Context
    ) -> Placement:
        """Reserve what a place needs; `Placed` or `PlacementFailed` follows."""
        request_id = record.request_id
        self._dissolve(request_id, context)
        if not self.id_prefix:
            instance = context.state.identity.instance
            self.id_prefix = f"{instance}.{context.random.getrandbits(48):012x}"
        tickets = engine_reservations(place.reservations, self.new_id)
        attempt = AttemptNumber(len(record.attempts) + 1)
        gang = Gang(request_id, attempt, place, context.now, tickets)
        self.gangs[request_id] = gang
        self._advance(gang, record, context)
        return PlacementPending()

    def _advance(self, gang: Gang, record: RequestRecord, context: Context) -> None:
        """Ask for what is missing, or let the request be sent."""
        # The process may have been frozen between two steps: what was reserved first
        # may have run out, and the engine would refuse the request, or another
        # gang would hold the memory by now.
        if context.now - gang.begun_at > RESERVE_TIMEOUT:
            self._fail(gang, context)
            return
        # An engine may say that it leaves while memory is reserved, here or at
        # others. Sent all the same, the request would reach it after its time.
        if not all(self._takes_work(name, context.now) for name in gang.engines()):
            self._fail(gang, context, pause=False)
            return
        missing = gang.next_unreserved()
        if missing is not None:
            self._request_memory(gang, missing, context)
            return
        if self.retry is not None and not self.retry.charge_retry(
            record.request, context
        ):
            self._dissolve(gang.request_id, context)
            refuse = Refuse(
                Problem(ProblemCode.OVERLOADED, RETRY_BUDGET_EXHAUSTED, RETRY_AFTER)
            )
            context.post(PlacementFailed(gang.request_id, refuse))
            return
        gang.step = GangStep.RUNNING
        self.gang_failures.pop(gang.request_id, None)
        place = place_on(gang.place, record.request, gang.helpers())
        context.post(Placed(gang.request_id, place))

    def _takes_work(self, endpoint: EndpointId, now: timedelta) -> bool:
        """Return whether an engine still gets new work."""
        if self.fleet is None:
            return True
        known = self.fleet.endpoints.get(endpoint)
        return known is not None and known.usable(now)

    def _request_memory(
        self, gang: Gang, ticket: EngineReservation, context: Context
    ) -> None:
        """Reserve, or renew what is reserved: that is the same order."""
        ticket.mark_requested(context.now)
        context.emit(
            ReserveMemory(
                request_id=gang.request_id,
                reservation=ticket.reservation_id,
                endpoint=ticket.endpoint,
                address=ticket.address,
                tokens=ticket.tokens,
                time_to_live=self.reservation_ttl,
            )
        )

    def _fail(self, gang: Gang, context: Context, pause: bool = True) -> None:
        """Release everything; give the request back to the queue, or give up.

        Parameters
        ----------
        pause : bool
            Whether it should wait before it is placed anew, as memory is short.
        """
        request_id = gang.request_id
        self._dissolve(request_id, context)
        failures = self.gang_failures.get(request_id, 0) + 1
        self.gang_failures[request_id] = failures
        if pause:
            mean = min(MAX_BACKOFF, FIRST_BACKOFF * 2 ** (failures - 1))
            spread = 0.75 + 0.5 * context.random.random()
            self.backoff_until[request_id] = context.now + mean * spread
        refuse = None
        if failures >= MAX_GANG_FAILURES:
            detail = f"memory was not reserved {MAX_GANG_FAILURES} times"
            refuse = Refuse(Problem(ProblemCode.OVERLOADED, detail, RETRY_AFTER))
        context.post(PlacementFailed(request_id, refuse))

    def _dissolve(self, request_id: RequestId, context: Context) -> None:
        """Release what a request may hold.

        That an order got no answer doesn't mean that it wasn't carried out; only
        what the engine itself denied needs no release.
        """
        gang = self.gangs.pop(request_id, None)
        if gang is None:
            return
        for ticket in gang.reservations:
            if ticket.requested_at is not None and not ticket.denied:
                self._release(ticket, context)

    def _release(self, ticket: EngineReservation, context: Context) -> None:
        kind = HoldingKind.RESERVATION
        context.emit(
            FreeOwnHolding(ticket.endpoint, ticket.address, kind, ticket.reservation_id)
        )

    def _find(
        self, request_id: RequestId, reservation: ReservationId
    ) -> tuple[Gang, EngineReservation] | None:
        """Return a ticket with its gang; late answers find none."""
        gang = self.gangs.get(request_id)
        ticket = None if gang is None else gang.find_reservation(reservation)
        return None if gang is None or ticket is None else (gang, ticket)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Take the next step."""

    @handle.register
    def _(self, message: MemoryReserved, context: Context) -> None:
        found = self._find(message.request_id, message.reservation)
        record = context.state.requests.get(message.request_id)
        if found is None or record is None:
            return
        gang, ticket = found
        ticket.confirm(self.reservation_ttl)
        if gang.step is GangStep.RESERVING:
            self._advance(gang, record, context)

    @handle.register
    def _(self, message: ReservationFailed, context: Context) -> None:
        found = self._find(message.request_id, message.reservation)
        record = context.state.requests.get(message.request_id)
        if found is None or record is None:
            return
        gang, ticket = found
        ticket.awaiting_answer = False
        ticket.denied = message.failure in {
            GangStepFailure.NO_MEMORY,
            GangStepFailure.REFUSED,
        }
        if gang.step is GangStep.RUNNING:
            ticket.retry_not_before = context.now + RENEWAL_RETRY_DELAY
        elif message.failure is GangStepFailure.LOST:
            self._retry_with_new_id(gang, ticket, record, context)
        else:
            self._record_shortage(ticket, message.failure, context.now)
            self._fail(gang, context, message.failure is GangStepFailure.NO_MEMORY)

    def _retry_with_new_id(
        self,
        gang: Gang,
        ticket: EngineReservation,
        record: RequestRecord,
        context: Context,
    ) -> None:
        """Ask again, after an order that got no answer, under another id.

        The first order may be carried out seconds later, and would set the end of
        this memory back to what it was then, amid the answer. Under its own id it
        finds its time over.
        """
        self._release(ticket, context)
        ticket.reservation_id = self.new_id()
        ticket.requested_at = None
        self._advance(gang, record, context)

    def _record_shortage(
        self, ticket: EngineReservation, failure: GangStepFailure, now: timedelta
    ) -> None:
        self.shortage_until[ticket.endpoint] = now + SHORTAGE_PERIOD
        if failure is GangStepFailure.UNREACHED and self.fleet is not None:
            known = self.fleet.endpoints.get(ticket.endpoint)
            if known is not None:
                known.note_unreached(now)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        for gang in list(self.gangs.values()):
            if gang.step is GangStep.RUNNING:
                self._renew_due(gang, context)
            elif context.now - gang.begun_at > RESERVE_TIMEOUT:
                self._record_silent_engine(gang, context.now)
                self._fail(gang, context)

    def _renew_due(self, gang: Gang, context: Context) -> None:
        last = min(RENEWAL_MARGIN, self.reservation_ttl / 2)
        for ticket in gang.reservations:
            if ticket.renewal_due(context.now, last):
                self._request_memory(gang, ticket, context)

    def _record_silent_engine(self, gang: Gang, now: timedelta) -> None:
        missing = gang.next_unreserved()
        if missing is not None:
            self.shortage_until[missing.endpoint] = now + SHORTAGE_PERIOD

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        gang = self.gangs.get(message.request_id)
        # The next attempt may have a gang already; that one stays.
        if gang is not None and gang.attempt == message.attempt:
            self._dissolve(message.request_id, context)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        request_id = message.record.request_id
        self._dissolve(request_id, context)
        self.backoff_until.pop(request_id, None)
        self.gang_failures.pop(request_id, None)

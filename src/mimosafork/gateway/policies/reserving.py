"""Reserves KV cache memory on several engines for prompts too large for one engine.

All memory is reserved before the request is sent, one engine at a time in an order that
is the same on all instances. If one engine has no capacity, the other reservations are
released and the request is placed again. So a gang never waits while holding memory.

Reservations have a short time to live and are renewed while needed. An instance that is
killed, frozen or partitioned between any two steps leaks memory only for that time.
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
from ...kernel.messages.routing import ZoneEvacuated
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
from .home_regions import HomeRegions
from .reservations import (
    RENEWAL_MARGIN,
    EngineReservation,
    Gang,
    GangStep,
    ReservationState,
    engine_reservations,
)
from .retrying import RETRY_BUDGET_EXHAUSTED, BudgetedRetry

RESERVATION_TTL = timedelta(milliseconds=3750)
"""Time to live of a reservation. Memory must be free within four seconds after an
instance is killed, and only this expiry ensures it. Nearly all requests end before a
renewal is due."""

RENEWAL_RETRY_DELAY = timedelta(milliseconds=200)
"""Delay before a failed renewal is repeated."""

RESERVE_TIMEOUT = timedelta(milliseconds=1200)
"""An incomplete gang is abandoned after this time: its first reservation must still be
held when the request arrives, with time left to renew it."""

MAX_LOST_ORDERS = 5
"""Unanswered orders for one reservation after which its engine is avoided. Time-outs of
so many last longer than `RESERVE_TIMEOUT`; an engine that breaks off its connections
would be sent hundreds of orders in that time."""

FIRST_BACKOFF = timedelta(milliseconds=100)
"""Mean backoff before a request is placed again, doubled each time and randomized so
that two gangs that collided once do not collide again."""

MAX_BACKOFF = timedelta(milliseconds=800)

MAX_GANG_FAILURES = 8
"""Failed gangs after which a request is rejected: memory is not available then, and the
orders of each gang cost the engines time."""

RETRY_AFTER = timedelta(seconds=1)
SHORTAGE_PERIOD = timedelta(seconds=1)
"""Time for which an engine without free memory or without an answer is avoided."""


@register("memory-keeper")
class MemoryKeeper(Plugin):
    """Reserves, renews and releases memory for placements.

    Attributes
    ----------
    longest_hold : timedelta
        Maximum time to live that engines grant; set from the settings.
    """

    def __init__(self) -> None:
        self.fleet: FleetView | None = None
        self.retry: BudgetedRetry | None = None
        self.homes = HomeRegions()
        self.longest_hold = RESERVATION_TTL
        self.gangs: dict[RequestId, Gang] = {}
        self.backoff_until: dict[RequestId, timedelta] = {}
        self.gang_failures: dict[RequestId, int] = {}
        self.shortage_until: dict[EndpointId, timedelta] = {}
        self.id_prefix = ""
        self.id_numbers = count(1)

    def resolve_dependencies(self, find: PluginFinder) -> None:
        """Look up the plug-ins that this one uses."""
        self.fleet = find(FleetView)
        self.retry = find(BudgetedRetry)
        self.homes = find(HomeRegions) or self.homes

    def new_id(self) -> ReservationId:
        """Return an id that no reservation of any instance has used.

        Two requests with the same id would write to the same memory. Ids consist of a
        prefix that is random per incarnation and a sequence number, so they are unique
        across attempts, requests and earlier incarnations of this instance.
        """
        return ReservationId(f"{self.id_prefix}.{next(self.id_numbers)}")

    @property
    def reservation_ttl(self) -> timedelta:
        """Time to live of new reservations."""
        return min(RESERVATION_TTL, self.longest_hold)

    @property
    def renewal_margin(self) -> timedelta:
        """Remaining time at which a reservation is renewed."""
        return min(RENEWAL_MARGIN, self.reservation_ttl / 2)

    def is_backing_off(self, request_id: RequestId, now: timedelta) -> bool:
        """Return whether a request is in backoff and must not be placed now."""
        return now < self.backoff_until.get(request_id, now)

    def engines_short_of_memory(self, now: timedelta) -> frozenset[EndpointId]:
        """Return the engines that recently had no memory for a reservation."""
        self.shortage_until = {
            endpoint: until
            for endpoint, until in self.shortage_until.items()
            if now < until
        }
        return frozenset(self.shortage_until)

    def reserved_tokens(self, now: timedelta) -> Counter[ReservationState]:
        """Return the tokens reserved on engines by calls of this instance.

        Safe for any thread: gangs that start concurrently may be missing.
        """
        tokens: Counter[ReservationState] = Counter()
        for gang in list(self.gangs.values()):
            for reservation in gang.reservations:
                state = reservation.state(now)
                if state is not None:
                    tokens[state] += reservation.tokens
        return tokens

    def begin(
        self, place: Assignment, record: RequestRecord, context: Context
    ) -> Placement:
        """Start to reserve memory; `Placed` or `PlacementFailed` follows."""
        request_id = record.request_id
        self._dissolve(request_id, context)
        if not self.id_prefix:
            instance = context.state.identity.instance
            self.id_prefix = f"{instance}.{context.random.getrandbits(48):012x}"
        reservations = engine_reservations(place.reservations, self.new_id)
        attempt = AttemptNumber(len(record.attempts) + 1)
        gang = Gang(request_id, attempt, place, context.now, reservations)
        self.gangs[request_id] = gang
        self._advance(gang, record, context)
        return PlacementPending()

    def _advance(self, gang: Gang, record: RequestRecord, context: Context) -> None:
        """Request the next missing reservation, or send the request."""
        # The process may have been frozen between two steps. The first reservation
        # may have expired, so that the engine would reject the request or another gang
        # holds the memory.
        if context.now - gang.begun_at > RESERVE_TIMEOUT:
            self._fail(gang, context)
            return
        # An engine may start draining while memory is reserved, here or on others. The
        # request would reach it too late.
        engines = gang.engines()
        usable = all(self._takes_work(name, context.now) for name in engines)
        if not usable or not self.homes.allows_endpoints(record.request, engines):
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
        """Return whether an engine still accepts new requests."""
        if self.fleet is None:
            return True
        known = self.fleet.endpoints.get(endpoint)
        if known is None or self.fleet.is_evacuated(endpoint):
            return False
        return known.usable(now)

    def _request_memory(
        self, gang: Gang, reservation: EngineReservation, context: Context
    ) -> None:
        """Send a reserve order; a renewal uses the same order."""
        age = gang.time_since_host_answered(reservation, context.now)
        time_to_live = self.reservation_ttl - age
        reservation.mark_requested(context.now, time_to_live)
        context.emit(
            ReserveMemory(
                request_id=gang.request_id,
                reservation=reservation.reservation_id,
                endpoint=reservation.endpoint,
                address=reservation.address,
                tokens=reservation.tokens,
                time_to_live=time_to_live,
                renewal=gang.step is GangStep.RUNNING,
            )
        )

    def _fail(self, gang: Gang, context: Context, pause: bool = True) -> None:
        """Release all reservations; requeue the request, or reject it.

        Parameters
        ----------
        pause : bool
            Whether to back off before the next placement, as memory is short.
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
        """Release all reservations that a request may hold.

        An unanswered order may have been executed, so only reservations that the engine
        denied are skipped.
        """
        gang = self.gangs.pop(request_id, None)
        if gang is None:
            return
        for reservation in gang.reservations:
            if reservation.requested_at is not None and not reservation.denied:
                self._release(reservation, context)

    def _release(self, reservation: EngineReservation, context: Context) -> None:
        kind = HoldingKind.RESERVATION
        context.emit(
            FreeOwnHolding(
                reservation.endpoint,
                reservation.address,
                kind,
                reservation.reservation_id,
            )
        )

    def _find(
        self, request_id: RequestId, reservation_id: ReservationId
    ) -> tuple[Gang, EngineReservation] | None:
        """Return a reservation with its gang; None for late answers."""
        gang = self.gangs.get(request_id)
        reservation = None if gang is None else gang.find_reservation(reservation_id)
        return None if gang is None or reservation is None else (gang, reservation)

    @singledispatchmethod
    def handle(self, message: Message, context: Context) -> None:
        """Advance, renew or dissolve gangs."""

    @handle.register
    def _(self, message: MemoryReserved, context: Context) -> None:
        found = self._find(message.request_id, message.reservation)
        record = context.state.requests.get(message.request_id)
        if found is None or record is None:
            return
        gang, reservation = found
        reservation.confirm()
        if gang.step is GangStep.RESERVING:
            self._advance(gang, record, context)
            return
        for each in gang.renewals_after(reservation, context.now, self.renewal_margin):
            self._request_memory(gang, each, context)

    @handle.register
    def _(self, message: ReservationFailed, context: Context) -> None:
        found = self._find(message.request_id, message.reservation)
        record = context.state.requests.get(message.request_id)
        if found is None or record is None:
            return
        gang, reservation = found
        reservation.awaiting_answer = False
        reservation.denied = message.failure in {
            GangStepFailure.NO_MEMORY,
            GangStepFailure.REFUSED,
        }
        if gang.step is GangStep.RUNNING:
            reservation.retry_not_before = context.now + RENEWAL_RETRY_DELAY
        elif message.failure is GangStepFailure.LOST:
            self._retry_with_new_id(gang, reservation, record, context)
        else:
            self._record_shortage(reservation, message.failure, context.now)
            self._fail(gang, context, message.failure is GangStepFailure.NO_MEMORY)

    def _retry_with_new_id(
        self,
        gang: Gang,
        reservation: EngineReservation,
        record: RequestRecord,
        context: Context,
    ) -> None:
        """Repeat an unanswered reservation order under a new id.

        The first order may be executed seconds later and would move the expiry of the
        reservation back during the response. Under its own id it has already expired.
        """
        reservation.lost_orders += 1
        if reservation.lost_orders >= MAX_LOST_ORDERS:
            self._record_shortage(reservation, GangStepFailure.LOST, context.now)
            self._fail(gang, context)
            return
        self._release(reservation, context)
        reservation.reservation_id = self.new_id()
        reservation.requested_at = None
        self._advance(gang, record, context)

    def _record_shortage(
        self, reservation: EngineReservation, failure: GangStepFailure, now: timedelta
    ) -> None:
        self.shortage_until[reservation.endpoint] = now + SHORTAGE_PERIOD
        if failure is GangStepFailure.UNREACHED and self.fleet is not None:
            known = self.fleet.endpoints.get(reservation.endpoint)
            if known is not None:
                known.note_unreached(now)

    @handle.register
    def _(self, message: ZoneEvacuated, context: Context) -> None:
        # Waiting for the next answer would delay the call, up to the time limit.
        for gang in list(self.gangs.values()):
            if gang.step is GangStep.RESERVING and not all(
                self._takes_work(name, context.now) for name in gang.engines()
            ):
                self._fail(gang, context, pause=False)

    @handle.register
    def _(self, message: Tick, context: Context) -> None:
        for gang in list(self.gangs.values()):
            if gang.step is GangStep.RUNNING:
                self._renew_due(gang, context)
            elif context.now - gang.begun_at > RESERVE_TIMEOUT:
                self._record_silent_engine(gang, context.now)
                self._fail(gang, context)

    def _renew_due(self, gang: Gang, context: Context) -> None:
        for reservation in gang.renewals_due(context.now, self.renewal_margin):
            self._request_memory(gang, reservation, context)

    def _record_silent_engine(self, gang: Gang, now: timedelta) -> None:
        missing = gang.next_unreserved()
        if missing is not None:
            self.shortage_until[missing.endpoint] = now + SHORTAGE_PERIOD

    @handle.register
    def _(self, message: AttemptFailed, context: Context) -> None:
        gang = self.gangs.get(message.request_id)
        # The next attempt may already have its own gang, which must be kept.
        if gang is not None and gang.attempt == message.attempt:
            self._dissolve(message.request_id, context)

    @handle.register
    def _(self, message: RequestConcluded, context: Context) -> None:
        request_id = message.record.request_id
        self._dissolve(request_id, context)
        self.backoff_until.pop(request_id, None)
        self.gang_failures.pop(request_id, None)

"""State of the KV cache memory reserved on several engines for one attempt."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AttemptNumber, EndpointId, RequestId, ReservationId
from ...kernel.messages.dispatch import PrefillHelper
from ...placement.choice import Assignment, Reservation

RENEWAL_MARGIN = timedelta(milliseconds=1100)
"""A reservation is renewed when this much of its time is left. Not earlier, because an
order that is executed seconds after its arrival counts from its arrival and undoes
later renewals; not later, so that an order without an answer can be repeated."""


class GangStep(Enum):
    """Progress of a gang."""

    RESERVING = "reserving"
    RUNNING = "running"


class ReservationState(Enum):
    """Known state of a requested reservation."""

    HELD = "held"
    """Confirmed by the engine and not expired."""
    UNSURE = "unsure"
    """Possibly held: the order is unanswered or the reservation may have expired."""


class EngineReservation(msgspec.Struct):
    """Reservation of memory on one engine.

    Attributes
    ----------
    requested_at : timedelta or None
        Time of the last reserve or renew order; None before the first.
    time_to_live : timedelta
        Requested with that order.
    held_until : timedelta or None
        Guaranteed to be held until then; None while it is unconfirmed.
    awaiting_answer : bool
        Whether an order is unanswered.
    denied : bool
        Whether the engine has reported that it is not held.
    retry_not_before : timedelta
        Earliest time of the next renewal.
    lost_orders : int
        Number of orders that got no answer.
    """

    reservation_id: ReservationId
    endpoint: EndpointId
    address: str
    tokens: int
    requested_at: timedelta | None = None
    time_to_live: timedelta = timedelta(0)
    held_until: timedelta | None = None
    awaiting_answer: bool = False
    denied: bool = False
    retry_not_before: timedelta = timedelta(0)
    lost_orders: int = 0

    def mark_requested(self, now: timedelta, time_to_live: timedelta) -> None:
        """Record that an order is sent."""
        self.requested_at = now
        self.time_to_live = time_to_live
        self.awaiting_answer = True

    def confirm(self) -> None:
        """Record that it is held for its time to live from the time of the order."""
        assert self.requested_at is not None
        self.awaiting_answer = False
        self.held_until = self.requested_at + self.time_to_live

    def state(self, now: timedelta) -> ReservationState | None:
        """Return the known state; None if it is certainly not held."""
        if self.requested_at is None or self.denied:
            return None
        sure = self.held_until is not None and now < self.held_until
        return ReservationState.HELD if sure else ReservationState.UNSURE

    def renewable(self, now: timedelta) -> bool:
        """Return whether it may be renewed.

        An expired reservation is not renewed: the engine has aborted the request that
        used it, and would reserve memory that nobody uses.
        """
        if self.awaiting_answer or self.denied or self.held_until is None:
            return False
        return self.retry_not_before <= now < self.held_until

    def renewal_due(self, now: timedelta, last: timedelta) -> bool:
        """Return whether it should be renewed.

        Parameters
        ----------
        last : timedelta
            Remaining time at which a renewal is due.
        """
        if self.held_until is None or not self.renewable(now):
            return False
        return self.held_until - last <= now


class Gang(msgspec.Struct):
    """The reservations of one attempt, in the order in which they are requested.

    Attributes
    ----------
    attempt : AttemptNumber
        Number of the attempt, assigned before it is sent.
    """

    request_id: RequestId
    attempt: AttemptNumber
    place: Assignment
    begun_at: timedelta
    reservations: list[EngineReservation] = msgspec.field(default_factory=list)
    step: GangStep = GangStep.RESERVING

    def next_unreserved(self) -> EngineReservation | None:
        """Return the first unconfirmed reservation; None if all are held."""
        return next(
            (each for each in self.reservations if each.held_until is None), None
        )

    def find_reservation(
        self, reservation_id: ReservationId
    ) -> EngineReservation | None:
        """Return a reservation of this gang by its id."""
        found = (
            each for each in self.reservations if each.reservation_id == reservation_id
        )
        return next(found, None)

    @property
    def host_reservation(self) -> EngineReservation | None:
        """Reservation on the engine that runs the request; None if it has none."""
        host = self.place.host
        return next((each for each in self.reservations if each.endpoint == host), None)

    def renewals_due(self, now: timedelta, last: timedelta) -> list[EngineReservation]:
        """Return the reservations to renew now; the host's goes before all others.

        A host that lost power ends the request without a word. If the other engines
        were asked before it has answered, they would hold memory that nobody uses for
        another time to live.
        """
        due = [each for each in self.reservations if each.renewal_due(now, last)]
        host = self.host_reservation
        if not due or host is None:
            return due
        return [host] if host.renewable(now) else []

    def renewals_after(
        self, renewed: EngineReservation, now: timedelta, last: timedelta
    ) -> list[EngineReservation]:
        """Return the reservations to renew once the host's has been."""
        host = self.host_reservation
        if renewed is not host or host.held_until is None or now >= host.held_until:
            return []
        return [each for each in self.reservations if each.renewal_due(now, last)]

    def time_since_host_answered(
        self, reservation: EngineReservation, now: timedelta
    ) -> timedelta:
        """Return the age of the latest proof that the host runs, for another engine."""
        host = self.host_reservation
        if self.step is GangStep.RESERVING or host in (None, reservation):
            return timedelta(0)
        assert host is not None
        assert host.requested_at is not None
        return now - host.requested_at

    def engines(self) -> set[EndpointId]:
        """Return the host and all its helpers."""
        return {self.place.host, *(each.endpoint for each in self.place.helpers)}

    def helpers(self) -> tuple[PrefillHelper, ...]:
        """Return the helpers as they are sent to the host.

        The host's own memory goes first, then that of others, as memory is filled in
        this order. Helpers that only compute prefill go last.
        """
        names = {each.endpoint: each.reservation_id for each in self.reservations}
        place = self.place
        found = []
        if place.host in names:
            found.append(PrefillHelper(place.host, place.address, names[place.host]))
        others = sorted(place.helpers, key=lambda each: each.endpoint not in names)
        for each in others:
            found.append(
                PrefillHelper(each.endpoint, each.address, names.get(each.endpoint))
            )
        return tuple(found)


def engine_reservations(
    reservations: tuple[Reservation, ...], new_id: Callable[[], ReservationId]
) -> list[EngineReservation]:
    """Return reservations in an order that is the same on all instances.

    Of two gangs that compete for the same engines, the one that reserves the first
    engine is not blocked by the other, so deadlocks cannot occur.

    Parameters
    ----------
    new_id : callable
        Returns a reservation id that was never used before.
    """
    ordered = sorted(reservations, key=lambda each: each.endpoint)
    return [
        EngineReservation(new_id(), each.endpoint, each.address, each.tokens)
        for each in ordered
    ]

"""Memory that is reserved on several engines for one attempt of a request."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AttemptNumber, EndpointId, RequestId, ReservationId
from ...kernel.messages.dispatch import PrefillHelper
from ...placement.choice import Assignment, Reservation


class GangStep(Enum):
    """How far a gang is."""

    RESERVING = "reserving"
    RUNNING = "running"


class ReservationState(Enum):
    """What is known of memory that was asked for."""

    HELD = "held"
    """The engine has said so, and its time is not over."""
    UNSURE = "unsure"
    """It may be held: its order is not answered, or its time may be over."""


class EngineReservation(msgspec.Struct):
    """Memory on one engine, and what is known of it.

    Attributes
    ----------
    asked_at : timedelta or None
        When it was last asked for, first or again; None before.
    held_until : timedelta or None
        It is surely held until then; None while it isn't held.
    open : bool
        An order for it is not answered yet.
    lost : bool
        The engine has said that it isn't held.
    not_before : timedelta
        It is not asked for again before.
    """

    reservation_id: ReservationId
    endpoint: EndpointId
    address: str
    tokens: int
    requested_at: timedelta | None = None
    held_until: timedelta | None = None
    awaiting_answer: bool = False
    denied: bool = False
    retry_not_before: timedelta = timedelta(0)

    def mark_requested(self, now: timedelta) -> None:
        """Note that an order for it is sent."""
        self.requested_at = now
        self.awaiting_answer = True

    def confirm(self, hold: timedelta) -> None:
        """Note that it is held, for `hold` from when it was asked for at the least."""
        assert self.requested_at is not None
        self.awaiting_answer = False
        self.held_until = self.requested_at + hold

    def state(self, now: timedelta) -> ReservationState | None:
        """Return what is known of it; None if it is surely not held."""
        if self.requested_at is None or self.denied:
            return None
        sure = self.held_until is not None and now < self.held_until
        return ReservationState.HELD if sure else ReservationState.UNSURE

    def renewal_due(self, now: timedelta, last: timedelta) -> bool:
        """Return whether it should be asked for again.

        One that has run out isn't: its memory would be set aside anew, and the
        request that used it has been cut off.

        Parameters
        ----------
        last : timedelta
            How much of its time may be left.
        """
        if self.awaiting_answer or self.denied or self.held_until is None:
            return False
        if now < self.retry_not_before:
            return False
        return self.held_until - last <= now < self.held_until


class Gang(msgspec.Struct):
    """The reservations of one attempt, in the order in which they are asked for.

    Attributes
    ----------
    attempt : AttemptNumber
        Number that the attempt has, or will have once it is sent.
    """

    request_id: RequestId
    attempt: AttemptNumber
    place: Assignment
    begun_at: timedelta
    reservations: list[EngineReservation] = msgspec.field(default_factory=list)
    step: GangStep = GangStep.RESERVING

    def next_unreserved(self) -> EngineReservation | None:
        """Return the first ticket that isn't held; None if all are."""
        return next(
            (each for each in self.reservations if each.held_until is None), None
        )

    def find_reservation(self, reservation: ReservationId) -> EngineReservation | None:
        """Return a ticket of this gang by its id."""
        found = (
            each for each in self.reservations if each.reservation_id == reservation
        )
        return next(found, None)

    def engines(self) -> set[EndpointId]:
        """Return the host and all that help it."""
        return {self.place.host, *(each.endpoint for each in self.place.helpers)}

    def helpers(self) -> tuple[PrefillHelper, ...]:
        """Return the helpers as the host is told of them.

        Its own memory goes first, then that of others, as it is filled in turn; those
        that only read go last.
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
    """Return tickets in the order that all instances share.

    So of two gangs that want the same engines, the one that got the first of these is
    not stopped by the other, and none waits for what the other holds.

    Parameters
    ----------
    new_id : callable
        Returns an id that no reservation has had.
    """
    ordered = sorted(reservations, key=lambda each: each.endpoint)
    return [
        EngineReservation(new_id(), each.endpoint, each.address, each.tokens)
        for each in ordered
    ]

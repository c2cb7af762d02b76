"""Memory that is reserved on several engines for one attempt of a request."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from ...ids import AttemptNumber, EndpointId, RequestId, ReservationId
from ...kernel.messages.dispatch import PrefillHelper
from ...placement.choice import Assignment, Reservation


class Step(Enum):
    """How far a gang is."""

    RESERVING = "reserving"
    RUNNING = "running"


class HeldState(Enum):
    """What is known of memory that was asked for."""

    HELD = "held"
    """The engine has said so, and its time is not over."""
    UNSURE = "unsure"
    """It may be held: its order is not answered, or its time may be over."""


class Ticket(msgspec.Struct):
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

    reservation: ReservationId
    endpoint: EndpointId
    address: str
    tokens: int
    asked_at: timedelta | None = None
    held_until: timedelta | None = None
    open: bool = False
    lost: bool = False
    not_before: timedelta = timedelta(0)

    def ask(self, now: timedelta) -> None:
        """Note that an order for it is sent."""
        self.asked_at = now
        self.open = True

    def confirm(self, hold: timedelta) -> None:
        """Note that it is held, for `hold` from when it was asked for at the least."""
        assert self.asked_at is not None
        self.open = False
        self.held_until = self.asked_at + hold

    def state(self, now: timedelta) -> HeldState | None:
        """Return what is known of it; None if it is surely not held."""
        if self.asked_at is None or self.lost:
            return None
        sure = self.held_until is not None and now < self.held_until
        return HeldState.HELD if sure else HeldState.UNSURE

    def wants_renewal(self, now: timedelta, last: timedelta) -> bool:
        """Return whether it should be asked for again.

        One that has run out isn't: its memory would be set aside anew, and the
        request that used it has been cut off.

        Parameters
        ----------
        last : timedelta
            How much of its time may be left.
        """
        if self.open or self.lost or self.held_until is None:
            return False
        if now < self.not_before:
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
    tickets: list[Ticket] = msgspec.field(default_factory=list)
    step: Step = Step.RESERVING

    def next_missing(self) -> Ticket | None:
        """Return the first ticket that isn't held; None if all are."""
        return next((each for each in self.tickets if each.held_until is None), None)

    def ticket(self, reservation: ReservationId) -> Ticket | None:
        """Return a ticket of this gang by its id."""
        found = (each for each in self.tickets if each.reservation == reservation)
        return next(found, None)

    def engines(self) -> set[EndpointId]:
        """Return the host and all that help it."""
        return {self.place.host, *(each.endpoint for each in self.place.helpers)}

    def helpers(self) -> tuple[PrefillHelper, ...]:
        """Return the helpers as the host is told of them.

        Its own memory goes first, then that of others, as it is filled in turn; those
        that only read go last.
        """
        names = {each.endpoint: each.reservation for each in self.tickets}
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


def tickets_of(
    reservations: tuple[Reservation, ...], new_id: Callable[[], ReservationId]
) -> list[Ticket]:
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
        Ticket(new_id(), each.endpoint, each.address, each.tokens) for each in ordered
    ]

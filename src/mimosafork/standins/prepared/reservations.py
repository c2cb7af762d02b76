"""Memory that is set aside under a name, for a while."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from typing import Any

from .admission import Admission

MAX_RESERVATIONS = 64


class TicketState(Enum):
    """What becomes of memory that is set aside."""

    WAITING = "waiting"
    HELD = "held"
    USED = "used"


@dataclass(slots=True, eq=False)
class Ticket:
    """Memory under a name.

    Attributes
    ----------
    ends_s : float
        When it is freed, on the steady clock.
    users : int
        Requests that use it; more than one breaks a rule.
    lost : asyncio.Event
        Set when it is freed, so that the request that uses it is cut off.
    """

    id: str
    tokens: int
    made_s: float
    ends_s: float
    granted: bool = False
    users: int = 0
    lost: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def state(self) -> TicketState:
        """Whether it waits for memory, holds it, or serves a request."""
        if not self.granted:
            return TicketState.WAITING
        return TicketState.USED if self.users else TicketState.HELD


class Reservations:
    """The tickets of one life of an engine.

    Parameters
    ----------
    admission : Admission
        Whose memory is set aside.
    """

    def __init__(self, admission: Admission) -> None:
        self.admission = admission
        # Memory that comes free goes to those that wait for it before requests do.
        admission.on_freed = self.grant
        self.tickets: dict[str, Ticket] = {}
        self.shared: list[str] = []

    def reserve(
        self, name: str, tokens: int, hold_s: float, wait: bool, now_s: float
    ) -> int:
        """Set memory aside, or renew what is; return the answer's status."""
        known = self.tickets.get(name)
        if known is not None:
            known.ends_s = now_s + hold_s
            return HTTPStatus.OK if known.granted else HTTPStatus.ACCEPTED
        if self.admission.memory is None or tokens > self.admission.memory:
            return HTTPStatus.BAD_REQUEST
        fits = tokens <= self.admission.free and not self.admission.held_back
        full = len(self.tickets) >= MAX_RESERVATIONS
        if full or not (fits or wait):
            return HTTPStatus.CONFLICT
        self.tickets[name] = Ticket(name, tokens, now_s, now_s + hold_s)
        self.grant()
        granted = self.tickets[name].granted
        return HTTPStatus.OK if granted else HTTPStatus.ACCEPTED

    def release(self, name: str) -> None:
        """Free a ticket; harmless if there is none."""
        ticket = self.tickets.pop(name, None)
        if ticket is None:
            return
        if ticket.granted:
            self.admission.set_aside -= ticket.tokens
        ticket.lost.set()
        self.grant()

    def expire(self, now_s: float) -> None:
        """Free the tickets whose time is over."""
        for ticket in list(self.tickets.values()):
            if ticket.ends_s <= now_s:
                self.release(ticket.id)

    def grant(self) -> None:
        """Give free memory to those that wait, in turn; then admit requests."""
        for ticket in self.tickets.values():
            if ticket.granted:
                continue
            if ticket.tokens > self.admission.free:
                break
            ticket.granted = True
            self.admission.set_aside += ticket.tokens
        waits = any(not ticket.granted for ticket in self.tickets.values())
        self.admission.held_back = waits
        self.admission.fill()

    def granted(self, name: str) -> Ticket | None:
        """Return a ticket whose memory is set aside; None for all others."""
        ticket = self.tickets.get(name)
        return ticket if ticket is not None and ticket.granted else None

    @property
    def free(self) -> int:
        """Free tokens; 0 while a reservation waits."""
        return 0 if self.admission.held_back else self.admission.free

    def use(self, ticket: Ticket) -> None:
        """Let a request use a ticket, and note a second one at the same time."""
        ticket.users += 1
        if ticket.users > 1:
            self.shared.append(ticket.id)

    def unuse(self, ticket: Ticket) -> None:
        """End a request's use; the ticket stays."""
        ticket.users -= 1

    def report(self, now_s: float) -> list[dict[str, Any]]:
        """Return the tickets as they stand in a report."""
        return [
            {
                "id": ticket.id,
                "tokens": ticket.tokens,
                "state": ticket.state.value,
                "age-ms": int((now_s - ticket.made_s) * 1000),
            }
            for ticket in self.tickets.values()
        ]

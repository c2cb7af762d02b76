"""Engines that read a part of a prompt for the one that answers."""

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .http import Request
from .reservations import Ticket
from .words import HELPERS

if TYPE_CHECKING:
    from .engine import Engine

MAX_HELPERS = 16


@dataclass(frozen=True, slots=True)
class HelperEntry:
    """A helper that a request names, and the ticket there if it names one."""

    address: str
    ticket: str = ""


@dataclass(slots=True)
class HeldTicket:
    """A ticket, and the engine at which it is."""

    engine: "Engine"
    ticket: Ticket


@dataclass(slots=True)
class Fellows:
    """The helpers of one request."""

    engines: list["Engine"] = field(default_factory=list)
    held: list[HeldTicket] = field(default_factory=list)
    lives: list[asyncio.Event] = field(default_factory=list)
    ids: list[str] = field(default_factory=list)

    @property
    def losses(self) -> list[asyncio.Event]:
        """Events of which each one takes away what the request relies on."""
        return [*self.lives, *(each.ticket.lost for each in self.held)]

    def helper_lost(self) -> bool:
        """Say whether the life of a helper has ended."""
        return any(life.is_set() for life in self.lives)

    def lost_helper(self) -> str:
        """Return the id of the first helper whose life has ended."""
        return next(
            name
            for name, life in zip(self.ids, self.lives, strict=True)
            if life.is_set()
        )

    def enter(self) -> None:
        """Take their help and tickets, for as long as these lives last."""
        self.lives = [engine.ended for engine in self.engines]
        self.ids = [engine.id for engine in self.engines]
        for engine in self.engines:
            engine.helping += 1
        for each in self.held:
            each.engine.reservations.use(each.ticket)

    def leave(self) -> None:
        """Give their help and tickets back."""
        for engine in self.engines:
            engine.helping -= 1
        for each in self.held:
            each.engine.reservations.unuse(each.ticket)


def helpers_of(request: Request) -> list[HelperEntry]:
    """Return the helpers that a request names, at most `MAX_HELPERS`."""
    named = [each.strip() for each in request.header(HELPERS).split(",")]
    entries = [each.partition("/") for each in named if each]
    found = [HelperEntry(address, ticket) for address, _, ticket in entries]
    return found[:MAX_HELPERS]

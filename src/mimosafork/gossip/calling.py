"""Calling those who aren't known yet, and telling names."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

from ..ids import InstanceId
from .circle import Circle
from .members import Address, Identity
from .outbox import NAMES_A_DATAGRAM, Outbox, Outgoing
from .wire import Flag

STRANGERS_KEPT = 64
NAMES = 3 * NAMES_A_DATAGRAM
"""Names for one that asks or is new; in a large fleet it asks again."""


class Caller:
    """Says hello to strangers and seeds, and tells members the names of others.

    Parameters
    ----------
    seeds : iterable of Address
        Where instances may listen that aren't known by name.
    random : Random
        Picks whom names are told, and which.
    """

    def __init__(
        self,
        circle: Circle,
        outbox: Outbox,
        seeds: Iterable[Address],
        random: Random,
    ) -> None:
        self.circle = circle
        self.outbox = outbox
        self.seeds = tuple(each for each in seeds if each != circle.me.address)
        self.random = random
        self.strangers: dict[Address, None] = {}
        self.seeds_due = self.names_due = timedelta.min

    def meet(self, address: Address) -> None:
        """Have an unknown sender asked for its name."""
        if len(self.strangers) < STRANGERS_KEPT:
            self.strangers[address] = None

    def call(self, now: timedelta) -> list[Outgoing]:
        """Say hello to unknown senders, and to seeds that nobody is known to be at."""
        datagrams = [
            self.outbox.hello(address, Flag.WANT_NAME) for address in self.strangers
        ]
        self.strangers.clear()
        if now < self.seeds_due:
            return datagrams
        known = {each.identity.address for each in self.circle.roster.alive()}
        self.seeds_due = now + self.circle.timing.probe_gap(bool(known))
        return datagrams + [
            self.outbox.hello(seed, Flag.WANT_NAME)
            for seed in self.seeds
            if seed not in known
        ]

    def answer(self, name: InstanceId, address: Address) -> list[Outgoing]:
        """Tell names to one that asks or is new."""
        return self.outbox.hellos(address, self.some_names(name, NAMES))

    def tell_names(self, now: timedelta) -> list[Outgoing]:
        """Tell one partner some names now and then."""
        if now < self.names_due or not self.circle.partners:
            return []
        self.names_due = now + self.circle.timing.names_every
        name = self.random.choice(sorted(self.circle.partners))
        address = self.circle.roster.members[name].identity.address
        names = self.some_names(name, NAMES_A_DATAGRAM)
        return self.outbox.hellos(address, names)

    def some_names(self, besides: InstanceId, count: int) -> list[Identity]:
        """Return living members, at most so many."""
        alive = (each.identity for each in self.circle.roster.alive())
        others = [each for each in alive if each.instance != besides]
        return self.random.sample(others, min(len(others), count))

"""Deciding what to pull, and from whom."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta
from random import Random
from typing import cast

from ..telemetry.catalogue.gossip import GOSSIP_PULL_FAILED, GOSSIP_PULLED
from ..telemetry.logs import log_event
from .errors import PullError
from .kinds.configuration import CONFIGURATION, KEY, Versions
from .members import Address, Identity
from .pulls import Held, Holdings, Matter
from .roster import Roster

logger = logging.getLogger(__name__)

RETRY_AFTER = timedelta(seconds=1)

Pull = Callable[[Address, Matter], Awaitable[Held]]
Offered = Callable[[Matter, Held], None]


def version_of(versions: Versions, matter: Matter) -> int:
    """Return the version of a matter among those offered."""
    if matter is Matter.CONFIGURATION:
        return versions.configuration
    return versions.listing


class Puller:
    """Pulls what peers have newer, one peer after another until one hands it over.

    Parameters
    ----------
    holdings : Holdings
        What this instance has.
    pull : callable
        Asks a peer; raises `PullError`.
    offered : callable
        Takes what was handed over.
    """

    def __init__(
        self,
        roster: Roster,
        holdings: Holdings,
        pull: Pull,
        offered: Offered,
        random: Random,
    ) -> None:
        self.roster = roster
        self.holdings = holdings
        self.pull = pull
        self.offered = offered
        self.random = random
        self.wake = asyncio.Event()

    def look(self) -> None:
        """Look soon whether something is to be pulled."""
        self.wake.set()

    async def run(self) -> None:
        """Pull for good."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            behind = [matter for matter in Matter if not await self.catch_up(matter)]
            if behind:
                await asyncio.sleep(RETRY_AFTER.total_seconds())
                self.wake.set()

    def held(self, matter: Matter) -> int:
        """Return the version that this instance has."""
        held = self.holdings(matter)
        return held.version if held else 0

    def offers(self, matter: Matter) -> Iterator[tuple[int, Identity]]:
        """Return the living peers that have a newer version.

        What this instance holds is looked up once: it is put together from all rows of
        the list, and among 64 peers that was an eighth of an instance's processor time.
        """
        held = self.held(matter)
        for member in self.roster.alive():
            value = member.ledger.value(CONFIGURATION.number, KEY)
            version = version_of(cast(Versions, value), matter) if value else 0
            if version > held:
                yield version, member.identity

    async def catch_up(self, matter: Matter) -> bool:
        """Pull a matter if a peer has it newer; return whether none has it now."""
        offers = list(self.offers(matter))
        if not offers:
            return True
        self.random.shuffle(offers)
        offers.sort(key=lambda offer: -offer[0])
        for _, identity in offers:
            if await self.pulled(matter, identity):
                return True
        log_event(
            logger, GOSSIP_PULL_FAILED, matter=matter.name.lower(), version=offers[0][0]
        )
        return False

    async def pulled(self, matter: Matter, identity: Identity) -> bool:
        """Ask one peer; return whether it had something newer."""
        try:
            held = await self.pull(identity.address, matter)
        except PullError:
            return False
        if held.version <= self.held(matter):
            return False
        log_event(
            logger,
            GOSSIP_PULLED,
            matter=matter.name.lower(),
            version=held.version,
            peer=identity.instance,
        )
        self.offered(matter, held)
        return True

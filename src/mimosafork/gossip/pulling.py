"""Deciding what to pull, and from whom."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator
from datetime import timedelta
from random import Random
from typing import cast

from ..telemetry.catalogue.gossip import GOSSIP_PULL_FAILED, GOSSIP_PULLED
from ..telemetry.logs import log_event
from .errors import PullError
from .kinds.configuration import CONFIGURATION, KEY, Order, Versions, row_version
from .members import Address, Identity
from .pulls import Held, Holdings, Matter
from .roster import Roster

logger = logging.getLogger(__name__)

RETRY_AFTER = timedelta(seconds=1)
ASK_NEXT_AFTER = timedelta(milliseconds=200)
"""Time after which the next peer is asked as well. A peer whose machine is cut off
counts as alive for seconds and does not answer."""

Pull = Callable[[Address, Matter], Awaitable[Held]]
Offered = Callable[[Matter, Held], None]


def order_of(versions: Versions, matter: Matter) -> Order:
    """Return the order of a matter among those offered."""
    if matter is Matter.CONFIGURATION:
        return versions.configuration
    return versions.listing


class Puller:
    """Pulls what peers have newer, until one of them hands it over.

    Each matter is pulled by itself, so that a list that no peer hands over does not
    delay a configuration.

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
        self.wakes = {matter: asyncio.Event() for matter in Matter}

    def look(self) -> None:
        """Look soon whether something is to be pulled."""
        for wake in self.wakes.values():
            wake.set()

    async def run(self) -> None:
        """Pull for good."""
        # A fault in one pull ends both, and the other one's wake-up is lost with it.
        self.look()
        async with asyncio.TaskGroup() as group:
            for matter in Matter:
                group.create_task(self.keep_up(matter))

    async def keep_up(self, matter: Matter) -> None:
        """Pull one matter for good."""
        wake = self.wakes[matter]
        while True:
            await wake.wait()
            wake.clear()
            if not await self.catch_up(matter):
                await asyncio.sleep(RETRY_AFTER.total_seconds())
                wake.set()
            elif any(self.offers(matter)):
                # The peer with the newest version was slower than one with an older.
                wake.set()

    def held(self, matter: Matter) -> Order:
        """Return the order of what this instance has."""
        held = self.holdings(matter)
        return held.order if held else ()

    def offers(self, matter: Matter) -> Iterator[tuple[Order, Identity]]:
        """Return the living peers that have a newer version.

        What this instance holds is looked up once: it is put together from all rows of
        the list, and among 64 peers that was an eighth of an instance's processor time.
        """
        held = self.held(matter)
        for member in self.roster.alive():
            value = member.ledger.value(CONFIGURATION.number, KEY)
            order = order_of(cast(Versions, value), matter) if value else ()
            if order > held:
                yield order, member.identity

    async def catch_up(self, matter: Matter) -> bool:
        """Pull a matter if a peer has it newer; return whether none has it now."""
        offers = list(self.offers(matter))
        if not offers:
            return True
        self.random.shuffle(offers)
        offers.sort(key=lambda offer: offer[0], reverse=True)
        if await self.pulled_from_any([identity for _, identity in offers], matter):
            return True
        version = row_version(offers[0][0])
        log_event(
            logger, GOSSIP_PULL_FAILED, matter=matter.name.lower(), version=version
        )
        return False

    async def pulled_from_any(
        self, identities: Iterable[Identity], matter: Matter
    ) -> bool:
        """Ask peers in order until one has something newer; return whether one had.

        The next one is asked when the last one fails or is slow, which may still
        answer.
        """
        asking: set[asyncio.Task[bool]] = set()
        try:
            for identity in identities:
                asking.add(asyncio.create_task(self.pulled(matter, identity)))
                done, asking = await asyncio.wait(
                    asking,
                    timeout=ASK_NEXT_AFTER.total_seconds(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(each.result() for each in done):
                    return True
            for each in asyncio.as_completed(asking):
                if await each:
                    return True
            return False
        finally:
            for each in asking:
                each.cancel()
            await asyncio.gather(*asking, return_exceptions=True)

    async def pulled(self, matter: Matter, identity: Identity) -> bool:
        """Ask one peer; return whether it had something newer."""
        try:
            held = await self.pull(identity.address, matter)
        except PullError:
            return False
        if held.order <= self.held(matter):
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

"""Telling the peers what accounts want here, within the traffic budget."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ...kernel.context import Context
from ...kernel.fleet import DISTANT_PAST
from ...kernel.messages.limits import (
    INSTANCE_DEMAND,
    ZONE_DEMAND,
    AccountDemand,
    AccountKey,
)
from ...kernel.messages.peers import Publish, Scope
from .shares import EVEN_SHARE, Shares

MAX_ACCOUNTS = 12
"""Accounts that an instance tells of: those that want most of their limits."""

MAX_ZONE_ACCOUNTS = 150

ZONE_PACE_PER_INSTANCE = timedelta(milliseconds=40)
"""A zone's instances together write 25 values a second at most, of about 150 bytes:
under 4 KB/s, whatever the number of instances and accounts."""

MIN_PACE = timedelta(seconds=1)
FLEET_PACE = timedelta(seconds=3)
"""A zone's sums are 1.4 KB at most: under 0.5 KB/s for each zone."""

MIN_PUBLISHED_PART = 0.5
"""Demand, over the even part of an instance, from which it is told."""

NO_DEMAND = AccountDemand((), ())


@dataclass(frozen=True, slots=True)
class LocalDemand:
    """What an account asks this instance for, in tokens a second."""

    account: AccountKey
    demand: float
    limit: float


class DemandPublisher:
    """Publishes this instance's demand, and its zone's if it speaks for it."""

    def __init__(self, shares: Shares) -> None:
        self.shares = shares
        self.own = NO_DEMAND
        self.own_at = DISTANT_PAST
        self.zone = NO_DEMAND
        self.zone_at = DISTANT_PAST

    def publish_own(self, wanted: Iterable[LocalDemand], context: Context) -> None:
        """Publish the demand here, if it is time."""
        zone = context.state.identity.availability_zone
        pace = ZONE_PACE_PER_INSTANCE * self.shares.listed[zone]
        if context.now - self.own_at < max(MIN_PACE, pace):
            return
        count = max(1, self.shares.listed.total())
        least = MIN_PUBLISHED_PART * EVEN_SHARE / count
        parts = [(each.demand / each.limit, each) for each in wanted]
        worth = [pair for pair in parts if pair[0] > least]
        worth.sort(key=lambda pair: pair[0], reverse=True)
        first = [each for _, each in worth[:MAX_ACCOUNTS]]
        demand = AccountDemand(
            tuple(each.account for each in first),
            tuple(max(1, round(min(each.demand, each.limit))) for each in first),
        )
        if demand == self.own == NO_DEMAND:
            return
        self.own = demand
        self.own_at = context.now
        self.shares.note_own(demand, context)
        context.emit(Publish(INSTANCE_DEMAND, demand, Scope.ZONE))

    def publish_zone(self, context: Context) -> None:
        """Publish the sums of the zone, if it is time."""
        if context.now - self.zone_at < FLEET_PACE:
            return
        sums = self.shares.zone_sums().most_common(MAX_ZONE_ACCOUNTS)
        demand = AccountDemand(
            tuple(account for account, _ in sums), tuple(each for _, each in sums)
        )
        if demand == self.zone == NO_DEMAND:
            return
        self.zone = demand
        self.zone_at = context.now
        self.shares.note_zone(demand, context)
        context.emit(Publish(ZONE_DEMAND, demand, Scope.FLEET))

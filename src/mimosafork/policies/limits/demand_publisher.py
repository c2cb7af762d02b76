"""Publishes the demand of accounts to peers, within the traffic budget."""

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
"""Accounts that an instance publishes: those with most demand relative to limit."""

MAX_ZONE_ACCOUNTS = 150

ZONE_PACE_PER_INSTANCE = timedelta(milliseconds=40)
"""A zone's instances together publish at most 25 values per second of about 150 bytes:
under 4 KB/s, whatever the number of instances and accounts."""

MIN_PACE = timedelta(seconds=1)
FLEET_PACE = timedelta(seconds=3)
"""A zone's sums are at most 1.4 KB: under 0.5 KB/s per zone."""

MIN_PUBLISHED_PART = 0.5
"""Minimum published demand, relative to the even share of an instance."""

NO_DEMAND = AccountDemand((), ())


@dataclass(frozen=True, slots=True)
class LocalDemand:
    """An account's demand at this instance and its limit, in tokens per second."""

    account: AccountKey
    demand: float
    limit: float


class DemandPublisher:
    """Publishes the demand of this instance, and of its zone if it is responsible."""

    def __init__(self, shares: Shares) -> None:
        self.shares = shares
        self.own = NO_DEMAND
        self.own_at = DISTANT_PAST
        self.zone = NO_DEMAND
        self.zone_at = DISTANT_PAST

    def publish_own(self, wanted: Iterable[LocalDemand], context: Context) -> None:
        """Publish this instance's demand, if the interval has passed."""
        zone = context.state.identity.availability_zone
        pace = ZONE_PACE_PER_INSTANCE * self.shares.listed[zone]
        if context.now - self.own_at < max(MIN_PACE, pace):
            return
        count = max(1, self.shares.listed.total())
        least = MIN_PUBLISHED_PART * EVEN_SHARE / count
        parts = [(each.demand / each.limit, each) for each in wanted]
        eligible = [pair for pair in parts if pair[0] > least]
        eligible.sort(key=lambda pair: pair[0], reverse=True)
        selected = [each for _, each in eligible[:MAX_ACCOUNTS]]
        demand = AccountDemand(
            tuple(each.account for each in selected),
            tuple(max(1, round(min(each.demand, each.limit))) for each in selected),
        )
        if demand == self.own == NO_DEMAND:
            return
        self.own = demand
        self.own_at = context.now
        self.shares.note_own(demand, context)
        context.emit(Publish(INSTANCE_DEMAND, demand, Scope.ZONE))

    def publish_zone(self, context: Context) -> None:
        """Publish the zone's sums, if the interval has passed."""
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

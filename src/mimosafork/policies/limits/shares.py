"""Computes the part of an account's limit that this instance may grant.

An instance's weight is its published demand plus a small even share; its share is
its weight over the sum of all weights. The shares of all instances never exceed the
limit in total, although messages are delayed: each instance counts its own demand by
the least value that it has published within `PROPAGATION_LIMIT`, and the others by
their largest. If messages arrive within `PROPAGATION_LIMIT`, the demands of that long
ago lie within the bounds of every instance. Shares computed from these demands would
sum to one, and each actual share is at most that.

This is done twice: among the instances of an availability zone, and among the zones,
using the sums that the publishing instance of each zone sends.
"""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from ...ids import AvailabilityZoneId, InstanceId
from ...kernel.context import Context
from ...kernel.fleet import DISTANT_PAST
from ...kernel.messages.limits import AccountDemand, AccountDemandReceived, AccountKey
from ...kernel.messages.peers import MemberState

PROPAGATION_LIMIT = timedelta(seconds=10)
"""Assumed maximum time in which a published value reaches all its receivers."""

DEMAND_TTL = timedelta(seconds=30)
"""Time after which the demand of a silent instance or zone is dropped."""

EVEN_SHARE = 0.1
"""Weight of the even split, as part of the limit. It is what an account can use at an
instance that has not published its demand yet, and what stays unused if all of its
requests arrive at one instance."""

Demands = Mapping[AccountKey, int]


@dataclass(slots=True)
class PublishedDemand:
    """Demand that one instance, or one zone, has published.

    Attributes
    ----------
    past : deque
        Earlier values, each with the instant at which it was replaced.
    """

    current: Demands = field(default_factory=dict)
    at: timedelta = DISTANT_PAST
    past: deque[tuple[timedelta, Demands]] = field(default_factory=deque)

    def replace_current(self, demand: AccountDemand, now: timedelta) -> None:
        """Store the newest value."""
        self.past.append((now, self.current))
        pairs = zip(demand.accounts, demand.tokens_per_second, strict=True)
        self.current = dict(pairs)
        self.at = now

    def drop_past(self, now: timedelta) -> None:
        """Drop the values that all receivers have replaced by now."""
        while self.past and now - self.past[0][0] > PROPAGATION_LIMIT:
            self.past.popleft()

    def least(self, account: AccountKey) -> int:
        """Return the least demand of an account that any receiver may still use."""
        now = self.current.get(account, 0)
        return min([now, *(each.get(account, 0) for _, each in self.past)])

    def most_of(self, account: AccountKey) -> int:
        """Return the largest demand of an account that any receiver may still use."""
        now = self.current.get(account, 0)
        return max([now, *(each.get(account, 0) for _, each in self.past)])

    def most(self) -> dict[AccountKey, int]:
        """Return the largest demand of each account that any receiver may still use."""
        found = dict(self.current)
        for _, earlier in self.past:
            for account, demand in earlier.items():
                found[account] = max(demand, found.get(account, 0))
        return found


class Shares:
    """Stores published demand and computes shares.

    Attributes
    ----------
    instances : dict of InstanceId to PublishedDemand
        Of this instance's zone, this instance included.
    zones : dict of AvailabilityZoneId to PublishedDemand
        Sums of all zones; this instance's zone as published for it.
    is_cut_off : bool
        No other instance of the zone is reachable: shares stay unchanged.
    """

    def __init__(self) -> None:
        self.instances: dict[InstanceId, PublishedDemand] = {}
        self.zones: dict[AvailabilityZoneId, PublishedDemand] = {}
        self.silent_zones: frozenset[AvailabilityZoneId] = frozenset()
        self.listed: Counter[AvailabilityZoneId] = Counter()
        self.zone_most: Counter[AccountKey] = Counter()
        self.fleet_most: Counter[AccountKey] = Counter()
        self.last: dict[AccountKey, float] = {}
        self.is_cut_off = False

    def receive(self, message: AccountDemandReceived, context: Context) -> None:
        """Store the demand that a peer has published."""
        origin = message.origin
        if message.of_zone:
            published = self.zones.setdefault(
                origin.availability_zone, PublishedDemand()
            )
        else:
            published = self.instances.setdefault(origin.instance, PublishedDemand())
        published.replace_current(message.demand, context.now)

    def note_own(self, demand: AccountDemand, context: Context) -> None:
        """Store the demand that this instance publishes for itself."""
        own = context.state.identity.instance
        self.instances.setdefault(own, PublishedDemand()).replace_current(
            demand, context.now
        )

    def note_zone(self, demand: AccountDemand, context: Context) -> None:
        """Store the demand that this instance publishes for its zone."""
        zone = context.state.identity.availability_zone
        self.zones.setdefault(zone, PublishedDemand()).replace_current(
            demand, context.now
        )

    def zone_sums(self) -> Counter[AccountKey]:
        """Return the newest total demand of the zone by account."""
        sums: Counter[AccountKey] = Counter()
        for published in self.instances.values():
            sums.update(published.current)
        return sums

    def refresh(self, context: Context) -> None:
        """Recompute the sums; done periodically, since each decision uses them."""
        identity = context.state.identity
        self.listed = Counter(
            each.availability_zone for each in context.state.fleet.instances.values()
        )
        if identity.instance not in context.state.fleet.instances:
            self.listed[identity.availability_zone] += 1
        self._forget_silent(context)
        self.zone_most = _sum_of(self.instances.values(), context.now)
        self.fleet_most = _sum_of(self.zones.values(), context.now)

    def _forget_silent(self, context: Context) -> None:
        """Drop silent instances and zones, unless this instance is isolated.

        An isolated instance would take all others for gone and grant the whole limit.
        If a switch fails, each of the others may do the same.
        """
        own = context.state.identity
        members = context.state.fleet.members
        others = [each for each in members.values() if each.instance != own.instance]
        reachable = [each for each in others if each.state is not MemberState.SUSPECT]
        self.is_cut_off = bool(others) and not reachable
        if self.is_cut_off:
            return
        kept = {each.instance for each in reachable} | {own.instance}
        old = context.now - DEMAND_TTL
        self.instances = {
            name: published
            for name, published in self.instances.items()
            if name in kept or published.at > old
        }
        self.zones = {
            name: published
            for name, published in self.zones.items()
            if name not in self.silent_zones or published.at > old
        }

    def part(self, account: AccountKey, limit: float, context: Context) -> float:
        """Return this instance's current part of an account's limit.

        Parameters
        ----------
        limit : float
            Tokens per second of the whole fleet.
        """
        count = max(1, self.listed.total())
        if self.is_cut_off:
            return self.last.get(account, 1 / count)
        identity = context.state.identity
        even = EVEN_SHARE * limit / count
        published = self.instances.get(identity.instance, PublishedDemand())
        zone_even = even * max(1, self.listed[identity.availability_zone])
        least = published.least(account) + even
        others = self.zone_most[account] - published.most_of(account) + zone_even - even
        part = least / (least + others)
        if len(self.listed) > 1:
            zone_published = self.zones.get(
                identity.availability_zone, PublishedDemand()
            )
            least = zone_published.least(account) + zone_even
            others = self.fleet_most[account] - zone_published.most_of(account)
            others += even * count - zone_even
            part *= least / (least + others)
        self.last[account] = part
        return part


def _sum_of(sources: Iterable[PublishedDemand], now: timedelta) -> Counter[AccountKey]:
    total: Counter[AccountKey] = Counter()
    for published in sources:
        published.drop_past(now)
        total.update(published.most())
    return total

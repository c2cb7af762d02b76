"""Shares of an instance in what the whole fleet may send."""

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..gossip.census import Census
from ..gossip.service import Gossip
from ..ids import Digest, EndpointId, InstanceId
from ..placement.subset import distance_to_engine
from .policies.fleet_allowance import COLD_COUNTED_SPAN
from .policies.retry_budget import MAX_RETRY_TRANSIT, SlackShare
from .policies.retrying import RETRY_WINDOW

MAX_RANKS = 1_000
"""Ranks that are cached; endpoints get a new id with each start."""


def order_by_name(instance: InstanceId) -> tuple[int, InstanceId]:
    """Return the sort key of an instance in the order by names."""
    return 0, instance


class EndpointRanks:
    """Ranks of this instance by its distance to each endpoint.

    They are cached until the census changes: with 70 endpoints and 111 instances, the
    ranks of all endpoints would otherwise be computed four times a second.

    Attributes
    ----------
    ranks : dict of EndpointId to int
    seen : dict of InstanceId to timedelta
        The census's own, as of which the ranks were computed; replaced by it at each
        review.
    members : frozenset of InstanceId
        Its keys at that time.
    """

    def __init__(self) -> None:
        self.ranks: dict[EndpointId, int] = {}
        self.seen: dict[InstanceId, timedelta] = {}
        self.members: frozenset[InstanceId] = frozenset()

    def rank(
        self, census: Census, me: InstanceId, endpoint: EndpointId, now: timedelta
    ) -> int:
        """Return how many instances that count are nearer to an endpoint."""
        if census.stands_last(now):
            return len(census.seen)
        if census.seen is not self.seen or len(census.seen) != len(self.members):
            self.seen = census.seen
            if census.seen.keys() != self.members:
                self.members = frozenset(census.seen)
                self.ranks.clear()
        rank = self.ranks.get(endpoint)
        if rank is None:
            if len(self.ranks) >= MAX_RANKS:
                self.ranks.clear()
            rank = census.rank(
                me, now, lambda instance: distance_to_engine(instance, endpoint)
            )
            self.ranks[endpoint] = rank
        return rank


class FleetShares:
    """Computes shares from the number of instances that the gossip has counted.

    A new incarnation does not know what its predecessor has sent. If all instances are
    killed in a flood and restarted while callers retry, both incarnations would use the
    same share in one window. An incarnation therefore gets its shares after a whole
    window, or at once in a new fleet, where nothing has been sent.

    Attributes
    ----------
    settle_time : timedelta
        Uptime after which requests of the previous incarnation no longer count.
    gossip : Gossip or None
        None until the instance has started.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.created_at = clock.monotonic()
        self.settle_time = RETRY_WINDOW + MAX_RETRY_TRANSIT
        self.gossip: Gossip | None = None
        self.endpoint_ranks = EndpointRanks()

    def of_retries(self) -> SlackShare:
        """Return the share of the retry budget's slack."""
        return self._share(self._rank_by(order_by_name), self.settle_time)

    def of_endpoint(self, endpoint: EndpointId) -> SlackShare:
        """Return the share of an endpoint's rate limit.

        Where a limit is too low to be divided among all instances, those come first
        whose engine subset has the endpoint.
        """
        return self._share(self._rank_at(endpoint), self.settle_time)

    def of_cold_endpoint(self, endpoint: EndpointId) -> SlackShare:
        """Return the share of what an endpoint that may be cold accepts.

        Requests to it count for a shorter time than others. An instance that is new in
        its fleet stays among those that have just started for longer, until the others
        have heard of it and divide the permits among one more.
        """
        joins = self.gossip is not None and self.gossip.census.joins
        settle_time = self.settle_time if joins else COLD_COUNTED_SPAN
        return self._share(self._rank_at(endpoint), settle_time)

    def rank_for_content(self, content: Digest) -> int:
        """Return the rank of this instance for a content, another one for each."""
        rank = self._rank_by(
            lambda instance: distance_to_engine(instance, EndpointId(content))
        )
        return self._share(rank, self.settle_time).rank

    def _rank_by(
        self, order: Callable[[InstanceId], tuple[int, InstanceId]]
    ) -> Callable[[Gossip], int]:
        return lambda gossip: gossip.census.rank(
            gossip.instance, gossip.clock.monotonic(), order
        )

    def _rank_at(self, endpoint: EndpointId) -> Callable[[Gossip], int]:
        return lambda gossip: self.endpoint_ranks.rank(
            gossip.census, gossip.instance, endpoint, gossip.clock.monotonic()
        )

    def _share(
        self, rank: Callable[[Gossip], int], settle_time: timedelta
    ) -> SlackShare:
        if self.gossip is None:
            return SlackShare(known=False, restarted_at=self.created_at)
        census = self.gossip.census
        uptime = self.clock.monotonic() - self.created_at
        settled = census.fleet_is_new or uptime >= settle_time
        since = None if settled else self.created_at
        return SlackShare(census.instances, rank(self.gossip), census.complete, since)

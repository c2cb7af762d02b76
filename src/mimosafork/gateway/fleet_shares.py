"""Shares of an instance in what the whole fleet may send."""

from collections.abc import Callable

from ..clock import Clock
from ..gossip.service import Gossip
from ..ids import Digest, EndpointId, InstanceId
from ..placement.subset import distance_to_engine
from .policies.retry_budget import MAX_RETRY_TRANSIT, SlackShare
from .policies.retrying import RETRY_WINDOW


def order_by_name(instance: InstanceId) -> tuple[int, InstanceId]:
    """Return the sort key of an instance in the order by names."""
    return 0, instance


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

    def of_retries(self) -> SlackShare:
        """Return the share of the retry budget's slack."""
        return self._share(order_by_name)

    def of_endpoint(self, endpoint: EndpointId) -> SlackShare:
        """Return the share of an endpoint's rate limit.

        Where a limit is too low to be divided among all instances, those come first
        whose engine subset has the endpoint.
        """
        return self._share(lambda instance: distance_to_engine(instance, endpoint))

    def rank_for_content(self, content: Digest) -> int:
        """Return the rank of this instance for a content, another one for each."""
        share = self._share(
            lambda instance: distance_to_engine(instance, EndpointId(content))
        )
        return share.rank

    def _share(
        self, order: Callable[[InstanceId], tuple[int, InstanceId]]
    ) -> SlackShare:
        if self.gossip is None:
            return SlackShare(known=False, restarted_at=self.created_at)
        census = self.gossip.census
        uptime = self.clock.monotonic() - self.created_at
        settled = census.fleet_is_new or uptime >= self.settle_time
        since = None if settled else self.created_at
        now = self.gossip.clock.monotonic()
        rank = census.rank(self.gossip.instance, now, order)
        return SlackShare(census.instances, rank, census.complete, since)

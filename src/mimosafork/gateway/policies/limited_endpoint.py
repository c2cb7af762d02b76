"""Share of an instance in the rate limit of one endpoint."""

from datetime import timedelta
from heapq import heappop, heappush, nlargest
from random import Random

from ...ids import RequestId
from .fleet_allowance import COUNTED_SPAN, fleet_allowance
from .retry_budget import SlackShare


class LimitedEndpoint:
    """Requests that this instance may send to one endpoint with a rate limit.

    The instance has as many permits as its portion of the fleet's allowance. A request
    takes a permit when it is placed, and the permit is free again some time after the
    request was sent: at least the span within which requests may arrive in one window.
    The rest of that time is random. With fixed times all instances would send at the
    same instants, and nobody could notice the end of a limit in between. For the same
    reason added permits become free at even intervals over the fleet.

    Attributes
    ----------
    per_s : float
        Limit of the endpoint, for all instances together.
    portion : int
    reserved : set of RequestId
        Calls that are placed on the endpoint and not yet sent.
    free_at : list of timedelta
        Heap of the instants at which the taken permits are free again.
    """

    def __init__(
        self, per_s: float, share: SlackShare, now: timedelta, random: Random
    ) -> None:
        self.per_s = per_s
        self.allowance = fleet_allowance(per_s)
        self.random = random
        self.portion = 0
        self.reserved: set[RequestId] = set()
        self.free_at: list[timedelta] = []
        self.divide(share, now)

    def change(self, per_s: float, share: SlackShare, now: timedelta) -> None:
        """Apply another limit; requests sent before continue to count."""
        self.per_s = per_s
        self.allowance = fleet_allowance(per_s)
        self.divide(share, now)

    def divide(self, share: SlackShare, now: timedelta) -> None:
        """Apply this instance's present share."""
        former = self.portion
        self.portion = share.portion_of(self.allowance.requests)
        interval = self.allowance.span / self.allowance.requests
        for number in range(former, self.portion):
            place = number * share.instances + share.rank + 1
            heappush(self.free_at, now + interval * place)

    def taken(self, now: timedelta) -> int:
        """Return the number of permits that are not free."""
        while self.free_at and self.free_at[0] <= now:
            heappop(self.free_at)
        return len(self.free_at) + len(self.reserved)

    def available(self, now: timedelta) -> bool:
        """Return whether one more request may be placed."""
        return self.taken(now) < self.portion

    def count(self, now: timedelta) -> None:
        """Take a permit for a request that is sent now."""
        spread = 2 * (self.allowance.span - COUNTED_SPAN) * self.random.random()
        heappush(self.free_at, now + COUNTED_SPAN + spread)

    def send(self, request_id: RequestId, now: timedelta) -> bool:
        """Count a request that is about to be sent; return whether it may be."""
        self.reserved.discard(request_id)
        if not self.available(now):
            return False
        self.count(now)
        return True

    def next_sends(self, now: timedelta) -> list[timedelta]:
        """Return when the next requests may be placed, in order.

        A reserved permit will be taken for the time that a request counts.
        """
        free = max(0, self.portion - self.taken(now))
        taken = [*self.free_at, *[now + self.allowance.span] * len(self.reserved)]
        return [now] * free + sorted(nlargest(self.portion, taken))

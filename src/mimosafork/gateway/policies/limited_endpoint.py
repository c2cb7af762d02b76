"""Share of an instance in what the fleet may send to one endpoint."""

from datetime import timedelta
from heapq import heappop, heappush, nlargest
from random import Random

from ...ids import RequestId
from .fleet_allowance import FleetAllowance
from .retry_budget import SlackShare


class LimitedEndpoint:
    """Requests that this instance may send to one endpoint with a limit.

    The instance has as many permits as its portion of the fleet's allowance. A request
    takes a permit when it is placed, and the permit is free again some time after the
    request was sent: at least the span within which requests may arrive in one window.
    The rest of that time is random. With fixed times all instances would send at the
    same instants, and nobody could notice the end of a limit in between. For the same
    reason added permits become free at even intervals over the fleet.

    Attributes
    ----------
    allowance : FleetAllowance
        Of all instances together.
    portion : int
    reserved : set of RequestId
        Calls that are placed on the endpoint and not yet sent.
    free_at : list of timedelta
        Heap of the instants at which the taken permits are free again.
    """

    def __init__(
        self,
        allowance: FleetAllowance,
        share: SlackShare,
        now: timedelta,
        random: Random,
    ) -> None:
        self.allowance = allowance
        self.random = random
        self.portion = 0
        self.share: SlackShare | None = None
        self.reserved: set[RequestId] = set()
        self.free_at: list[timedelta] = []
        self.divide(share, now)

    @property
    def per_s(self) -> float:
        """Requests per second that all instances together send in the long run."""
        return self.allowance.per_s

    def change(
        self, allowance: FleetAllowance, share: SlackShare, now: timedelta
    ) -> None:
        """Apply another allowance; requests sent before continue to count."""
        self.allowance = allowance
        self.divide(share, now)

    def divide(self, share: SlackShare, now: timedelta) -> None:
        """Apply this instance's present share."""
        if share == self.share and self.allowance.portion_of(share) == self.portion:
            return
        former, before = self.portion, self.share
        self.portion, self.share = self.allowance.portion_of(share), share
        for number in range(former, self.portion):
            heappush(self.free_at, now + self._free_after(number, before, share))

    def _free_after(
        self, number: int, before: SlackShare | None, share: SlackShare
    ) -> timedelta:
        """Return the time after which an added permit is free.

        A permit that was another instance's may have been used by it just before. The
        permits of an instance that has just started, or has settled, were nobody's.
        """
        if self.allowance.paced:
            interval = self.allowance.span / self.allowance.requests
            return interval * (number * share.instances + share.rank + 1)
        if before is None or not before.known:
            return timedelta(0)
        if before.restarted_at != share.restarted_at:
            return timedelta(0)
        return self.allowance.counted_span

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
        counted_span = self.allowance.counted_span
        spread = 2 * (self.allowance.span - counted_span) * self.random.random()
        heappush(self.free_at, now + counted_span + spread)

    def take_all(self, now: timedelta) -> None:
        """Take all permits, as requests that were not counted may have been sent."""
        for _ in range(self.portion):
            heappush(self.free_at, now + self.allowance.counted_span)

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

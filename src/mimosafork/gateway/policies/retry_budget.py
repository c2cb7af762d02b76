"""Retry budget of one service at one instance, earned by its own requests."""

from bisect import bisect_right
from collections import deque
from datetime import timedelta

import msgspec

from ...ids import RequestId

MAX_RETRY_TRANSIT = timedelta(milliseconds=2300)
"""Longest time between counting a retry and its arrival at the endpoint.

A new connection may have to be opened, or data written to a kept-alive connection may
stay in the socket buffer until the acknowledgement timeout. A retry is counted for this
much longer than a request, as one counted before a window may arrive within it."""

RETRY_BATCH_SPAN = timedelta(milliseconds=50)
"""Retries within this span share one entry. Otherwise an instance with hundreds of
retries per second would iterate over each of them for every decision."""

MIN_EARNED_TO_SAVE = 2.0
"""Retries that the requests of a window must earn before one can be saved."""

SAVING_RATIO_SHARE = 0.5


class SlackShare(msgspec.Struct, frozen=True):
    """An instance's share of the fleet-wide retry slack.

    Attributes
    ----------
    instances : int
        Number of instances that share the slack, including this one.
    rank : int
        Position of this instance in an order that is the same on all instances.
    known : bool
        False while the number of instances is unknown.
    restarted_at : timedelta or None
        Start of this incarnation, while retries of the previous one may still count.
    """

    instances: int = 1
    rank: int = 0
    known: bool = True
    restarted_at: timedelta | None = None

    def portion_of(self, slack: float) -> int:
        """Return whole retries; the remainder goes to the first instances by rank.

        Rounding fractions up instead would exceed the slack in a fleet that has more
        instances than the slack has retries.
        """
        return 0 if self.restarted_at is not None else self.ranked_portion_of(slack)

    def ranked_portion_of(self, slack: float) -> int:
        """Return whole requests by rank, also for an instance that has just started."""
        if not self.known:
            return 0
        each, rest = divmod(int(slack), self.instances)
        return each + (self.rank < rest)


class RetryLimits(msgspec.Struct, frozen=True):
    """Limits on the retries of one service at one instance.

    Attributes
    ----------
    ratio : float
        Retries that one request earns.
    burst : int
        Retries per window in addition to those earned by requests.
    restarted_at : timedelta or None
        Start of this incarnation. The previous one may have used its whole budget, so
        only retries earned since then are sent.
    """

    ratio: float
    burst: int
    restarted_at: timedelta | None = None


class RetryBatch(msgspec.Struct):
    """Retries that were counted within ``RETRY_BATCH_SPAN``.

    Attributes
    ----------
    first, last : timedelta
        Times of the first and the last of them.
    """

    first: timedelta
    last: timedelta
    count: int = 1


class ServiceRetryBudget:
    """Requests and retries of one service at this instance, within a sliding window.

    In each span of up to a window that ends now, retries are limited to the burst plus
    what the requests of that same span earn. If the requests of the window before each
    retry were counted instead, every instance would send most after its own busiest
    seconds; these differ, so the fleet would send more than any one window earns.

    Without a burst there could never be a first retry. An instance without one
    therefore gets a burst of one retry if its requests of the last window earn at least
    `MIN_EARNED_TO_SAVE`. It then earns at half the ratio; the other half pays for the
    saved retry. In its first window after a restart it gets the burst at the full
    ratio, as only what it has earned since the restart is sent.

    A retry is reserved when it is decided and keeps its reservation until it is sent,
    as it may wait for an endpoint and later reservations must not displace it. It is
    counted at the time it is sent, which is what endpoints observe.

    Parameters
    ----------
    window : timedelta

    Attributes
    ----------
    request_times : list of timedelta
        Times of the latest requests.
    total_retries : int
        Retries counted by this incarnation.
    reserved : set of RequestId
        Calls with a pending retry.
    sent_at : dict of RequestId to timedelta
        Time of the last retry of each open call.
    """

    def __init__(self, window: timedelta) -> None:
        self.window = window
        self.request_times: list[timedelta] = []
        self.retry_batches: deque[RetryBatch] = deque()
        self.reserved: set[RequestId] = set()
        self.sent_at: dict[RequestId, timedelta] = {}
        self.total_retries = 0

    def available(self, limits: RetryLimits, now: timedelta) -> float:
        """Return how many retries may be sent now, including reserved ones."""
        self.expire(now)
        limits = self.with_saved_retry(limits, now)
        remaining = float(limits.burst)
        sent = 0
        for each in reversed(self.retry_batches):
            sent += each.count
            earned = limits.ratio * self.requests_after(each.last + MAX_RETRY_TRANSIT)
            remaining = min(remaining, limits.burst + earned - sent)
        if limits.restarted_at is not None:
            earned = limits.ratio * self.requests_after(limits.restarted_at)
            remaining = min(remaining, earned - sent)
        return remaining

    def with_saved_retry(self, limits: RetryLimits, now: timedelta) -> RetryLimits:
        """Return limits that let an instance without a burst save one retry."""
        if limits.burst:
            return limits
        earned = limits.ratio * self.requests_after(now - self.window)
        if limits.restarted_at is None and earned < MIN_EARNED_TO_SAVE:
            return limits
        ratio = (
            limits.ratio
            if limits.restarted_at is not None
            else limits.ratio * SAVING_RATIO_SHARE
        )
        return RetryLimits(ratio, 1, limits.restarted_at)

    def counted_retries(self) -> int:
        """Return the number of retries that still count."""
        return sum(each.count for each in self.retry_batches)

    def requests_after(self, instant: timedelta) -> int:
        """Return the number of requests received after an instant within the window."""
        return len(self.request_times) - bisect_right(self.request_times, instant)

    def expire(self, now: timedelta) -> None:
        """Drop entries older than any window that ends now or later."""
        oldest = now - self.window - MAX_RETRY_TRANSIT
        while self.retry_batches and self.retry_batches[0].last <= oldest:
            self.retry_batches.popleft()
        if self.request_times and self.request_times[0] <= oldest:
            del self.request_times[: bisect_right(self.request_times, oldest)]

    def count_request(self, now: timedelta) -> None:
        """Count a received request."""
        self.expire(now)
        self.request_times.append(now)

    def reserve(self, request_id: RequestId) -> None:
        """Reserve budget for the next retry of a call."""
        self.reserved.add(request_id)
        self.sent_at.pop(request_id, None)

    def refund(self, request_id: RequestId) -> None:
        """Uncount the last retry of a call, which reached no endpoint."""
        self.reserved.discard(request_id)
        sent_at = self.sent_at.pop(request_id, None)
        if sent_at is None:
            return
        for each in self.retry_batches:
            if each.first <= sent_at <= each.last:
                each.count -= 1
                return

    def is_retry(self, request_id: RequestId) -> bool:
        """Return whether the next or latest attempt of a call is a retry."""
        return request_id in self.reserved or request_id in self.sent_at

    def count_retry(self, request_id: RequestId, now: timedelta) -> None:
        """Count a retry that is sent now."""
        self.reserved.discard(request_id)
        self.sent_at[request_id] = now
        self.total_retries += 1
        if self.retry_batches and now - self.retry_batches[-1].first < RETRY_BATCH_SPAN:
            self.retry_batches[-1].last = now
            self.retry_batches[-1].count += 1
        else:
            self.retry_batches.append(RetryBatch(now, now))

    def forget_call(self, request_id: RequestId) -> None:
        """Forget a finished call; its sent retries keep counting."""
        self.reserved.discard(request_id)
        self.sent_at.pop(request_id, None)

"""What one instance may repeat of a service's calls, by what it sent itself."""

from bisect import bisect_right
from collections import deque
from datetime import timedelta

import msgspec

from ...ids import RequestId

MAX_RETRY_TRANSIT = timedelta(milliseconds=2300)
"""A repeat is counted before it is sent, and reaches its endpoint up to so much later.

A connection may have to be opened for it, or what is written on a kept one may lie in
the system for as long as nothing need be acknowledged. It counts for so much longer
than a request: one that was counted before a window may arrive within it."""

RETRY_BATCH_SPAN = timedelta(milliseconds=50)
"""Repeats that follow within this are kept as one entry. An instance that repeats
hundreds of calls a second would else look at each of them for each decision."""

MIN_EARNED_TO_SAVE = 2.0
"""Repeats that the requests of a window must have earned for one to be saved up."""

SAVING_RATIO_SHARE = 0.5


class SlackShare(msgspec.Struct, frozen=True):
    """An instance's part in what its fleet may repeat beside the ratio.

    Attributes
    ----------
    instances : int
        How many share it, itself included.
    rank : int
        How many of them stand before it in an order that is the same for all.
    known : bool
        False while it isn't known how many there are.
    since : timedelta or None
        When this life began, as long as a former one's repeats may still count.
    """

    instances: int = 1
    rank: int = 0
    known: bool = True
    restarted_at: timedelta | None = None

    def portion_of(self, slack: float) -> int:
        """Return the part: whole repeats, the rest to the first by rank.

        Guard: repeats are whole. Were each instance to have the part that is less than
        one rounded up, a fleet of more instances than the slack would pass it.
        """
        if not self.known or self.restarted_at is not None:
            return 0
        each, rest = divmod(int(slack), self.instances)
        return each + (self.rank < rest)


class RetryLimits(msgspec.Struct, frozen=True):
    """What one instance may repeat of a service's calls.

    Attributes
    ----------
    ratio : float
        Repeats that a request earns.
    burst : int
        Repeats in a window beside those that its own requests earn.
    since : timedelta or None
        Before this life another one may have sent all that it could: since then no
        more is sent than is earned.
    """

    ratio: float
    burst: int
    restarted_at: timedelta | None = None


class RetryBatch(msgspec.Struct):
    """Repeats that were counted nearly together.

    Attributes
    ----------
    first, last : timedelta
        When the first and the last of them were.
    """

    first: timedelta
    last: timedelta
    count: int = 1


class ServiceRetryBudget:
    """Requests and repeats of one service at this instance, within a window.

    In each span of up to a window that ends now, repeats are at most the burst and what
    the requests of that same span earn. Guard: were the requests of one window before
    each repeat counted, each instance would send most after its own busiest seconds,
    and these differ: all together would pass what any one window of the fleet earns.

    Without a burst no repeat could ever be the first. An instance whose requests of the
    last window earn several may save up one, and earns half as fast for it: the other
    half of that window's pays for what is saved, the fleet over.

    A repeat is promised when it is decided, and holds its place in the room until it
    is sent: it may wait for an endpoint, and what is promised meanwhile must not crowd
    it out. It counts as of the moment when it is sent, the one that endpoints see.

    Parameters
    ----------
    window : timedelta

    Attributes
    ----------
    requests : list of timedelta
        Instants of the latest.
    total : int
        Repeats that were counted in this life.
    promised : set of RequestId
        Calls that are to be sent again.
    sent : dict of RequestId to timedelta
        When open calls were last sent again.
    """

    def __init__(self, window: timedelta) -> None:
        self.window = window
        self.request_times: list[timedelta] = []
        self.retry_batches: deque[RetryBatch] = deque()
        self.reserved: set[RequestId] = set()
        self.sent_at: dict[RequestId, timedelta] = {}
        self.total_retries = 0

    def available(self, terms: RetryLimits, now: timedelta) -> float:
        """Return how many repeats may be sent now, the promised ones included."""
        self.expire(now)
        terms = self.with_saved_retry(terms, now)
        room = float(terms.burst)
        sent = 0
        for each in reversed(self.retry_batches):
            sent += each.count
            earned = terms.ratio * self.requests_after(each.last + MAX_RETRY_TRANSIT)
            room = min(room, terms.burst + earned - sent)
        if terms.restarted_at is not None:
            earned = terms.ratio * self.requests_after(terms.restarted_at)
            room = min(room, earned - sent)
        return room

    def with_saved_retry(self, terms: RetryLimits, now: timedelta) -> RetryLimits:
        """Return terms by which an instance without a part can repeat at all."""
        if terms.burst:
            return terms
        earned = terms.ratio * self.requests_after(now - self.window)
        if terms.restarted_at is None and earned < MIN_EARNED_TO_SAVE:
            return terms
        ratio = (
            terms.ratio
            if terms.restarted_at is not None
            else terms.ratio * SAVING_RATIO_SHARE
        )
        return RetryLimits(ratio, 1, terms.restarted_at)

    def counted_retries(self) -> int:
        """Return how many repeats still count."""
        return sum(each.count for each in self.retry_batches)

    def requests_after(self, instant: timedelta) -> int:
        """Return how many requests came after an instant within the window."""
        return len(self.request_times) - bisect_right(self.request_times, instant)

    def expire(self, now: timedelta) -> None:
        """Forget what no window that ends now or later holds."""
        oldest = now - self.window - MAX_RETRY_TRANSIT
        while self.retry_batches and self.retry_batches[0].last <= oldest:
            self.retry_batches.popleft()
        if self.request_times and self.request_times[0] <= oldest:
            del self.request_times[: bisect_right(self.request_times, oldest)]

    def count_request(self, now: timedelta) -> None:
        """Count a request."""
        self.expire(now)
        self.request_times.append(now)

    def reserve(self, request_id: RequestId) -> None:
        """Keep a place for a further repeat of a call."""
        self.reserved.add(request_id)
        self.sent_at.pop(request_id, None)

    def refund(self, request_id: RequestId) -> None:
        """Count a call's last repeat no more: it has reached no endpoint."""
        self.reserved.discard(request_id)
        sent_at = self.sent_at.pop(request_id, None)
        if sent_at is None:
            return
        for each in self.retry_batches:
            if each.first <= sent_at <= each.last:
                each.count -= 1
                return

    def is_retry(self, request_id: RequestId) -> bool:
        """Return whether a call's next or latest attempt is a repeat."""
        return request_id in self.reserved or request_id in self.sent_at

    def count_retry(self, request_id: RequestId, now: timedelta) -> None:
        """Count a repeat that is sent now."""
        self.reserved.discard(request_id)
        self.sent_at[request_id] = now
        self.total_retries += 1
        if self.retry_batches and now - self.retry_batches[-1].first < RETRY_BATCH_SPAN:
            self.retry_batches[-1].last = now
            self.retry_batches[-1].count += 1
        else:
            self.retry_batches.append(RetryBatch(now, now))

    def forget_call(self, request_id: RequestId) -> None:
        """Forget a call that has ended; what was sent of it goes on to count."""
        self.reserved.discard(request_id)
        self.sent_at.pop(request_id, None)

"""What one instance may repeat of a service's calls, by what it sent itself."""

from bisect import bisect_right
from collections import deque
from datetime import timedelta

import msgspec

from ...ids import RequestId

ARRIVES_WITHIN = timedelta(milliseconds=2300)
"""A repeat is counted before it is sent, and reaches its endpoint up to so much later.

A connection may have to be opened for it, or what is written on a kept one may lie in
the system for as long as nothing need be acknowledged. It counts for so much longer
than a request: one that was counted before a window may arrive within it."""

TOGETHER = timedelta(milliseconds=50)
"""Repeats that follow within this are kept as one entry. An instance that repeats
hundreds of calls a second would else look at each of them for each decision."""

EARNED_IN_ADVANCE = 2.0
"""Repeats that the requests of a window must have earned for one to be saved up."""

HALF = 0.5


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
    since: timedelta | None = None

    def of(self, slack: float) -> int:
        """Return the part: whole repeats, the rest to the first by rank.

        Guard: repeats are whole. Were each instance to have the part that is less than
        one rounded up, a fleet of more instances than the slack would pass it.
        """
        if not self.known or self.since is not None:
            return 0
        each, rest = divmod(int(slack), self.instances)
        return each + (self.rank < rest)


class Terms(msgspec.Struct, frozen=True):
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
    since: timedelta | None = None


class Repeats(msgspec.Struct):
    """Repeats that were counted nearly together.

    Attributes
    ----------
    first, last : timedelta
        When the first and the last of them were.
    """

    first: timedelta
    last: timedelta
    count: int = 1


class Allowance:
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
        self.requests: list[timedelta] = []
        self.repeats: deque[Repeats] = deque()
        self.promised: set[RequestId] = set()
        self.sent: dict[RequestId, timedelta] = {}
        self.total = 0

    def room(self, terms: Terms, now: timedelta) -> float:
        """Return how many repeats may be sent now, the promised ones included."""
        self.forget(now)
        terms = self.with_savings(terms, now)
        room = float(terms.burst)
        sent = 0
        for each in reversed(self.repeats):
            sent += each.count
            earned = terms.ratio * self.requests_after(each.last + ARRIVES_WITHIN)
            room = min(room, terms.burst + earned - sent)
        if terms.since is not None:
            earned = terms.ratio * self.requests_after(terms.since)
            room = min(room, earned - sent)
        return room

    def with_savings(self, terms: Terms, now: timedelta) -> Terms:
        """Return terms by which an instance without a part can repeat at all."""
        if terms.burst:
            return terms
        earned = terms.ratio * self.requests_after(now - self.window)
        if terms.since is None and earned < EARNED_IN_ADVANCE:
            return terms
        ratio = terms.ratio if terms.since is not None else terms.ratio * HALF
        return Terms(ratio, 1, terms.since)

    def held(self) -> int:
        """Return how many repeats still count."""
        return sum(each.count for each in self.repeats)

    def requests_after(self, instant: timedelta) -> int:
        """Return how many requests came after an instant within the window."""
        return len(self.requests) - bisect_right(self.requests, instant)

    def forget(self, now: timedelta) -> None:
        """Forget what no window that ends now or later holds."""
        oldest = now - self.window - ARRIVES_WITHIN
        while self.repeats and self.repeats[0].last <= oldest:
            self.repeats.popleft()
        if self.requests and self.requests[0] <= oldest:
            del self.requests[: bisect_right(self.requests, oldest)]

    def count_request(self, now: timedelta) -> None:
        """Count a request."""
        self.forget(now)
        self.requests.append(now)

    def promise(self, request_id: RequestId) -> None:
        """Keep a place for a further repeat of a call."""
        self.promised.add(request_id)
        self.sent.pop(request_id, None)

    def take_back(self, request_id: RequestId) -> None:
        """Count a call's last repeat no more: it has reached no endpoint."""
        self.promised.discard(request_id)
        sent_at = self.sent.pop(request_id, None)
        if sent_at is None:
            return
        for each in self.repeats:
            if each.first <= sent_at <= each.last:
                each.count -= 1
                return

    def repeated(self, request_id: RequestId) -> bool:
        """Return whether a call's next or latest attempt is a repeat."""
        return request_id in self.promised or request_id in self.sent

    def count_repeat(self, request_id: RequestId, now: timedelta) -> None:
        """Count a repeat that is sent now."""
        self.promised.discard(request_id)
        self.sent[request_id] = now
        self.total += 1
        if self.repeats and now - self.repeats[-1].first < TOGETHER:
            self.repeats[-1].last = now
            self.repeats[-1].count += 1
        else:
            self.repeats.append(Repeats(now, now))

    def close(self, request_id: RequestId) -> None:
        """Forget a call that has ended; what was sent of it goes on to count."""
        self.promised.discard(request_id)
        self.sent.pop(request_id, None)

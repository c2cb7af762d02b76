"""What one instance may repeat of a service's calls, by what it sent itself."""

from bisect import bisect_right
from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from ...ids import RequestId

ARRIVES_WITHIN = timedelta(milliseconds=600)
"""A repeat is counted before it is sent, and reaches its endpoint up to so much later,
as a connection may have to be opened for it. It counts for so much longer than a
request: one that was counted just before a window may arrive within it."""


LEAST_BURST = 1.0
"""Repeats that an instance may save up at the least; with less none could be sent."""


@dataclass(frozen=True, slots=True)
class SlackShare:
    """An instance's part in what its fleet may repeat beside the ratio.

    Attributes
    ----------
    instances : int
        How many share it, itself included.
    known : bool
        False while it isn't known how many there are.
    since : timedelta or None
        When this life began, as long as a former one's repeats may still count.
    """

    instances: int = 1
    known: bool = True
    since: timedelta | None = None

    @property
    def part(self) -> float:
        """The part, from 0 to 1."""
        return 1 / self.instances if self.known and self.since is None else 0.0


@dataclass(frozen=True, slots=True)
class Terms:
    """What one instance may repeat of a service's calls.

    Attributes
    ----------
    ratio : float
        Repeats that a request earns.
    burst : float
        Repeats in a window beside those that its own requests earn.
    since : timedelta or None
        Before this life another one may have sent all that it could: since then no
        more is sent than is earned.
    """

    ratio: float
    burst: float
    since: timedelta | None = None


class Allowance:
    """Requests and repeats of one service at this instance, within a window.

    In each span of up to a window that ends now, repeats are at most the burst and what
    the requests of that same span earn. Guard: were the requests of one window before
    each repeat counted, each instance would send most after its own busiest seconds,
    and these differ: all together would pass what any one window of the fleet earns.

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
        self.repeats: deque[timedelta] = deque()
        self.promised: set[RequestId] = set()
        self.sent: dict[RequestId, timedelta] = {}
        self.total = 0

    def room(self, terms: Terms, now: timedelta) -> float:
        """Return how many repeats may be sent now, the promised ones included."""
        self.forget(now)
        room = terms.burst
        for sent, at in enumerate(reversed(self.repeats), start=1):
            earned = terms.ratio * self.requests_after(at + ARRIVES_WITHIN)
            room = min(room, terms.burst + earned - sent)
        if terms.since is not None:
            earned = terms.ratio * self.requests_after(terms.since)
            room = min(room, earned - len(self.repeats))
        return room

    def requests_after(self, instant: timedelta) -> int:
        """Return how many requests came after an instant within the window."""
        return len(self.requests) - bisect_right(self.requests, instant)

    def forget(self, now: timedelta) -> None:
        """Forget what no window that ends now or later holds."""
        oldest = now - self.window - ARRIVES_WITHIN
        while self.repeats and self.repeats[0] <= oldest:
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
        if sent_at is not None and sent_at in self.repeats:
            self.repeats.remove(sent_at)

    def repeated(self, request_id: RequestId) -> bool:
        """Return whether a call's next or latest attempt is a repeat."""
        return request_id in self.promised or request_id in self.sent

    def count_repeat(self, request_id: RequestId, now: timedelta) -> None:
        """Count a repeat that is sent now."""
        self.promised.discard(request_id)
        self.sent[request_id] = now
        self.repeats.append(now)
        self.total += 1

    def close(self, request_id: RequestId) -> None:
        """Forget a call that has ended; what was sent of it goes on to count."""
        self.promised.discard(request_id)
        self.sent.pop(request_id, None)

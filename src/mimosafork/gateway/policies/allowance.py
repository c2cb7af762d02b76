"""What one instance may repeat of a service's calls, by what it sent itself."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from ...ids import RequestId

ARRIVES_WITHIN = timedelta(milliseconds=600)
"""A repeat is counted before it is sent, and reaches its endpoint up to so much later,
as a connection may have to be opened for it. It counts for so much longer than a
request: one that was counted just before a window may arrive within it."""


@dataclass(frozen=True, slots=True)
class SlackShare:
    """An instance's part in what its fleet may repeat beside the ratio.

    Attributes
    ----------
    instances : int
        How many share it, itself included.
    settled : bool
        False while the part may have been spent by a former life, or while it isn't
        known how many share.
    """

    instances: int = 1
    settled: bool = True

    @property
    def part(self) -> float:
        """The part, from 0 to 1."""
        return 1 / self.instances if self.settled else 0.0


class Allowance:
    """Requests and repeats of one service at this instance, within a window.

    A repeat is promised when it is decided, and holds its place in the room until it
    is sent: it may wait for an endpoint, and what is promised meanwhile must not crowd
    it out. It counts as of the moment when it is sent, the one that endpoints see.

    Parameters
    ----------
    window : timedelta

    Attributes
    ----------
    total : int
        Repeats that were counted in this life.
    promised : set of RequestId
        Calls that are to be sent again.
    sent : dict of RequestId to timedelta
        When open calls were last sent again.
    """

    def __init__(self, window: timedelta) -> None:
        self.window = window
        self.requests: deque[timedelta] = deque()
        self.repeats: deque[timedelta] = deque()
        self.promised: set[RequestId] = set()
        self.sent: dict[RequestId, timedelta] = {}
        self.total = 0

    def requests_since(self, now: timedelta) -> int:
        """Return the requests within the window that ends now."""
        forget(self.requests, now - self.window)
        return len(self.requests)

    def repeats_since(self, now: timedelta) -> int:
        """Return the repeats that may arrive within the window that ends now."""
        forget(self.repeats, now - self.window - ARRIVES_WITHIN)
        return len(self.repeats)

    def count_request(self, now: timedelta) -> None:
        """Count a request."""
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


def forget(instants: deque[timedelta], until: timedelta) -> None:
    """Forget the instants up to one."""
    while instants and instants[0] <= until:
        instants.popleft()

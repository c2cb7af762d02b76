"""Requests that a whole fleet may send to one endpoint."""

from datetime import timedelta

import msgspec

from .retry_budget import MAX_RETRY_TRANSIT, SlackShare

WINDOW = timedelta(seconds=4)
WINDOW_FACTOR = 1.5
WINDOW_BURST = 5
"""In any window, an endpoint with a limit of L requests per second accepts
``WINDOW_FACTOR`` times what the limit allows in it, and this many more."""

COUNTED_SPAN = WINDOW + MAX_RETRY_TRANSIT
"""Requests counted within this span may arrive within one window. First sends take no
longer to arrive than retries."""

COLD_WINDOW = timedelta(seconds=1)
SENDING_MARGIN = timedelta(milliseconds=200)
"""Longest time between counting a request and writing it to its connection."""

COLD_COUNTED_SPAN = COLD_WINDOW + SENDING_MARGIN
"""Requests that are sent and arrive within one window of a cold endpoint were counted
within this span."""

SECOND = timedelta(seconds=1)


class FleetAllowance(msgspec.Struct, frozen=True):
    """Requests that all instances together may send within any span.

    Attributes
    ----------
    per_s : float
        Requests per second that the instances together send in the long run.
    requests : int
    span : timedelta
        Mean time after which a permit is free again.
    counted_span : timedelta
        Shortest time after which a permit is free again.
    restarted_requests : int
        Requests that instances may send in addition, together, while those of their
        previous incarnations may still count.
    paced : bool
        Whether permits that are added to a share become free at even intervals over
        the fleet.
    """

    per_s: float
    requests: int
    span: timedelta
    counted_span: timedelta = COUNTED_SPAN
    restarted_requests: int = 0
    paced: bool = True

    def portion_of(self, share: SlackShare) -> int:
        """Return an instance's part, in whole requests."""
        if share.restarted_at is not None:
            return share.ranked_portion_of(self.restarted_requests)
        return share.portion_of(self.requests)


def fleet_allowance(per_s: float) -> FleetAllowance:
    """Return the allowance under a limit of some requests per second.

    The number of requests fits into one window, wherever it begins. The span is long
    enough that the long-term rate does not exceed the limit either: a low limit would
    otherwise be exceeded by the burst of every window.
    """
    requests = int(WINDOW_FACTOR * (WINDOW / SECOND) * per_s + WINDOW_BURST)
    span = max(COUNTED_SPAN, requests / per_s * SECOND)
    return FleetAllowance(per_s, requests, span)


def cold_allowance(per_s: float, factor: float, slack: float) -> FleetAllowance:
    """Return the allowance of an endpoint that may be cold.

    An instance that restarts does not know what its previous incarnation has sent.
    Two thirds of the requests are therefore for instances that have run for longer
    than they count, and the rest for those that have just started, so that none of
    them waits.
    """
    total = int(per_s * factor * (COLD_WINDOW / SECOND) + slack)
    settled = -(-2 * total // 3)
    return FleetAllowance(
        per_s=settled / (COLD_COUNTED_SPAN / SECOND),
        requests=settled,
        span=COLD_COUNTED_SPAN,
        counted_span=COLD_COUNTED_SPAN,
        restarted_requests=total - settled,
        paced=False,
    )

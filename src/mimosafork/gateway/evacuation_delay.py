"""How long requests may still reach a zone after its evacuation was written."""

import logging
from datetime import timedelta

from ..directory.settings import FollowSettings
from ..gossip.kinds.evacuations import EVACUATIONS
from ..gossip.timing import Timing
from ..telemetry.catalogue.directory import EVACUATION_BOUND_EXCEEDED
from ..telemetry.logs import log_event
from .upstream import TCP_USER_TIMEOUT_MS

logger = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
RECONNECTION = timedelta(milliseconds=50)
"""Time for a new connection to the store within a region."""
RELAYS = 3
"""Hops over which state reaches all instances of a fleet."""


def longest_send_delay(follow: FollowSettings, silence_after: timedelta) -> timedelta:
    """Return the longest time from the write of a row to the last arrival.

    In the worst case all connections to the store fell silent before the write.

    Parameters
    ----------
    follow : FollowSettings
        Of the operator's rows.
    silence_after : timedelta
        Time after the end of a long poll at which a silent connection is detected.
    """
    new_call = follow.initial_retry_delay + RECONNECTION
    # One lost datagram is detected by the next one.
    gossip = EVACUATIONS.coalesce + RELAYS * EVACUATIONS.relay_after
    gossip += Timing().gap_after
    transit = TCP_USER_TIMEOUT_MS * MILLISECOND
    return follow.wait + silence_after + new_call + gossip + transit


def check_evacuation_bound(
    bound: timedelta | None, follow: FollowSettings, silence_after: timedelta
) -> None:
    """Log if the deployment's bound is shorter than what can be kept."""
    longest = longest_send_delay(follow, silence_after)
    if bound is not None and bound < longest:
        log_event(
            logger,
            EVACUATION_BOUND_EXCEEDED,
            bound_ms=bound // MILLISECOND,
            longest_ms=longest // MILLISECOND,
        )

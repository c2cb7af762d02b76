"""Timeouts and intervals of following the configuration and the endpoints."""

from datetime import timedelta

import msgspec


def ms(value: int) -> timedelta:
    """Return a duration in milliseconds."""
    return timedelta(milliseconds=value)


class FollowSettings(msgspec.Struct, frozen=True):
    """Settings of following one table.

    Attributes
    ----------
    pause : timedelta
        Delay after an answer, so that the next one returns changes in a batch.
    wait : timedelta
        Timeout of long polls; it bounds how soon a stalled connection is detected.
    initial_retry_delay, max_retry_delay : timedelta
        Delay after the first failure, and its maximum after doubling; jitter takes off
        up to a quarter.
    """

    pause: timedelta
    wait: timedelta
    initial_retry_delay: timedelta = ms(100)
    max_retry_delay: timedelta = ms(1000)


class DirectorySettings(msgspec.Struct, frozen=True):
    """Settings of following the store.

    Attributes
    ----------
    configuration, endpoints : FollowSettings
        A report that changes only its sequence number does not wake a feed, so each
        long poll that times out costs a call; but a stalled connection must be detected
        within 2.5 seconds for changes and leaving endpoints to be known in time.
        The endpoints are retried more often than the configuration: the time to detect
        the store's return and the grace period after it must both fit into the three
        seconds after which an instance that lost the store must be up to date again.
        The pause after an answer batches bursts of configurations, one every 130 ms:
        five calls a second instead of eight. It is shorter than the time after which
        peers are offered a newer one, so that they need not fetch it.
    return_grace : timedelta
        Grace period after the store's return in which rows that disappeared during the
        outage, or in this period, may still reappear.
    min_outage : timedelta
        Shortest time without an answer in which rows may have expired wrongly. They
        expire after three missed reports, the first of which may have been due when
        the outage began: two report intervals, less a margin. Longer than it takes to
        detect and replace a stalled connection.
    removal_retention : timedelta
        How long the removal of an endpoint is kept.
    """

    configuration: FollowSettings = msgspec.field(
        default_factory=lambda: FollowSettings(pause=ms(200), wait=ms(1600))
    )
    endpoints: FollowSettings = msgspec.field(
        default_factory=lambda: FollowSettings(
            pause=ms(250), wait=ms(1600), max_retry_delay=ms(700)
        )
    )
    return_grace: timedelta = ms(2000)
    min_outage: timedelta = ms(2000)
    removal_retention: timedelta = timedelta(minutes=10)

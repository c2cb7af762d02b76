"""Times of following the configuration and the endpoints."""

from datetime import timedelta

import msgspec


def ms(value: int) -> timedelta:
    """Return milliseconds as a time."""
    return timedelta(milliseconds=value)


class FollowSettings(msgspec.Struct, frozen=True):
    """How one table is followed.

    Attributes
    ----------
    pause : timedelta
        After an answer, so that the next one brings changes in a batch.
    wait : timedelta
        Longest time that a long poll is asked to wait; it bounds how soon a silent
        connection is found.
    first_retry, last_retry : timedelta
        Pause after a first failure, and the longest that it grows to by doubling;
        a random part of at most a quarter is taken off.
    """

    pause: timedelta
    wait: timedelta
    initial_retry_delay: timedelta = ms(100)
    max_retry_delay: timedelta = ms(1000)


class DirectorySettings(msgspec.Struct, frozen=True):
    """How the directory follows the store.

    Attributes
    ----------
    configuration, endpoints : FollowSettings
        A report that changes nothing but its number does not wake a feed (played
        days), so each wait that ends empty is a call that costs; but a silent
        connection must be found within two seconds and a half for changes and leaving
        endpoints to be known in time.
        The endpoints' retries go on more often than the configuration's: the time until
        the return is noticed and the grace after it must both fit into the three
        seconds after which an instance that the store had left counts as informed.
        The pause after an answer gathers what comes in a storm of configurations, one
        every 130 ms: five calls a second, not eight. It is shorter than the time after
        which peers are offered a newer one, so that they need not fetch it.
    return_grace : timedelta
        What vanished while the store was unavailable, or this soon after its
        return, may be back until then.
    least_outage : timedelta
        Shortest time without an answer in which rows may have expired wrongly. They
        expire after three missed reports, the first of which may have been due as
        the outage began: two reports' time, less a margin. More than it takes to
        find and replace a silent connection.
    gone_kept : timedelta
        How long the update that an endpoint is gone is remembered.
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

"""Calls that wait for a permit, and those that would wait too long."""

from collections.abc import Iterable, Sequence
from datetime import timedelta

import msgspec

from ...placement.choice import EngineView
from .send_permits import PermitSource

SECOND = timedelta(seconds=1)
MIN_RETRY_AFTER = timedelta(milliseconds=50)


class RateLimitWait(msgspec.Struct, frozen=True):
    """When a call could be placed if all usable endpoints need permits.

    Attributes
    ----------
    until : timedelta or None
        Monotonic instant; None if this instance has no share that is left for the call.
    retry_after : timedelta
        Time after which some instance can serve the caller.
    """

    until: timedelta | None
    retry_after: timedelta


def rate_limit_wait(
    views: Sequence[EngineView],
    sources: Iterable[PermitSource | None],
    ahead: int,
    now: timedelta,
) -> RateLimitWait | None:
    """Return the wait of a call, None unless it waits for permits alone.

    Parameters
    ----------
    views : sequence of EngineView
        Endpoints of the service, usable apart from their permits or not.
    sources : iterable of PermitSource or None
        This instance's permits for each of them; None if it is used without.
    ahead : int
        Calls that were waiting before.
    """
    needed = []
    for view, source in zip(views, sources, strict=True):
        if not view.usable:
            continue
        if source is None:
            return None
        needed.append(source)
    if not needed:
        return None
    sends = sorted(at for source in needed for at in source.next_sends(now))
    until = sends[ahead] if ahead < len(sends) else None
    retry_after = SECOND / sum(source.per_s for source in needed)
    if until is not None:
        retry_after = min(retry_after, until - now)
    return RateLimitWait(until, max(MIN_RETRY_AFTER, retry_after))

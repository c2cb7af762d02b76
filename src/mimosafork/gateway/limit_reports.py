"""Messages about the rate limit that a response states."""

from datetime import timedelta

from ..kernel.messages.dispatch import Dispatch
from ..kernel.messages.rate_limits import (
    LimitStatement,
    RateLimitStated,
    RateLimitUnreadable,
)
from .dialect import ResponseMetadata


def limit_report(
    dispatch: Dispatch, metadata: ResponseMetadata, sent_at: timedelta, now: timedelta
) -> RateLimitStated | RateLimitUnreadable | None:
    """Return the message about a response's rate limit; None if it says nothing.

    Only a signed response without a limit shows that there is none: a rejection may
    omit the header.
    """
    if not metadata.rate_limit_readable:
        return RateLimitUnreadable(dispatch.endpoint)
    if metadata.rate_limit is None and not metadata.signed:
        return None
    statement = LimitStatement(metadata.rate_limit, sent_at, now)
    return RateLimitStated(dispatch.endpoint, dispatch.request_id, statement)

"""Translates what responses state about the endpoint that sent them."""

import re
from datetime import timedelta
from http import HTTPStatus
from typing import NamedTuple

from ..gateway.response_reader import ResponseHead
from . import names

DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,15})?")
LEAVING = b"1"
MIN_RATE_LIMIT = 0.05
"""Requests per second. With a limit of zero an endpoint would get no request whose
response could end the limit."""
MAX_RATE_LIMIT = 1e6
MAX_BACKOFF = timedelta(days=1)
"""Longer requests are shortened to it, as they would overflow later."""


class RateLimit(NamedTuple):
    """Rate limit that a response states; None without one."""

    per_s: float | None
    readable: bool = True


class Backoff(NamedTuple):
    """Time for which an endpoint wants no further request; None without one."""

    duration: timedelta | None
    readable: bool = True


def announces_leaving(head: ResponseHead) -> bool:
    """Return whether the endpoint is about to exit."""
    return LEAVING in header_values(head, names.SERVER_LEAVING)


def rate_limit(head: ResponseHead) -> RateLimit:
    """Return the strictest rate limit that a response states.

    Values outside the usable range are clamped to it. A value that is not a decimal
    number is ignored if another one is.
    """
    values = header_values(head, names.SERVER_LIMIT)
    limits = decimals(values)
    if not limits:
        return RateLimit(None, readable=not values)
    return RateLimit(min(max(min(limits), MIN_RATE_LIMIT), MAX_RATE_LIMIT))


def requested_backoff(head: ResponseHead) -> Backoff:
    """Return the longest time for which a rejection asks for no further request.

    Other statuses request none: their field is meant for callers. A value that is not a
    decimal number, such as a date, is ignored if another one is.
    """
    if head.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return Backoff(None)
    values = header_values(head, names.RETRY_AFTER)
    seconds = decimals(values)
    if not seconds:
        return Backoff(None, readable=not values)
    longest = min(max(seconds), MAX_BACKOFF.total_seconds())
    return Backoff(timedelta(seconds=longest))


def header_values(head: ResponseHead, name: bytes) -> list[bytes]:
    """Return the values of all fields with a name."""
    lowered = name.lower()
    return [each.value.strip() for each in head.headers if each.name.lower() == lowered]


def decimals(values: list[bytes]) -> list[float]:
    """Return the values that are decimal numbers."""
    return [float(value) for value in values if DECIMAL.fullmatch(value)]

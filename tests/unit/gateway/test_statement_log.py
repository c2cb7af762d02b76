"""Tests of the log lines about what endpoints announce in their responses."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.ids import EndpointId
from mimosafork.kernel.messages.endpoint_statements import (
    BackoffRequested,
    BackoffUnreadable,
    LeavingAnnounced,
)
from mimosafork.telemetry.catalogue.rate_limits import (
    BACKOFF_REQUESTED,
    BACKOFF_UNREADABLE,
    LEAVING_ANNOUNCED,
)

from ...support.functions import function_tests
from ...support.gateway_kernels import gateway_bench
from ...support.log_lines import caught_lines

case = TestCase()

DESK = EndpointId("desk-0")
UNKNOWN = EndpointId("desk-9")


def test_announcements_of_endpoints_are_logged() -> None:
    """Operators must see why an endpoint gets no more calls."""
    bench = gateway_bench()
    now = bench.clock.monotonic()
    with caught_lines() as caught:
        for endpoint in (DESK, UNKNOWN):
            bench.handle(BackoffRequested(endpoint, now, timedelta(seconds=3)))
            bench.handle(LeavingAnnounced(endpoint, now))
    case.assertEqual(3000, caught.one(BACKOFF_REQUESTED)["for_ms"])
    case.assertEqual(DESK, caught.one(LEAVING_ANNOUNCED)["endpoint"])


def test_unreadable_backoffs_are_logged_at_bounded_intervals() -> None:
    """An endpoint with a malformed header must not flood the log."""
    bench = gateway_bench()
    with caught_lines() as caught:
        for _ in range(30):
            bench.clock.advance(timedelta(seconds=1))
            bench.handle(BackoffUnreadable(DESK))
    case.assertEqual(3, len(caught.of(BACKOFF_UNREADABLE)))


load_tests = function_tests(__name__)

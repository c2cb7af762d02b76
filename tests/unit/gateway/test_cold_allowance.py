"""Tests of how the requests of cold endpoints are divided among instances."""

from datetime import timedelta
from random import Random
from unittest import TestCase

from mimosafork.gateway.policies.fleet_allowance import (
    COLD_COUNTED_SPAN,
    cold_allowance,
)
from mimosafork.gateway.policies.limited_endpoint import LimitedEndpoint
from mimosafork.gateway.policies.retry_budget import SlackShare

from ...support.cold_fleet import COLD_PER_S, FACTOR, SLACK
from ...support.functions import function_tests

case = TestCase()

SECOND = timedelta(seconds=1)


def limited(share: SlackShare, now: timedelta) -> LimitedEndpoint:
    """Return the permits of an instance with a share."""
    allowance = cold_allowance(COLD_PER_S, FACTOR, SLACK)
    return LimitedEndpoint(allowance, share, now, Random(1))


def test_the_bound_is_divided_into_settled_and_restarted_shares() -> None:
    """Both groups together must not exceed what an endpoint accepts."""
    allowance = cold_allowance(COLD_PER_S, FACTOR, SLACK)
    case.assertEqual((30, 14), (allowance.requests, allowance.restarted_requests))
    for instances in (1, 4, 9, 30, 31, 75, 111):
        for restarted_at in (None, SECOND):
            shares = [
                SlackShare(instances, rank, True, restarted_at)
                for rank in range(instances)
            ]
            total = sum(allowance.portion_of(each) for each in shares)
            expected = 30 if restarted_at is None else 14
            case.assertEqual(expected, total, instances)
    unknown = SlackShare(known=False, restarted_at=SECOND)
    case.assertEqual(0, allowance.portion_of(unknown))


def test_a_permit_that_was_another_instances_is_free_after_the_span() -> None:
    """It may have sent a request just before this instance got its share."""
    now = 100 * SECOND
    permits = limited(SlackShare(10), now)
    case.assertEqual(3, permits.portion)
    permits.divide(SlackShare(5), now)
    case.assertEqual((6, 3), (permits.portion, permits.taken(now)))
    case.assertEqual(0, permits.taken(now + COLD_COUNTED_SPAN))


def test_the_permits_of_an_instance_that_settles_are_free_at_once() -> None:
    """Its predecessor's requests no longer count; its own do."""
    now = 100 * SECOND
    permits = limited(SlackShare(1, restarted_at=now), now)
    for _ in range(14):
        case.assertTrue(permits.available(now))
        permits.count(now)
    case.assertFalse(permits.available(now))
    permits.divide(SlackShare(1), now)
    case.assertEqual((30, 14), (permits.portion, permits.taken(now)))


load_tests = function_tests(__name__)

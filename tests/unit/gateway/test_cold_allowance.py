"""Tests of how the requests of cold endpoints are divided among instances."""

from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import cast
from unittest import TestCase

from mimosafork.clock import ManualClock
from mimosafork.directory.listing_changes import (
    listing_changed,
    listing_or_coldness_changed,
)
from mimosafork.gateway.cold_setup import bound_cold_endpoints
from mimosafork.gateway.fleet_shares import EndpointRanks, FleetShares
from mimosafork.gateway.policies.cold_endpoints import ColdEndpoints
from mimosafork.gateway.policies.fleet_allowance import (
    COLD_COUNTED_SPAN,
    cold_allowance,
)
from mimosafork.gateway.policies.limited_endpoint import LimitedEndpoint
from mimosafork.gateway.policies.retry_budget import SlackShare
from mimosafork.gossip.census import KEPT, Census
from mimosafork.gossip.service import Gossip
from mimosafork.ids import EndpointId, InstanceId
from mimosafork.placement.subset import distance_to_engine
from mimosafork.settings.gateway import BoundsSection

from ...support.cold_fleet import COLD_PER_S, FACTOR, SLACK
from ...support.directories import directory_world, listed, page
from ...support.functions import function_tests
from ...support.gossip_network import ms

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


def test_cached_ranks_follow_the_census() -> None:
    """A rank of a former census would give two instances the same permit."""
    census, ranks = Census(started_ms=0), EndpointRanks()
    names = [InstanceId(f"entry-{number}") for number in range(20)]
    me, others = names[0], names[1:]
    now = 100 * SECOND
    engines = [EndpointId(f"engine-{number}") for number in range(10)]

    def check() -> None:
        for engine in engines:
            nearer = sum(
                distance_to_engine(each, engine) < distance_to_engine(me, engine)
                for each in census.seen
            )
            case.assertEqual(nearer, ranks.rank(census, me, engine, now))

    census.review(others[:9], now)
    check()
    census.seen[others[12]] = now
    check()
    census.review(others[9:], now)
    check()
    census.seen = dict.fromkeys(others[:9], now)
    check()
    census.seen = dict.fromkeys(others[9:18], now)
    check()
    census.joins = True
    for engine in engines:
        case.assertEqual(9, ranks.rank(census, me, engine, now))
    now += 2 * KEPT
    check()


def test_an_instance_settles_when_its_predecessors_requests_no_longer_count() -> None:
    """One that is new in its fleet has to be known to the others as well."""
    for joins, settled_after in ((False, ms(1200)), (True, ms(12300))):
        clock = ManualClock(100 * SECOND)
        shares = FleetShares(clock)
        case.assertFalse(shares.of_cold_endpoint(EndpointId("e")).known)
        census = Census(started_ms=0)
        census.complete, census.joins = True, joins
        census.review([InstanceId("entry-2")], clock.monotonic())
        shares.gossip = cast(
            Gossip,
            SimpleNamespace(census=census, instance=InstanceId("me"), clock=clock),
        )
        clock.advance(settled_after - ms(1))
        share = shares.of_cold_endpoint(EndpointId("e"))
        case.assertIsNotNone(share.restarted_at)
        clock.advance(ms(1))
        share = shares.of_cold_endpoint(EndpointId("e"))
        case.assertEqual((None, 2), (share.restarted_at, share.instances))


def test_the_list_is_unconfirmed_when_no_confirmation_is_due_any_more() -> None:
    """In service, an instance that relies on peers waits for up to 3.55 s."""
    with directory_world() as world:
        cold = ColdEndpoints()
        shares = FleetShares(world.clock)
        bounds = BoundsSection(cold_factor=FACTOR, cold_slack=SLACK)
        bound_cold_endpoints(cold, bounds, world.directory, shares, world.clock)
        case.assertTrue(cold.unconfirmed())
        world.endpoints(page(9, listed("a", 4)))
        case.assertFalse(cold.unconfirmed())
        world.clock.advance(ms(3550))
        case.assertFalse(cold.unconfirmed())
        world.clock.advance(ms(1))
        case.assertTrue(cold.unconfirmed())


def test_the_settings_enable_and_disable_the_bound() -> None:
    """A reload must leave nothing behind; other deployments publish no cold rows."""
    with directory_world() as world:
        cold, shares = ColdEndpoints(), FleetShares(world.clock)
        registry = world.directory.endpoint_registry
        for factor, differs in (
            (None, listing_changed),
            (FACTOR, listing_or_coldness_changed),
            (None, listing_changed),
        ):
            bounds = BoundsSection(cold_factor=factor, cold_slack=SLACK)
            bound_cold_endpoints(cold, bounds, world.directory, shares, world.clock)
            case.assertEqual(factor, cold.factor)
            case.assertIs(differs, registry.differs)


load_tests = function_tests(__name__)

"""Tests of endpoints that reject a call and ask for no more for some time."""

import time
from datetime import timedelta
from unittest import TestCase

from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.engine import Engine
from mimosafork.standins.prepared.faults import Shed
from mimosafork.standins.prepared.words import RETRY_AFTER

from ...support.functions import function_tests
from ...support.gateway import World, gateway_world
from ...support.prepared import ENGINE_PATH
from ...support.waiting import eventually

case = TestCase()

BACKOFF = timedelta(milliseconds=800)
LONG_BACKOFF = timedelta(seconds=30)
SOON = timedelta(seconds=1)
CALLS = 12


def visits(world: World, endpoint: Desk | Engine) -> int:
    """Return how many requests have reached an endpoint."""
    return sum(v.instance == endpoint.id for v in world.platform.log.visits)


def ask_until_visited(world: World, path: str, endpoint: Desk | Engine) -> None:
    """Send calls until one has reached an endpoint."""
    before = visits(world, endpoint)
    for number in range(CALLS):
        world.running.ask(path, f"{path}-first-{number}")
        if visits(world, endpoint) > before:
            return
    raise AssertionError("no call reached the endpoint")


def check_backoff(world: World, path: str, endpoint: Desk | Engine) -> None:
    """Check that a rejecting endpoint gets no call until its backoff ends."""
    endpoint.play(Shed(retry_after=BACKOFF), times=None)
    ask_until_visited(world, path, endpoint)
    ends = time.monotonic() + BACKOFF.total_seconds() * 0.9
    before, number = visits(world, endpoint), 0
    while time.monotonic() < ends:
        number += 1
        case.assertEqual(200, world.running.ask(path, f"{path}-{number}").status)
    case.assertEqual(before, visits(world, endpoint))
    endpoint.end_faults()

    def is_used_again() -> bool:
        nonlocal number
        number += 1
        world.running.ask(path, f"{path}-{number}")
        return visits(world, endpoint) > before

    eventually(is_used_again, within=BACKOFF + SOON)


def test_an_endpoint_gets_no_call_within_the_backoff_that_it_requested() -> None:
    """Calls go on to a plain endpoint that asked for none, and are rejected."""
    with gateway_world() as world:
        shedding = world.add_desk()
        world.add_desk()
        check_backoff(world, "/unsafe/1", shedding)


def test_an_engine_gets_no_stream_within_the_backoff_that_it_requested() -> None:
    """Streams go on to an engine that asked for none, and are rejected."""
    with gateway_world() as world:
        shedding = world.add_engine()
        world.add_engine()
        check_backoff(world, ENGINE_PATH, shedding)


def test_calls_are_refused_at_once_while_all_endpoints_request_a_backoff() -> None:
    """A caller waits for an endpoint that is not usable in time.

    The response must say when one will be.
    """
    with gateway_world() as world:
        desks = [world.add_desk() for _ in range(2)]
        for desk in desks:
            desk.play(Shed(retry_after=LONG_BACKOFF), times=None)
        case.assertEqual(503, world.running.ask("/safe/1", "first").status)
        case.assertEqual([1, 1], [visits(world, desk) for desk in desks])
        asked_at = time.monotonic()
        result = world.running.ask("/safe/1", "second")
        case.assertLess(time.monotonic() - asked_at, SOON.total_seconds())
        case.assertEqual(503, result.status)
        retry_after_s = float(result.headers[RETRY_AFTER.lower()])
        latest_s = LONG_BACKOFF.total_seconds()
        case.assertTrue(latest_s - 2 < retry_after_s <= latest_s + 2, retry_after_s)
        case.assertEqual([1, 1], [visits(world, desk) for desk in desks])


load_tests = function_tests(__name__)

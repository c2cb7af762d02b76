"""Tests of endpoints that announce in their responses that they leave."""

from unittest import TestCase

from mimosafork.standins.prepared.desk import Desk
from mimosafork.standins.prepared.engine import Engine

from ...support.functions import function_tests
from ...support.gateway import World, gateway_world
from ...support.prepared import ENGINE_PATH

case = TestCase()

CALLS = 12
PLAIN_PATHS = ("/safe/1", "/unsafe/1")


def visits(world: World, endpoint: Desk | Engine) -> list[str]:
    """Return the ids of the requests that reached an endpoint."""
    return [
        v.request_id for v in world.platform.log.visits if v.instance == endpoint.id
    ]


def ask_until_visited(world: World, path: str, endpoint: Desk | Engine) -> None:
    """Send calls until one has reached an endpoint."""
    before = len(visits(world, endpoint))
    for number in range(CALLS):
        world.running.ask(path, f"{path}-first-{number}")
        if len(visits(world, endpoint)) > before:
            return
    raise AssertionError("no call reached the endpoint")


def check_no_further_call(world: World, path: str, endpoint: Desk | Engine) -> None:
    """Check that calls are served, and none of them by an endpoint."""
    before = visits(world, endpoint)
    for number in range(CALLS):
        result = world.running.ask(path, f"{path}-later-{number}")
        case.assertEqual(200, result.status)
    case.assertEqual(before, visits(world, endpoint))


def test_an_endpoint_that_announces_its_leaving_gets_no_further_call() -> None:
    """Calls go on to an endpoint that leaves as long as the store lists it as ready."""
    for path in PLAIN_PATHS:
        with gateway_world() as world:
            leaving = world.add_desk()
            world.add_desk()
            leaving.drain()
            ask_until_visited(world, path, leaving)
            check_no_further_call(world, path, leaving)


def test_an_engine_that_announces_its_leaving_gets_no_further_stream() -> None:
    """Streams go on to an engine that leaves as long as the store lists it as ready."""
    with gateway_world() as world:
        leaving = world.add_engine()
        world.add_engine()
        leaving.drain()
        ask_until_visited(world, ENGINE_PATH, leaving)
        check_no_further_call(world, ENGINE_PATH, leaving)


load_tests = function_tests(__name__)

"""Tests of whole calls by what is in force: configuration, keys, leaving, limits."""

from contextlib import ExitStack
from dataclasses import replace
from datetime import timedelta
from unittest import TestCase

from mimosafork.standins.prepared.documents import (
    LimitsEntry,
    RouteEntry,
    TenantEntry,
)
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import LostAnswer
from mimosafork.standins.prepared.runs import RunEnd
from mimosafork.standins.prepared.words import (
    AUTHORIZATION,
    REQUEST_ID,
    RETRY_AFTER,
    SEAL,
    TENANT,
)

from ...support.functions import function_tests
from ...support.gateway import BEARER, World, gateway_world
from ...support.prepared import DESKS, HOST, USUAL_CONFIG, call
from ...support.waiting import eventually

case = TestCase()

QUICK_LIMITS = LimitsEntry(
    header_timeout=timedelta(milliseconds=150),
    idle_timeout=timedelta(seconds=1),
)
BLANK = b"\r\n"


def until_version(world: World, version: int) -> None:
    directory = world.running.server.directory
    world.running.wait_until(
        lambda: directory.table is not None and directory.table.version >= version
    )


def test_without_a_configuration_nothing_is_denied() -> None:
    """A caller is told that its route does not exist, and gives up for good.

    The instance had just started and knew no configuration yet.
    """
    with gateway_world(None) as world:
        ready = call(world.running.ready_address, "GET", "/-/ready")
        case.assertEqual(503, ready.status)
        result = world.running.ask("/safe/1", "c1")
        case.assertEqual(503, result.status)
        case.assertIn(RETRY_AFTER.lower(), result.headers)
        world.platform.configure(USUAL_CONFIG)
        world.add_desk()
        case.assertEqual(200, world.running.ask("/safe/1", "c2").status)
        ready = call(world.running.ready_address, "GET", "/-/ready")
        case.assertEqual(200, ready.status)


def test_unknown_keys_and_routes() -> None:
    with gateway_world() as world:
        world.add_desk()
        for number, key in enumerate(("", "Bearer", "Bearer x", "Basic x")):
            result = world.running.ask("/safe/1", f"k{number}", Authorization=key)
            case.assertEqual(401, result.status)
            case.assertNotIn(SEAL.lower(), result.headers)
        case.assertEqual(404, world.running.ask("/nowhere/1", "n1").status)
        case.assertEqual([], world.platform.log.visits)
        public = {REQUEST_ID: "c1", AUTHORIZATION: "Bearer x", TENANT: "account-z"}
        result = call(world.running.address, "POST", "/open/1", public)
        case.assertEqual(200, result.status)
        run = world.platform.log.of("c1")[0]
        case.assertNotIn(AUTHORIZATION, run.headers)
        case.assertNotIn(TENANT, run.headers)


def test_a_changed_configuration_is_in_force_on_open_connections() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        world.add_desk()
        channel.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER})
        case.assertEqual(200, channel.read_answer().status)
        fresh = RouteEntry("r-new", "/new/", "safe", DESKS, HOST)
        key = TenantEntry("account-b", ("key-of-account-b",))
        changed = replace(USUAL_CONFIG, routes=(fresh,), tenants=(key,))
        until_version(world, world.platform.configure(changed))
        for name, path, bearer, status in (
            ("c2", "/safe/1", "key-of-account-b", 404),
            ("c3", "/new/1", "key-of-account-a", 401),
            ("c4", "/new/1", "key-of-account-b", 200),
        ):
            headers = {REQUEST_ID: name, AUTHORIZATION: f"Bearer {bearer}"}
            channel.send("POST", path, headers)
            case.assertEqual(status, channel.read_answer().status)
        case.assertEqual("account-b", world.platform.log.of("c4")[0].headers[TENANT])


def test_a_call_goes_on_when_its_route_is_dropped() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        desk = world.add_desk()
        desk.hold()
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        changed = replace(USUAL_CONFIG, routes=USUAL_CONFIG.routes[-1:])
        until_version(world, world.platform.configure(changed))
        desk.let_go()
        case.assertEqual(200, channel.read_answer().status)


def test_a_draining_endpoint_gets_nothing_new_and_finishes() -> None:
    """A call reaches an endpoint that is about to end.

    It has said that it drains, or its row is gone, and serves on for a while; what
    runs there goes on, and kept connections to it must not be used.
    """
    for reported in (True, False):
        with gateway_world() as world, world.running.channel() as channel:
            leaving = world.add_desk()
            leaving.hold()
            channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
            world.platform.log.wait_until(lambda log: len(log.runs) == 1)
            staying = world.add_desk()
            world.platform.drain(leaving, reported)
            directory = world.running.server.directory
            world.running.wait_until(lambda: not takes_new(directory, leaving.id))  # noqa: B023
            for number in range(6):
                result = world.running.ask("/safe/1", f"s{number}")
                case.assertTrue(result.headers[SEAL.lower()].startswith(staying.id))
            leaving.let_go()
            result = channel.read_answer()
            case.assertTrue(result.headers[SEAL.lower()].startswith(leaving.id))
            idle = world.running.call_in_loop(
                lambda: dict(world.running.gateway.pool.idle)
            )
            case.assertEqual([], idle.get(leaving.id, []))  # type: ignore[call-overload]


def takes_new(directory: object, name: str) -> bool:
    entries = directory.endpoints  # type: ignore[attr-defined]
    return name in entries and entries[name].takes_new_work


def test_connections_to_endpoints_that_are_gone_leave_nothing() -> None:
    """The instance grows with each endpoint that ever was.

    Endpoints come and go all day under ids of their own; what is kept for one must
    go with it.
    """
    with gateway_world() as world:
        for number in range(4):
            desk = world.add_desk()
            case.assertEqual(200, world.running.ask("/safe/1", f"c{number}").status)
            world.platform.remove(desk)
            directory = world.running.server.directory
            world.running.wait_until(lambda: not directory.endpoints)  # noqa: B023
        with world.running.channel() as channel:
            desk = world.add_desk()
            desk.hold()
            channel.send("POST", "/safe/1", {REQUEST_ID: "last", **BEARER})
            world.platform.log.wait_until(lambda log: len(log.of("last")) == 1)
            world.platform.delist(desk)
            world.running.wait_until(lambda: not directory.endpoints)
            desk.let_go()
            case.assertEqual(200, channel.read_answer().status)
        desk.stop()
        pool = world.running.gateway.pool
        world.running.wait_until(lambda: not pool.idle)


def test_a_connection_that_its_endpoint_closes_when_idle_costs_no_call() -> None:
    """A call is lost on a connection that its endpoint has closed.

    The end came while nobody used the connection; it must leave the pool then, and
    not be found by the next call.
    """
    with gateway_world() as world:
        idle = timedelta(milliseconds=50)
        world.add_desk(EndpointSettings(DESKS, idle=idle))
        pool = world.running.gateway.pool
        for number in range(3):
            case.assertEqual(200, world.running.ask("/unsafe/1", f"c{number}").status)
            world.running.wait_until(lambda: not pool.idle)
        case.assertEqual(3, world.running.call_in_loop(lambda: pool.opened_count))
        case.assertEqual([], world.platform.log.ran_twice())


def test_a_caller_that_sends_its_head_too_slowly() -> None:
    with gateway_world(replace(USUAL_CONFIG, limits=QUICK_LIMITS)) as world:
        for part in (b"POST /safe/1 HT", b"POST /safe/1 HTTP/1.1\r\nHost: h\r\n"):
            with world.running.channel() as channel:
                channel.send_bytes(part)
                result = channel.read_answer()
                case.assertEqual(408, result.status)
                case.assertEqual("close", result.headers["connection"])
                case.assertTrue(channel.ended())


def test_a_connection_that_sends_nothing_is_closed_in_the_end() -> None:
    with gateway_world(replace(USUAL_CONFIG, limits=QUICK_LIMITS)) as world:
        world.add_desk()
        with world.running.channel() as channel:
            channel.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER})
            told = channel.read_answer().headers["keep-alive"]
            case.assertEqual("timeout=1", told)
            took = eventually(lambda: not world.running.gateway.connections)
            # Longer than was told: a request that crosses the close would be lost.
            case.assertGreater(took, QUICK_LIMITS.idle_timeout)
            case.assertTrue(channel.ended())


def test_blank_lines_between_requests_are_no_slow_request() -> None:
    """A kept connection gets an answer that nobody asked for.

    Some callers send a blank line behind a body. It began a request that never
    came, and its caller was told 408 on a connection that it kept for later.
    """
    with gateway_world(replace(USUAL_CONFIG, limits=QUICK_LIMITS)) as world:
        desk = world.add_desk()
        with world.running.channel() as channel:
            desk.hold()
            channel.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER}, b"b")
            channel.send_bytes(BLANK)
            world.platform.log.wait_until(lambda log: len(log.runs) == 1)
            desk.let_go()
            case.assertEqual(200, channel.read_answer().status)
            channel.send_bytes(BLANK)
            connection = world.running.call_in_loop(
                lambda: next(iter(world.running.gateway.connections))
            )
            world.running.wait_until(lambda: not connection.reader.begun)
            case.assertTrue(world.running.call_in_loop(lambda: connection.idle))
            case.assertIsNone(
                world.running.call_in_loop(lambda: connection.first_byte_at)
            )
            channel.send("POST", "/safe/1", {REQUEST_ID: "c2", **BEARER})
            case.assertEqual(200, channel.read_answer().status)


def test_a_body_that_comes_steadily_is_not_too_slow() -> None:
    """A long body is cut in the middle.

    The time for a whole body ran from its head on, though bytes of it came all the
    while; only a body of which nothing comes is too slow.
    """
    with gateway_world() as world, world.running.channel() as channel:
        world.add_desk()
        limits = QUICK_LIMITS
        until_version(
            world, world.platform.configure(replace(USUAL_CONFIG, limits=limits))
        )
        head = f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: c1\r\n"
        head += f"{AUTHORIZATION}: {BEARER[AUTHORIZATION]}\r\nContent-Length: 2\r\n\r\n"
        channel.send_bytes(head.encode())
        connections = world.running.gateway.connections
        world.running.wait_until(lambda: any(c.reader.awaits_body for c in connections))
        connection = world.running.call_in_loop(lambda: next(iter(connections)))
        first = connection.timer
        channel.send_bytes(b"a")
        world.running.wait_until(lambda: len(connection.reader.buffer) == 1)
        case.assertIsNot(first, world.running.call_in_loop(lambda: connection.timer))
        channel.send_bytes(b"b")
        case.assertEqual(200, channel.read_answer().status)


def test_timers_do_not_outlive_calls() -> None:
    """The instance keeps each call for its whole time limit.

    A timer for the deadline of a call that has ended holds the call, its body and
    its answer until then.
    """
    with gateway_world() as world, world.running.channel() as channel:
        desks = [world.add_desk() for _ in range(2)]
        for desk in desks:
            desk.play(LostAnswer())
        for number in range(20):
            headers = {REQUEST_ID: f"c{number}", **BEARER}
            channel.send("POST", "/safe/1", headers, b"%d" % number)
            case.assertIn(channel.read_answer().status, {200, 502})
        loop = world.running.thread.loop

        def pending() -> int:
            handles = loop._scheduled  # type: ignore[attr-defined]
            return sum(not handle.cancelled() for handle in handles)

        world.running.wait_until(lambda: pending() < 12)


def test_many_callers_that_leave_at_once_leave_nothing() -> None:
    with gateway_world() as world, ExitStack() as stack:
        desk = world.add_desk(EndpointSettings(DESKS, slots=40, queue=0))
        desk.hold()
        channels = [stack.enter_context(world.running.channel()) for _ in range(30)]
        for number, channel in enumerate(channels):
            channel.send("POST", "/unsafe/1", {REQUEST_ID: f"c{number}", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 30)
        for number, channel in enumerate(channels):
            channel.hang_up(reset=number % 2 == 0)
        world.platform.log.wait_until(lambda log: not log.at_work())
        ends = {run.end for run in world.platform.log.runs}
        case.assertEqual({RunEnd.CANCELLED}, ends)
        world.running.wait_until(lambda: not world.running.gateway.connections)
        world.running.wait_until(lambda: not world.running.server.kernel.state.requests)


load_tests = function_tests(__name__)

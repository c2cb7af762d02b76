"""Tests of whole calls: configuration, keys, draining and limits in force."""

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
    """A caller gets a permanent error for its route from an instance that just started.

    The instance has no configuration yet, so the caller should retry.
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
    """A call is sent to an endpoint that is about to exit.

    The endpoint reported that it drains, or its row was removed, and it keeps serving
    for a while. Its running calls continue, but pooled connections must not be reused.
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
            world.running.wait_until(lambda: not is_usable(directory, leaving.id))  # noqa: B023
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


def is_usable(directory: object, name: str) -> bool:
    entries = directory.endpoints  # type: ignore[attr-defined]
    return name in entries and entries[name].takes_new_work


def test_connections_to_removed_endpoints_are_dropped() -> None:
    """The instance's memory grows with each endpoint ever listed.

    Endpoints are replaced all day under new ids; the state of a removed one must be
    removed too.
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


def test_connection_closed_by_idle_endpoint_loses_no_call() -> None:
    """A call is lost on a pooled connection that its endpoint has closed.

    A connection closed while idle must leave the pool at once.
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


def test_slow_request_head_gets_408() -> None:
    with gateway_world(replace(USUAL_CONFIG, limits=QUICK_LIMITS)) as world:
        for part in (b"POST /safe/1 HT", b"POST /safe/1 HTTP/1.1\r\nHost: h\r\n"):
            with world.running.channel() as channel:
                channel.send_bytes(part)
                result = channel.read_answer()
                case.assertEqual(408, result.status)
                case.assertEqual("close", result.headers["connection"])
                case.assertTrue(channel.ended())


def test_idle_connection_is_closed_after_its_timeout() -> None:
    with gateway_world(replace(USUAL_CONFIG, limits=QUICK_LIMITS)) as world:
        world.add_desk()
        with world.running.channel() as channel:
            channel.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER})
            advertised = channel.read_answer().headers["keep-alive"]
            case.assertEqual("timeout=1", advertised)
            took = eventually(lambda: not world.running.gateway.connections)
            # Longer than advertised: a request that crosses the close would be lost.
            case.assertGreater(took, QUICK_LIMITS.idle_timeout)
            case.assertTrue(channel.ended())


def test_blank_lines_between_requests_start_no_request() -> None:
    """A keep-alive connection gets an unsolicited 408.

    Some callers send a blank line after a body. It must not start a request, whose
    timeout would then expire.
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


def test_body_timeout_restarts_with_each_chunk() -> None:
    """A long request body is cut although it arrives steadily.

    The timeout applies to the time without new bytes, not to the whole body.
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


def test_timers_end_with_their_calls() -> None:
    """Memory of ended calls is held until their deadlines.

    A deadline timer that is not cancelled references the call, its body and its
    response.
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

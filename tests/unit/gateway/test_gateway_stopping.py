"""Tests of graceful shutdown: callers are served, and no response is truncated."""

import asyncio
import socket
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from datetime import timedelta
from unittest import TestCase
from unittest.mock import patch

from mimosafork.gateway import server as server_module
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.faults import Garbage
from mimosafork.standins.prepared.words import REQUEST_ID
from mimosafork.telemetry.catalogue.gateway import GATEWAY_STOPPED

from ...support.functions import function_tests
from ...support.gateway import BEARER, World, gateway_world
from ...support.log_lines import caught_lines
from ...support.prepared import DESKS, call
from .test_gateway_callers import EVENTS, accepted, set_buffers, whole_stream

case = TestCase()

NARROW = 65536
WIDE = 1 << 20
SHORT_WAIT_S = 0.3


@contextmanager
def stopping(world: World, lag: timedelta = timedelta(0)) -> Iterator[Future[int]]:
    """Begin to shut an instance down, with a lag of the balancer."""
    server = world.running.server
    with patch.object(server_module, "BALANCER_LAG", lag):
        loop = world.running.thread.loop
        future = asyncio.run_coroutine_threadsafe(server.stop(), loop)
        world.running.wait_until(lambda: server.gateway.draining)
        yield future


def test_callers_are_served_on_while_the_balancer_notices() -> None:
    with gateway_world() as world, world.running.channel() as kept:
        world.add_desk()
        kept.send("POST", "/safe/1", {REQUEST_ID: "c1", **BEARER})
        kept.read_answer()
        with stopping(world, timedelta(seconds=60)) as future:
            ready = call(world.running.ready_address, "GET", "/-/ready")
            case.assertEqual(503, ready.status)
            kept.send("POST", "/safe/1", {REQUEST_ID: "c2", **BEARER})
            result = kept.read_answer()
            case.assertEqual(
                (200, "close"), (result.status, result.headers["connection"])
            )
            case.assertTrue(kept.ended())
            result = world.running.ask("/safe/1", "c3")
            case.assertEqual(
                (200, "close"), (result.status, result.headers["connection"])
            )
            case.assertFalse(future.done())
            future.cancel()


def test_shutdown_waits_for_open_calls() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        desk = world.add_desk()
        desk.hold()
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        with stopping(world) as future:
            case.assertFalse(finished(future))
            desk.let_go()
            case.assertEqual(200, channel.read_answer().status)
            case.assertEqual(0, future.result())


def finished(future: Future[int]) -> bool:
    """Return whether a shutdown ends within a short time."""
    try:
        future.result(SHORT_WAIT_S)
    except TimeoutError:
        return False
    return True


def test_log_line_of_shutdown_has_its_duration() -> None:
    """A platform kills an instance during a planned shutdown.

    The duration of shutdowns must be visible before they reach the time allowed.
    """
    with gateway_world() as world, world.running.channel() as channel:
        desk = world.add_desk()
        desk.hold()
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        with caught_lines() as caught, stopping(world) as future:
            case.assertFalse(finished(future))
            desk.let_go()
            channel.read_answer()
            future.result()
        fields = caught.one(GATEWAY_STOPPED)
        case.assertEqual(0, fields["cut"])
        case.assertGreaterEqual(fields["after_ms"], SHORT_WAIT_S * 1000)


def test_slow_caller_gets_its_whole_response() -> None:
    """A stream is truncated although its endpoint has finished.

    No call is open any more, but half of the response is still buffered for a slow
    caller when the process exits.
    """
    with gateway_world() as world, world.running.channel() as channel:
        world.add_engine().play(Garbage(whole_stream(EVENTS)))
        set_buffers(world, channel, NARROW)
        transport = accepted(world).transport
        assert transport is not None
        # No backpressure on the endpoint: its whole response is buffered here.
        world.running.call_in_loop(lambda: transport.set_write_buffer_limits(WIDE))
        channel.send("POST", "/stream/1", {REQUEST_ID: "c1", **BEARER})
        world.running.wait_until(lambda: not world.running.gateway.calls)
        world.running.wait_until(lambda: transport.get_write_buffer_size() > 0)
        with stopping(world) as future:
            case.assertFalse(finished(future))
            # Only the caller's side: the instance's socket may be closed already.
            channel.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WIDE)
            result = channel.read_answer()
            case.assertEqual(EVENTS, len(result.events))
            case.assertTrue(result.complete)
            channel.hang_up()
            case.assertEqual(0, future.result())


def test_unfinished_calls_are_ended_within_the_grace_period() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        desk = world.add_desk(EndpointSettings(DESKS))
        desk.hold()
        channel.send("POST", "/unsafe/1", {REQUEST_ID: "c1", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        server = world.running.server
        bounds = server.settings.bounds.model_copy(
            update={"grace": timedelta(milliseconds=300)}
        )
        server.settings = server.settings.model_copy(update={"bounds": bounds})
        with stopping(world) as future:
            case.assertEqual(502, channel.read_answer().status)
            case.assertEqual(1, future.result())
        world.platform.log.wait_until(lambda log: log.runs[0].cancelled)


load_tests = function_tests(__name__)

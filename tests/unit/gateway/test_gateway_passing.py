"""Tests of successful calls: forwarding, framing and connection reuse."""

from datetime import timedelta
from typing import NoReturn
from unittest import TestCase

from mimosafork.gateway.call import Responder
from mimosafork.ids import RequestId
from mimosafork.standins.prepared.desk import expected_body
from mimosafork.standins.prepared.endpoint_settings import EndpointSettings
from mimosafork.standins.prepared.engine_figures import EngineFigures
from mimosafork.standins.prepared.faults import CloseAfter, EarlyAnswer
from mimosafork.standins.prepared.runs import RunEnd, digest_of
from mimosafork.standins.prepared.stream_events import expected_texts
from mimosafork.standins.prepared.words import (
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    REQUEST_ID,
    SEAL,
    TENANT,
)

from ...support.functions import function_tests
from ...support.gateway import BEARER, gateway_world
from ...support.prepared import DESKS, HOST, call

case = TestCase()

LONG = b"x" * 300_000
LONGEST = b"x" * 4_000_000
"""More than the socket buffers hold of an unread body."""


def test_a_response_is_forwarded_unchanged() -> None:
    with gateway_world() as world:
        desk = world.add_desk()
        target = "/unsafe/1?a=%20b"
        result = world.running.ask(target, "c1", b"hello")
        case.assertEqual(200, result.status)
        case.assertEqual(expected_body("POST", target, b"hello"), result.body)
        case.assertTrue(result.headers[SEAL.lower()].startswith(desk.id))
        case.assertEqual("c1", result.headers[REQUEST_ID.lower()])
        case.assertEqual("text/plain", result.headers["content-type"])
        run = world.platform.log.of("c1")[0]
        case.assertEqual((target, digest_of(b"hello")), (run.target, run.body_digest))
        case.assertEqual("account-a", run.headers[TENANT])
        case.assertEqual(desk.id, run.headers[EXPECT_INSTANCE])
        case.assertNotIn(AUTHORIZATION, run.headers)
        case.assertTrue(0 < int(run.headers[DEADLINE_MS]) <= 10_000)


def test_a_stream_is_forwarded_event_by_event() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        engine = world.add_engine(EngineFigures(events=3))
        engine.hold()
        headers = {REQUEST_ID: "c1", **BEARER}
        channel.send("POST", "/stream/1", headers, b"prompt")
        for number in range(1, 4):
            engine.release()
            if number == 1:
                case.assertEqual(200, channel.read_head().status)
            event = channel.read_event()
            assert event is not None
            case.assertEqual(number, event.number)
            case.assertEqual(expected_texts(b"prompt", 3)[number - 1], event.text)
        case.assertIsNone(channel.read_event())
        case.assertTrue(channel.complete)


def test_connections_are_reused_on_both_sides() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        desk = world.add_desk()
        for number in range(5):
            channel.send("POST", "/safe/1", {REQUEST_ID: f"c{number}", **BEARER}, b"b")
            result = channel.read_answer()
            case.assertEqual(200, result.status)
            case.assertIn("timeout=", result.headers["keep-alive"])
        case.assertEqual(
            1,
            world.running.call_in_loop(lambda: world.running.gateway.pool.opened_count),
        )
        case.assertEqual(1, desk.open_connections)


def test_a_connection_that_its_endpoint_closes_is_not_reused() -> None:
    with gateway_world() as world:
        desk = world.add_desk()
        desk.play(CloseAfter(), 2)
        for number in range(4):
            case.assertEqual(200, world.running.ask("/unsafe/1", f"c{number}").status)
        case.assertEqual([], world.platform.log.ran_twice())
        case.assertEqual(
            3,
            world.running.call_in_loop(lambda: world.running.gateway.pool.opened_count),
        )


def test_chunked_requests_with_trailers() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        world.add_desk()
        head = f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: c1\r\n"
        head += f"{AUTHORIZATION}: {BEARER[AUTHORIZATION]}\r\n"
        head += "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n"
        body = b"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nX-T: 1\r\n\r\n"
        for byte in (head.encode() + body)[:-1]:
            channel.send_bytes(bytes([byte]))
        case.assertEqual([], world.platform.log.of("c1"))
        channel.send_bytes(b"\n")
        case.assertEqual(200, channel.read_answer().status)
        run = world.platform.log.of("c1")[0]
        case.assertEqual(digest_of(b"hello"), run.body_digest)
        channel.send("POST", "/safe/1", {REQUEST_ID: "c2", **BEARER}, b"a", True)
        case.assertEqual(200, channel.read_answer().status)


class Unscanned(dict[Responder, RequestId]):
    """A dictionary of open calls that fails on iteration."""

    def __iter__(self) -> NoReturn:
        """Fail."""
        raise AssertionError("all connections were iterated over")

    def items(self) -> NoReturn:
        """Fail."""
        raise AssertionError("all connections were gone through")


def test_ending_a_call_does_not_iterate_over_all_connections() -> None:
    """Calls get slower with the number of callers.

    Ending a call searched all connections for its own.
    """
    with gateway_world() as world:
        world.add_desk()
        gateway = world.running.gateway
        world.running.call_in_loop(
            lambda: setattr(gateway, "by_connection", Unscanned())
        )
        for number in range(3):
            case.assertEqual(200, world.running.ask("/safe/1", f"c{number}").status)
        case.assertEqual(
            0, world.running.call_in_loop(lambda: len(gateway.by_connection))
        )


def test_pipelined_requests_are_answered_in_order() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        desk = world.add_desk()
        desk.hold()
        for number in range(3):
            path = f"/safe/{number}"
            channel.send("POST", path, {REQUEST_ID: f"c{number}", **BEARER})
        world.platform.log.wait_until(lambda log: len(log.runs) == 1)
        case.assertEqual(1, world.running.open_calls)
        desk.let_go()
        for number in range(3):
            result = channel.read_answer()
            case.assertEqual(f"c{number}", result.headers[REQUEST_ID.lower()])


def test_a_caller_that_expects_100_continue() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        world.add_desk()
        head = f"POST /safe/1 HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: c1\r\n"
        head += f"{AUTHORIZATION}: {BEARER[AUTHORIZATION]}\r\n"
        head += "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"
        channel.send_bytes(head.encode())
        case.assertEqual(b"HTTP/1.1 100 Continue\r\n", channel.file.readline())
        case.assertEqual(b"\r\n", channel.file.readline())
        channel.send_bytes(b"hello")
        case.assertEqual(200, channel.read_answer().status)


def test_a_caller_that_requests_connection_close() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        world.add_desk()
        headers = {REQUEST_ID: "c1", "Connection": "close", **BEARER}
        channel.send("POST", "/safe/1", headers)
        result = channel.read_answer()
        case.assertEqual("close", result.headers["connection"])
        case.assertTrue(channel.ended())


def test_improper_bytes_reach_no_endpoint_and_end_the_connection() -> None:
    """A second request is smuggled in the body of a valid one.

    Ambiguous input is rejected by this instance, the connection is closed, and no
    endpoint receives any of it.
    """
    hidden = f"POST /unsafe/1 HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: c2\r\n\r\n"
    with gateway_world() as world:
        world.add_desk()
        for framing in (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "X-A: b\nX-C: d\r\n",
            " folded\r\n",
        ):
            with world.running.channel() as channel:
                head = f"POST /unsafe/1 HTTP/1.1\r\nHost: {HOST}\r\n{framing}"
                channel.send_bytes(f"{head}{REQUEST_ID}: c1\r\n\r\n{hidden}".encode())
                result = channel.read_answer()
                case.assertEqual(400, result.status)
                case.assertEqual("close", result.headers["connection"])
                case.assertTrue(channel.ended())
        case.assertEqual([], world.platform.log.visits)
        world.running.wait_until(lambda: not world.running.gateway.connections)


def test_an_early_answer_before_a_long_body_is_read() -> None:
    """An endpoint reads another request's bytes as the rest of a body.

    It responded before it had read the body. The rest must still be sent on that
    connection, with no other bytes in between.
    """
    with gateway_world() as world:
        desk = world.add_desk()
        desk.play(EarlyAnswer(timedelta(milliseconds=50)))
        first = world.running.ask("/safe/1", "c1", LONG)
        case.assertEqual((200, b"early c1"), (first.status, first.body))
        second = world.running.ask("/safe/2", "c2", b"b")
        case.assertEqual(expected_body("POST", "/safe/2", b"b"), second.body)
        world.platform.log.wait_until(lambda log: not log.at_work())
        runs = world.platform.log.runs
        digests = {run.request_id: run.body_digest for run in runs}
        expected = {"c1": digest_of(LONG), "c2": digest_of(b"b")}
        case.assertEqual(expected, digests)


def test_no_call_is_sent_behind_the_rest_of_a_body() -> None:
    """A call hangs on a connection whose endpoint does not read.

    The endpoint responded before it had read a long body and resumes reading later. The
    connection looked idle, and the next call was sent behind that body.
    """
    with gateway_world() as world:
        desk = world.add_desk()
        desk.play(EarlyAnswer(timedelta(seconds=1)))
        first = world.running.ask("/safe/1", "c1", LONGEST)
        case.assertEqual((200, b"early c1"), (first.status, first.body))
        case.assertEqual(200, world.running.ask("/unsafe/1", "c2", b"b").status)
        case.assertIs(RunEnd.RUNNING, world.platform.log.of("c1")[0].end)
        world.platform.log.wait_until(lambda log: not log.at_work())
        run = world.platform.log.of("c1")[0]
        case.assertEqual(digest_of(LONGEST), run.body_digest)


def test_long_bodies_are_forwarded_completely() -> None:
    with gateway_world() as world:
        world.add_desk()
        result = world.running.ask("/safe/1", "c1", LONG)
        case.assertEqual(200, result.status)
        case.assertEqual(digest_of(LONG), world.platform.log.of("c1")[0].body_digest)
        for number in range(3):
            case.assertEqual(
                200, world.running.ask("/safe/1", f"k{number}", LONG).status
            )
        case.assertEqual(
            1,
            world.running.call_in_loop(lambda: world.running.gateway.pool.opened_count),
        )
        too_long = world.running.ask("/safe/1", "c2", b"x" * (4_194_304 + 1))
        case.assertEqual(413, too_long.status)
        case.assertEqual([], world.platform.log.visits_of("c2"))


def test_the_readiness_page_responds() -> None:
    with gateway_world() as world:
        answer = call(world.running.ready_address, "GET", "/-/ready")
        case.assertEqual(200, answer.status)


def test_an_http_1_0_caller_gets_its_response_and_a_close() -> None:
    with gateway_world() as world, world.running.channel() as channel:
        world.add_engine(EngineFigures(events=2))
        head = f"POST /stream/1 HTTP/1.0\r\nHost: {HOST}\r\n{REQUEST_ID}: c1\r\n"
        head += f"{AUTHORIZATION}: {BEARER[AUTHORIZATION]}\r\n\r\n"
        channel.send_bytes(head.encode())
        result = channel.read_answer()
        case.assertNotIn("transfer-encoding", result.headers)
        case.assertEqual([1, 2], [event.number for event in result.events])


def test_many_calls_at_once_each_get_their_own_answer() -> None:
    with gateway_world() as world:
        for _ in range(3):
            world.add_desk(EndpointSettings(DESKS, slots=4, queue=50))
        channels = [world.running.channel() for _ in range(40)]
        for round_number in range(3):
            for index, channel in enumerate(channels):
                name = f"c{round_number}-{index}"
                body = name.encode()
                channel.send("POST", "/unsafe/1", {REQUEST_ID: name, **BEARER}, body)
            for index, channel in enumerate(channels):
                name = f"c{round_number}-{index}"
                result = channel.read_answer()
                expected = expected_body("POST", "/unsafe/1", name.encode())
                case.assertEqual((200, expected), (result.status, result.body))
        case.assertEqual([], world.platform.log.ran_twice())
        # A run is recorded as ended after its response has been written.
        world.platform.log.wait_until(lambda log: not log.at_work())
        ends = {run.end for run in world.platform.log.runs}
        case.assertEqual({RunEnd.DONE}, ends)
        for channel in channels:
            channel.hang_up()


load_tests = function_tests(__name__)

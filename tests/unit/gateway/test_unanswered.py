"""Tests of what is told of requests that this instance leaves without an answer."""

from datetime import timedelta
from unittest import TestCase

from mimosafork.gateway.client_connection import ClientConnection
from mimosafork.gateway.unanswered_request import CloseReason
from mimosafork.routing.table import ClientLimits

from ...support.functions import function_tests
from ...support.virtual_callers import (
    ScriptedRequestHandler,
    VirtualListener,
    virtual_listener,
)

case = TestCase()

LIMITS = ClientLimits(idle_timeout=timedelta(seconds=9))
BEYOND = timedelta(seconds=12)


def front_of(door: VirtualListener) -> ScriptedRequestHandler:
    assert isinstance(door.front, ScriptedRequestHandler)
    return door.front


def answer(connection: ClientConnection) -> None:
    connection.send_response(200, b"OK", [], b"ok")


def test_an_idle_connection_is_ended_without_a_word() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as door:
        front = front_of(door)
        front.answers = answer
        caller = door.connect()
        caller.send()
        door.run(BEYOND)
        case.assertEqual([200], caller.statuses)
        case.assertTrue(caller.ended)
        case.assertEqual([], front.left)


def test_what_comes_behind_the_last_answer_is_told() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as door:
        front = front_of(door)
        front.answers = answer
        caller = door.connect()
        caller.send(Connection="close")
        door.run()
        caller.send()
        door.run(BEYOND)
        case.assertEqual([200], caller.statuses)
        (left,) = front.left
        case.assertIs(CloseReason.LAST_RESPONSE, left.reason)
        case.assertGreater(left.bytes_read, 0)
        case.assertIsNone(left.whole)


def test_what_comes_behind_a_refused_request_is_told_with_the_refusal() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as door:
        caller = door.connect()
        caller.send_bytes(b"no request\r\n\r\n")
        door.run()
        caller.send()
        door.run(BEYOND)
        case.assertEqual([400], caller.statuses)
        case.assertEqual([], front_of(door).left)


def test_a_whole_request_is_told_when_its_connection_is_closed() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as door:
        caller = door.connect()
        caller.send()
        door.run()
        door.run_in_loop(lambda: caller.connection.close(CloseReason.STOPPED))
        (left,) = front_of(door).left
        case.assertEqual((CloseReason.STOPPED, True), (left.reason, left.whole))


def test_a_part_of_a_request_is_told_when_its_connection_is_closed() -> None:
    for sent in (
        b"POST /safe/1 HT",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9",
    ):
        with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as door:
            caller = door.connect()
            caller.send_bytes(sent)
            door.run()
            door.run_in_loop(lambda: caller.connection.close(CloseReason.STOPPED))  # noqa: B023
            (left,) = front_of(door).left
            case.assertEqual((False, len(sent)), (left.whole, left.bytes_read))


load_tests = function_tests(__name__)

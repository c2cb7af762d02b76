"""Tests of the report of unanswered requests on closed connections."""

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


def handler_of(listener: VirtualListener) -> ScriptedRequestHandler:
    assert isinstance(listener.handler, ScriptedRequestHandler)
    return listener.handler


def respond(connection: ClientConnection) -> None:
    connection.send_response(200, b"OK", [], b"ok")


def test_closing_an_idle_connection_reports_nothing() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as listener:
        handler = handler_of(listener)
        handler.answers = respond
        caller = listener.connect()
        caller.send()
        listener.run(BEYOND)
        case.assertEqual([200], caller.statuses)
        case.assertTrue(caller.ended)
        case.assertEqual([], handler.unanswered)


def test_bytes_after_the_last_response_are_reported() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as listener:
        handler = handler_of(listener)
        handler.answers = respond
        caller = listener.connect()
        caller.send(Connection="close")
        listener.run()
        caller.send()
        listener.run(BEYOND)
        case.assertEqual([200], caller.statuses)
        (request,) = handler.unanswered
        case.assertIs(CloseReason.LAST_RESPONSE, request.reason)
        case.assertGreater(request.bytes_read, 0)
        case.assertIsNone(request.whole)


def test_bytes_after_a_rejected_request_are_not_reported_separately() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as listener:
        caller = listener.connect()
        caller.send_bytes(b"no request\r\n\r\n")
        listener.run()
        caller.send()
        listener.run(BEYOND)
        case.assertEqual([400], caller.statuses)
        case.assertEqual([], handler_of(listener).unanswered)


def test_a_complete_request_is_reported_when_its_connection_is_closed() -> None:
    with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as listener:
        caller = listener.connect()
        caller.send()
        listener.run()
        listener.run_in_loop(lambda: caller.connection.close(CloseReason.STOPPED))
        (request,) = handler_of(listener).unanswered
        case.assertEqual((CloseReason.STOPPED, True), (request.reason, request.whole))


def test_an_incomplete_request_is_reported_when_its_connection_is_closed() -> None:
    for sent in (
        b"POST /safe/1 HT",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9",
    ):
        with virtual_listener(lambda _: ScriptedRequestHandler(LIMITS)) as listener:
            caller = listener.connect()
            caller.send_bytes(sent)
            listener.run()
            listener.run_in_loop(lambda: caller.connection.close(CloseReason.STOPPED))  # noqa: B023
            (request,) = handler_of(listener).unanswered
            case.assertEqual((False, len(sent)), (request.whole, request.bytes_read))


load_tests = function_tests(__name__)

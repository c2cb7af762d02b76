"""What a caller was promised holds, whatever comes after: no whole request is lost.

A promise is made in one moment, such as a head that says how long the connection is
kept, and due in another. Between the two the configuration may change, the instance
may begin to stop, or a part of it may raise.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from random import Random
from typing import cast
from unittest import TestCase
from unittest.mock import Mock, patch

from msgspec.structs import replace

from mimosafork.clock import ManualClock
from mimosafork.gateway.call_log import CallLog
from mimosafork.gateway.client_connection import IDLE_TIMEOUT_SLACK, ClientConnection
from mimosafork.gateway.gateway import Gateway
from mimosafork.gateway.heads import Header
from mimosafork.gateway.policies import PLUGINS
from mimosafork.gateway.pool import ConnectionPool, ConnectionRequest
from mimosafork.gateway.request_reader import RequestReader
from mimosafork.gateway.response_reader import ResponseHead
from mimosafork.gateway.upstream import EndpointConnection
from mimosafork.ids import (
    AvailabilityZoneId,
    EndpointId,
    Incarnation,
    InstanceId,
    Revision,
    ServiceId,
)
from mimosafork.kernel.context import InstanceIdentity
from mimosafork.kernel.core import Kernel
from mimosafork.kernel.messages.base import Effect, Message
from mimosafork.kernel.messages.requests import Submit
from mimosafork.kernel.messages.routing import RoutingTableChanged
from mimosafork.kernel.registry import create
from mimosafork.platform.calls import PreparedDialect
from mimosafork.routing.table import (
    CallKind,
    ClientLimits,
    Route,
    RouteName,
    RoutingTable,
    Service,
    TrafficSplit,
)

from ...support.faults import expected_faults
from ...support.functions import function_tests
from ...support.prepared import HOST, request_bytes
from ...support.virtual_callers import (
    ScriptedRequestHandler,
    VirtualCaller,
    VirtualListener,
    virtual_listener,
)

case = TestCase()

LONG = timedelta(seconds=9)
SHORT = timedelta(seconds=1)
SECOND = timedelta(seconds=1)
LIMITS = ClientLimits(header_bytes=4096, body_bytes=1 << 20, idle_timeout=LONG)
SHORTENED = replace(LIMITS, idle_timeout=SHORT)
ANY_TIME = LONG + IDLE_TIMEOUT_SLACK + SECOND
HUGE = b"x" * (8 << 20)
"""Fits into no buffer of a connection."""


class PartBrokenError(Exception):
    """Raised by parts that these tests break."""


@contextmanager
def scripted(
    limits: ClientLimits = LIMITS,
) -> Iterator[tuple[ScriptedRequestHandler, VirtualListener]]:
    """Open a door whose requests the test answers."""
    with virtual_listener(lambda _: ScriptedRequestHandler(limits)) as door:
        assert isinstance(door.front, ScriptedRequestHandler)
        yield door.front, door


def answer(connection: ClientConnection) -> None:
    connection.send_response(200, b"OK", [], b"ok")


def begin(caller: VirtualCaller) -> None:
    caller.connection.begin_response(200, b"OK", [])
    caller.connection.send_body(b"a part")


def asked(door: VirtualListener) -> VirtualCaller:
    """Return a caller whose request was taken and has no answer yet."""
    caller = door.connect()
    caller.send()
    door.run()
    return caller


def answered(door: VirtualListener, front: ScriptedRequestHandler) -> VirtualCaller:
    """Return a caller that got an answer and was told how long it is kept."""
    front.answers = answer
    caller = asked(door)
    case.assertIn(b"Keep-Alive: timeout=9", caller.read())
    return caller


def serves(
    door: VirtualListener, front: ScriptedRequestHandler, caller: VirtualCaller
) -> None:
    """Fail unless a further request on a caller's connection is answered."""
    front.answers = answer
    before = len(caller.statuses)
    caller.send()
    door.run()
    case.assertEqual(before + 1, len(caller.statuses), caller.ended)


# How long a connection is kept


def test_a_kept_connection_lasts_though_its_time_is_cut_during_an_answer() -> None:
    """A caller's request on a kept connection gets neither an answer nor a refusal.

    The head of a stream told it that the connection is kept for 9 s when idle. While
    the stream ran, a configuration shortened that to 1 s; at the stream's end the
    timer was set by the new time, and the connection closed before the old was over.
    """
    with scripted() as (front, door):
        caller = asked(door)
        door.run_in_loop(lambda: begin(caller))
        front.limits = SHORTENED
        door.run(SECOND)
        door.run_in_loop(caller.connection.end_response)
        door.run(LONG)
        serves(door, front, caller)


def test_a_kept_connection_lasts_though_its_time_is_cut_after_an_answer() -> None:
    with scripted() as (front, door):
        caller = answered(door, front)
        front.limits = SHORTENED
        door.run(LONG)
        serves(door, front, caller)


def test_a_head_tells_the_time_that_is_in_force_when_it_is_sent() -> None:
    with scripted() as (front, door):
        caller = asked(door)
        front.limits = SHORTENED
        door.run_in_loop(lambda: answer(caller.connection))
        door.run()
        case.assertIn(b"Keep-Alive: timeout=1\r\n", caller.read())
        door.run(SHORT)
        serves(door, front, caller)


def test_the_latest_promise_ends_a_longer_one_before() -> None:
    with scripted() as (front, door):
        caller = answered(door, front)
        front.limits = SHORTENED
        serves(door, front, caller)
        door.run(SHORT + IDLE_TIMEOUT_SLACK + SECOND)
        caller.read()
        case.assertTrue(caller.ended)


def test_a_connection_lasts_as_long_as_the_newest_configuration_says() -> None:
    """A caller that goes by the configuration finds its connection closed.

    The configuration lengthened the idle time from 1 s to 9 s while the connection
    was idle, or new and unused; its timer had been set by the old time and was left.
    """
    for ask_first in (False, True):
        with scripted(SHORTENED) as (front, door):
            front.answers = answer
            caller = asked(door) if ask_first else door.connect()
            front.limits = LIMITS
            door.run(LONG)
            serves(door, front, caller)


def test_a_caller_may_take_its_answer_as_slowly_as_when_it_began() -> None:
    """A whole answer that was on its way is cut, and its call is told as served.

    The caller took nothing for 5 s, which the 9 s in force at its answer's head
    allowed. A configuration had shortened them to 1 s meanwhile, and the wait for its
    taking the rest went by that.
    """
    for wish in ("keep-alive", "close"):
        with scripted() as (front, door):
            caller = door.connect()
            caller.send(Connection=wish)
            door.run()
            connection = caller.connection
            door.run_in_loop(lambda: connection.send_response(200, b"OK", [], HUGE))  # noqa: B023
            front.limits = SHORTENED
            door.run(5 * SECOND)
            while not caller.ended and len(caller.received) <= len(HUGE):
                caller.read()
                door.run()
            case.assertGreater(len(caller.received), len(HUGE))


def test_a_caller_that_took_its_answer_slowly_is_kept_as_it_was_told() -> None:
    """A caller takes a long answer slowly, and its next request is lost.

    Its answer had told how long the connection is kept. It was closed at the next look
    at what was left to take, half a second after the last bytes had been taken.
    """
    with scripted() as (front, door):
        caller = asked(door)
        door.run_in_loop(lambda: caller.connection.send_response(200, b"OK", [], HUGE))
        door.run(2 * LONG + IDLE_TIMEOUT_SLACK - SECOND / 2)
        while caller.connection.has_unsent_bytes:
            caller.read()
            door.run(timedelta(microseconds=100))
        door.run(2 * SECOND)
        serves(door, front, caller)


def test_a_body_may_pause_for_as_long_as_when_it_began() -> None:
    """A caller that kept to the limits gets a 408 in the middle of its request.

    It began under an idle time of 9 s and paused for 5 s; a configuration came
    meanwhile, and the pieces before and after it were held to different times.
    """
    with scripted() as (front, door):
        front.answers = answer
        caller = door.connect()
        whole = request_bytes("POST", "/safe/1", {}, b"0123456789", False)
        caller.send_bytes(whole[:-6])
        door.run()
        front.limits = SHORTENED
        caller.send_bytes(whole[-6:-3])
        door.run(5 * SECOND)
        caller.send_bytes(whole[-3:])
        door.run()
        case.assertEqual([200], caller.statuses)


def test_a_request_is_held_to_the_sizes_under_which_it_began() -> None:
    """What looked like one more: the sizes are those of the first byte throughout."""
    for chunked in (False, True):
        with scripted() as (front, door):
            front.answers = answer
            caller = door.connect()
            body = b"x" * 5000
            whole = request_bytes("POST", "/safe/1", {}, body, chunked)
            caller.send_bytes(whole[:30])
            door.run()
            front.limits = replace(LIMITS, header_bytes=40, body_bytes=40)
            caller.send_bytes(whole[30:])
            door.run()
            case.assertEqual([200], caller.statuses)


# Requests behind others


def test_pipelined_requests_are_answered_across_a_change() -> None:
    with scripted() as (front, door):
        caller = door.connect()
        whole = request_bytes("POST", "/safe/1", {}, b"", False)
        caller.send_bytes(whole * 2)
        door.run()
        door.run_in_loop(lambda: begin(caller))
        front.limits = SHORTENED
        front.answers = answer
        door.run_in_loop(caller.connection.end_response)
        door.run()
        case.assertEqual([200, 200], caller.statuses)


def test_what_is_sent_behind_a_kept_answer_is_answered_or_refused() -> None:
    """A whole request that was read on a kept connection is dropped in silence.

    The head of the answer before had said that the connection is kept. The next
    request came before that answer's end and was longer than what is read ahead: it
    was dropped, and the connection closed after the answer without a word.
    """
    with scripted() as (_, door):
        caller = asked(door)
        door.run_in_loop(lambda: begin(caller))
        caller.send(body=b"x" * 5000)
        door.run()
        door.run_in_loop(caller.connection.end_response)
        door.run()
        case.assertEqual([200, 503], caller.statuses)
        last = caller.read().rpartition(b"HTTP/1.1 503")[2].lower()
        case.assertIn(b"retry-after: ", last)
        case.assertIn(b"connection: close", last)


def test_what_is_sent_behind_an_answer_that_was_not_begun_is_told_its_end() -> None:
    """What looked like one more: the answer's head says that it is the last."""
    with scripted() as (_, door):
        caller = asked(door)
        caller.send(body=b"x" * 5000)
        door.run()
        door.run_in_loop(lambda: answer(caller.connection))
        door.run()
        case.assertEqual([200], caller.statuses)
        case.assertIn(b"Connection: close", caller.read())


def test_a_refusal_says_that_nothing_behind_it_is_read() -> None:
    """What looked like one more: whole requests behind it are dropped, as it says."""
    with scripted() as (_, door):
        caller = door.connect()
        caller.send_bytes(b"no request\r\n\r\n")
        caller.send()
        door.run(ANY_TIME)
        case.assertEqual([400], caller.statuses)
        case.assertIn(b"Connection: close", caller.read())


def test_a_request_that_waits_behind_an_answer_is_refused_at_the_end() -> None:
    """A whole request is dropped by the end of a planned stop.

    It was read while the one before was answered. The answer's end and the end of the
    process came in one turn of the loop, and the connection was closed before the
    waiting request was looked at.
    """
    with gateway_door(routing_table()) as (gateway, door):
        caller = door.connect()
        caller.send()
        caller.send()
        door.run()
        door.run_in_loop(lambda: begin(caller))

        def end_at_once() -> None:
            gateway.draining = True
            gateway.end_intake()
            caller.connection.end_response()
            gateway.stop()

        door.run_in_loop(end_at_once)
        door.run()
        case.assertEqual([200, 503], caller.statuses)


# Timers and bytes that are due at once


def test_a_request_that_came_while_nothing_ran_goes_before_the_timer() -> None:
    """What looked like one more: after a freeze, bytes are read before timers run."""
    with scripted() as (front, door):
        caller = answered(door, front)
        caller.send()
        door.freeze(ANY_TIME)
        door.run()
        case.assertEqual([200, 200], caller.statuses)


def test_a_request_that_comes_just_before_the_timer_is_read() -> None:
    """A whole request that lay in the socket is reset unread.

    The process had looked at its sockets and was held up before it ran its timers.
    The request came in between, and the timer closed the connection over it.
    """
    with scripted() as (front, door):
        caller = answered(door, front)
        timer = caller.connection.timer
        assert timer is not None
        # The loop is held up until both are due in one turn, the request first.
        door.loop.call_at(timer.when() - 0.02, door.freeze, timedelta(seconds=0.03))
        door.loop.call_at(timer.when() - 0.01, caller.send)
        door.run(ANY_TIME)
        case.assertEqual([200, 200], caller.statuses)


# A stop


def test_a_request_in_the_socket_is_refused_when_the_door_closes() -> None:
    """A request that reached the machine before the door closed is reset unread.

    The instance closes its idle connections when it takes no more calls. The request
    lay in the socket of one of them, which had been promised to be kept.
    """
    with gateway_door(routing_table()) as (gateway, door):
        caller = door.connect()
        gateway.draining = True

        def close_door() -> None:
            caller.send()
            gateway.end_intake()
            case.assertTrue(gateway.busy)

        door.run_in_loop(close_door)
        door.run()
        case.assertEqual([503], caller.statuses)
        case.assertIn(b"retry-after: ", caller.read().lower())
        case.assertFalse(gateway.busy)


def test_a_connection_that_was_kept_before_a_stop_is_refused_in_words() -> None:
    """What looked like one more: a stream ends behind the door on a kept connection."""
    with gateway_door(routing_table()) as (gateway, door):
        caller = asked(door)
        door.run_in_loop(lambda: begin(caller))
        gateway.draining = True
        door.run_in_loop(gateway.end_intake)
        door.run_in_loop(caller.connection.end_response)
        caller.send()
        door.run()
        case.assertEqual([200, 503], caller.statuses)
        case.assertIn(b"Connection: close", caller.read())


# Faults while a request is taken


DESKS = ServiceId("desks")
OTHERS = ServiceId("others")


def route_to(*splits: TrafficSplit) -> Route:
    return Route(
        RouteName("r"), HOST, "/safe/", CallKind.IDEMPOTENT, LONG, SECOND, splits
    )


def routing_table(*routes: Route, number: int = 1) -> RoutingTable:
    return RoutingTable(
        Revision(number),
        routes or (route_to(TrafficSplit(DESKS, 1.0)),),
        {DESKS: Service(DESKS, "/healthz", 200)},
        LIMITS,
        (),
        has_accounts=False,
    )


@contextmanager
def gateway_door(table: RoutingTable) -> Iterator[tuple[Gateway, VirtualListener]]:
    """Open the door of a gateway that knows no endpoints."""
    instance, zone = InstanceId("entry-1"), AvailabilityZoneId("zone-a")

    def gateway_of(clock: ManualClock) -> Gateway:
        identity = InstanceIdentity(instance, Incarnation(1), zone)
        kernel = Kernel(identity, clock, Random(1), create(PLUGINS))
        return Gateway(kernel, PreparedDialect(), clock, Random(1), lambda: table)

    with virtual_listener(gateway_of) as door:
        gateway = door.front
        assert isinstance(gateway, Gateway)
        door.accepting = gateway.new_connection
        gateway.post(RoutingTableChanged(table))
        yield gateway, door
        for ticker in filter(None, (gateway.tick_timer,)):
            ticker.cancel()


def check_told(caller: VirtualCaller, *statuses: int) -> None:
    """Fail unless these answers came, the last one with when to come back."""
    case.assertEqual(list(statuses), caller.statuses)
    last = caller.read().rpartition(b"HTTP/1.1 ")[2].lower()
    if statuses[-1] == 503:
        case.assertIn(b"retry-after: ", last)


def test_a_call_that_can_not_be_matched_is_told_as_not_run() -> None:
    """A caller's connection is closed without an answer.

    A configuration split a route between services and left all with the weight 0.
    The draw raised while the call was taken, and the loop closed the connection.
    """
    table = routing_table(route_to(TrafficSplit(DESKS, 0.0), TrafficSplit(OTHERS, 0.0)))
    with gateway_door(table) as (_, door), expected_faults():
        caller = asked(door)
        check_told(caller, 503)


def test_a_call_that_the_kernel_may_have_is_told_nothing_of_a_promise() -> None:
    """A caller's connection is closed without an answer, and its call stays open.

    The fault came as the kernel was handed the call, so that nobody knows how far it
    got: the caller is told a plain failure, and nothing of the call is left here.
    """

    def handle(message: Message) -> list[Effect]:
        if isinstance(message, Submit):
            raise PartBrokenError
        return []

    with gateway_door(routing_table()) as (gateway, door), expected_faults():
        with patch.object(gateway.kernel, "handle", handle):
            caller = asked(door)
        case.assertEqual([500], caller.statuses)
        case.assertEqual({}, gateway.calls)
        case.assertEqual({}, gateway.by_connection)


def test_a_call_behind_another_that_can_not_be_taken_is_told() -> None:
    """A caller waits for ever for the second of two answers.

    Both requests came at once. Taking the second one raised in a callback of the
    loop: the connection stayed open, without a timer and without an answer.
    """
    with gateway_door(routing_table()) as (gateway, door), expected_faults():
        whole = request_bytes("POST", "/safe/1", {}, b"", False)
        caller = door.connect()
        caller.send_bytes(whole * 2)
        door.run()
        with patch.object(
            gateway.dialect, "parse_call_metadata", side_effect=PartBrokenError
        ):
            door.run_in_loop(lambda: answer(caller.connection))
            door.run(ANY_TIME)
        case.assertEqual(200, caller.statuses[0])
        case.assertEqual(1, len(caller.statuses[1:]), caller.statuses)
        case.assertGreaterEqual(caller.statuses[1], 500)


def test_a_refusal_that_can_not_be_logged_reaches_its_caller() -> None:
    """A caller of a dropped route is closed on in place of its 404.

    The line of a refusal was written before the answer, and writing it raised.
    """
    table = routing_table(replace(route_to(TrafficSplit(DESKS, 1.0)), prefix="/other/"))
    with gateway_door(table) as (_, door), expected_faults():
        with patch.object(CallLog, "refused", side_effect=PartBrokenError):
            caller = asked(door)
        case.assertEqual([404], caller.statuses)


def test_a_request_that_can_not_be_read_is_answered() -> None:
    """A caller's connection is closed without an answer.

    Its bytes had come whole and the reader raised something that is no judgement of
    them; the loop takes that for the end of the connection.
    """
    with scripted() as (front, door):
        with patch.object(RequestReader, "next_request", side_effect=PartBrokenError):
            caller = asked(door)
        case.assertEqual([500], caller.statuses)
        case.assertIn(b"Connection: close", caller.read())
        case.assertEqual([PartBrokenError], [type(each) for each in front.faults])


def test_a_refusal_that_can_not_be_headed_is_told_all_the_same() -> None:
    """A caller that no route fits is closed on without a word.

    The headers of its refusal could not be made, so the refusal was never written and
    the loop closed the connection.
    """
    table = routing_table(replace(route_to(TrafficSplit(DESKS, 1.0)), prefix="/other/"))
    with gateway_door(table) as (gateway, door), expected_faults():
        broken = Mock(side_effect=PartBrokenError)
        with patch.object(gateway.dialect, "local_response_headers", broken):
            caller = asked(door)
        case.assertEqual([500], caller.statuses)


def test_a_timer_that_raises_leaves_no_caller_waiting() -> None:
    """A caller that is too slow waits for ever.

    Its time was over and the line of the refusal, which is written before the answer,
    raised in a callback: no answer came, and no timer was left to end the connection.
    """
    with scripted() as (front, door):
        broken = Mock(side_effect=PartBrokenError)
        caller = door.connect()
        caller.send_bytes(b"POST /safe/1 HT")
        with patch.object(front, "malformed_request", broken):
            door.run(ANY_TIME)
        case.assertEqual([408], caller.statuses)
        case.assertTrue(caller.ended)


def test_an_answer_that_can_not_be_made_is_told_as_a_failure() -> None:
    """A caller whose call has ended is closed on without a word.

    The answer's headers could not be made; as nothing of it had been sent, a plain
    failure could still have been told.
    """
    with gateway_door(routing_table()) as (gateway, door), expected_faults():
        broken = Mock(side_effect=PartBrokenError)
        caller = asked(door)
        with patch.object(gateway.dialect, "local_response_headers", broken):
            door.run_in_loop(gateway.start)
            door.run(ANY_TIME)
        case.assertEqual([500], caller.statuses)


# Calls whose ground goes while they wait


def test_a_call_that_waits_is_answered_whatever_the_configuration_drops() -> None:
    """What looked like one more: it waits for its time, and is told as not run."""
    dropped: tuple[Callable[[RoutingTable], RoutingTable], ...] = (
        lambda table: replace(table, version=Revision(2), routes=()),
        lambda table: replace(table, version=Revision(2), services={}),
        lambda table: replace(table, version=Revision(2), has_accounts=True),
    )
    for drop in dropped:
        with gateway_door(routing_table()) as (gateway, door):
            caller = asked(door)
            door.run_in_loop(gateway.start)
            changed = drop(routing_table())
            door.run_in_loop(lambda: gateway.post(RoutingTableChanged(changed)))  # noqa: B023
            door.run(LONG)
            check_told(caller, 503)


# Connections to endpoints


def kept_connection(pool: ConnectionPool, *keep_alive: bytes) -> ConnectionRequest:
    """Keep a connection whose answers said in turn how long it is kept."""
    wanted = ConnectionRequest(EndpointId("desk-1"), "127.0.0.1:1")
    connection = EndpointConnection(pool.clock, lambda _: None)
    connection.transport = cast(asyncio.Transport, Mock())
    for value in keep_alive:
        headers = (Header(b"Keep-Alive", b"timeout=" + value),)
        connection._on_head(ResponseHead(200, b"OK", headers, framed=True))
    pool.release(wanted.endpoint, connection)
    return wanted


def test_a_connection_that_its_endpoint_does_not_keep_is_not_used() -> None:
    """A call that may run once gets a 502: its connection was closed under it.

    The endpoint said that it keeps the connection for 0 s. That was taken for no word
    at all, and the connection was used for as long as those of others.
    """
    for before in ((), (b"10",)):
        clock = ManualClock()
        pool = ConnectionPool(clock)
        wanted = kept_connection(pool, *before, b"0")
        clock.advance(timedelta(milliseconds=1))
        case.assertIsNone(pool.acquire(wanted))


def test_the_latest_word_of_an_endpoint_is_what_it_keeps() -> None:
    for words, usable in (((b"10", b"2"), False), ((b"2", b"10"), True)):
        clock = ManualClock()
        pool = ConnectionPool(clock)
        wanted = kept_connection(pool, *words)
        clock.advance(3 * SECOND)
        case.assertEqual(usable, pool.acquire(wanted) is not None)


load_tests = function_tests(__name__)
